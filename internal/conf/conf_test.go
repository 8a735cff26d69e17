package conf

import (
	"strings"
	"testing"
	"time"
)

// sample has a field of each kind that tags describe.
type sample struct {
	Name  string   `toml:"name" need:"yes"`
	Wait  Duration `toml:"wait" default:"250ms" min:"1ms" max:"1m"`
	Share float64  `toml:"share" default:"0.5" min:"0" max:"1"`
	Mode  string   `toml:"mode" default:"calm" oneof:"calm rough"`
	Part  []part   `toml:"part"`
	Inner struct {
		Count int `toml:"count" default:"3" min:"1" max:"9"`
	} `toml:"inner"`
	Routes map[string]string `toml:"routes"`
}

type part struct {
	Kind string   `toml:"kind" need:"yes" oneof:"a b"`
	For  Duration `toml:"for" default:"1s" min:"0s"`
	Size int      `toml:"size" min:"0" max:"5"`
}

// Given values and defaults are read, and what Write writes can be read again.
func TestDefaultsAndValues(t *testing.T) {
	var s sample
	err := Parse("f", []byte("name='x'\nshare=0.25\n[[part]]\nkind='a'\n[[part]]\nkind='b'\nfor='2s'\n[routes]\nn1='1:2'\n"), &s)
	if err != nil {
		t.Fatal(err)
	}
	if s.Wait.Std() != 250*time.Millisecond || s.Share != 0.25 || s.Mode != "calm" || s.Inner.Count != 3 ||
		s.Part[0].For.Std() != time.Second || s.Part[1].For.Std() != 2*time.Second || s.Routes["n1"] != "1:2" {
		t.Errorf("read %+v", s)
	}
	var b strings.Builder
	if err := Write(&b, s); err != nil {
		t.Fatal(err)
	}
	var again sample
	if err := Parse("written", []byte(b.String()), &again); err != nil || again.Part[1].For != s.Part[1].For {
		t.Errorf("the written file reads as %+v, error %v:\n%s", again, err, &b)
	}
}

// Each mistake in a file is an error that names the line and the key.
func TestMistakesNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name='x'\nshaer=1", `f:2: unknown key "shaer"`},
		{"name='x'\n[inner]\ncuont=1", `f:3: unknown key "inner.cuont"`},
		{"name='x'\nwait=5", `f:2:`},
		{"name='x'\nwait='soon'", `f:2:`},
		{"name='x'\nwait='2m'", `f:2: key "wait" is 2m0s: 1ms to 1m`},
		{"name='x'\nshare=nan", `f:2: key "share" is NaN`},
		{"name='x'\nshare=1.5", `f:2: key "share" is 1.5: 0 to 1`},
		{"name='x'\nmode='wild'", `f:2: key "mode" is "wild"`},
		{"share=1", `f:1: key "name" is missing`},
		{"name='x'\n[[part]]\nkind='a'\n\n[[part]]\nkind='c'", `f:6: key "part[1].kind" is "c"`},
		{"name='x'\n[[part]]\nkind='a'\n[[part]]\nsize=1", `f:4: key "part[1].kind" is missing`},
		{"name='x'\n[[part]]\nkind='a'\nsize=6", `f:4: key "part[0].size" is 6`},
		{"name='x'\ninner = {count = 10}", `f:2: key "inner.count" is 10`},
		{"name='x'\ninner.count = 0", `f:2: key "inner.count" is 0`},
		{"name='x'\nname='y'", `f:2:`},
		{"name='x", `f:1:`},
	} {
		var s sample
		err := Parse("f", []byte(c.text), &s)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// Parse does not panic, and accepts no file without the required key.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name='x'\n[[part]]\nkind='a'\n[routes]\na.b='c'\n\"q u\"=''\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s sample
		if err := Parse("f", raw, &s); err == nil && (s.Name == "" && !strings.Contains(string(raw), "name")) {
			t.Errorf("a file without a name was accepted")
		}
	})
}
