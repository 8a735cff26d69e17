package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arrowgw/internal/conf"
)

func TestRead(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", ""},
		{"[routes]\nn1 = '127.0.0.1:7946'\n'a b' = '[::1]:1'", ""},
		{"[routes]\nn1 = 'localhost'", `key "routes.n1"`},
		{"[routes]\nn1 = 5", ":2:"},
		{"[rooutes]\nn1 = '127.0.0.1:1'", `:1: unknown key "rooutes`},
		{"routes = 'x'", ":1:"},
		{"[member]\nlisten = '127.0.0.1:7946'\ncluster = 'farm'\nseeds = ['n0']", ""},
		{"[member]\nlisten = 'localhost'\ncluster = 'farm'", `key "member.listen"`},
		{"[member]\nlisten = '127.0.0.1:7946'", `key "member.cluster"`},
		{"[member]\nlisten = '127.0.0.1:7946'\ncluster = 'farm'\n[duty]\nvoters = ['a', 'b', 'c']", ""},
		{"[member]\nlisten = '127.0.0.1:7946'\ncluster = 'farm'\n[duty]\nvoters = ['a', 'b']", `key "duty.voters"`},
		{"[duty]\nvoters = ['a', 'b', 'c']", `needs member.listen`},
		{"[spread]\nshare = true", `needs member.listen`},
		{"[spread]\nshare = 'x'", ":2:"},
		{"[member]\nprobe = '1ms'", `member.probe`},
	} {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// Every key must be listed in docs/configuration.md with the same type, default, bounds and help text.
func TestKeysAreListed(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range conf.Keys(File{}) {
		row := fmt.Sprintf("| `%s` | %s | %s | %s | %s |", k.Path, k.Kind, k.Default, k.Bounds, k.Help)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/configuration.md lacks the row\n%s", row)
		}
	}
}
