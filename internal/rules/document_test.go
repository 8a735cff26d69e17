package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// settings returns the Settings that the tests' documents are read against.
func settings(forms int) Settings {
	return Settings{
		HighestForm: forms, Tenants: map[string]int{"alpha": 0, "beta": 1}, Zones: map[string]int{"a": 0, "b": 1},
		Server: func(id string) balance.ServerID { return balance.ServerID(len(id)) },
		Config: balance.Config{
			MaxAttempts: 3, Tenants: []balance.Tenant{{Share: 1, Quota: 10}, {Share: 2}},
			Budget: balance.RetryBudget{Span: 10 * time.Second, Free: 5, Share: 0.1},
		},
	}
}

// An unusable document is refused with its line, its key and the reason.
func TestInvalidDocumentIsRefused(t *testing.T) {
	for text, want := range map[string]string{
		"form=1\nversion=1\nsize=3":                         `rules:3: unknown key "size"`,
		"form=1\nversion=1\n[[zone]]\nname='a'\nweight=0.5": `rules:3: unknown key "zone"`,
		"form=3\nversion=1":                                 `rules:1: key "form" is 3: this program reads forms up to 2`,
		"version=1":                                         `key "form" is missing`,
		"form=1":                                            `key "version" is missing`,
		"form=2\nversion=0":                                 `rules:2: key "version" is 0`,
		"form=2":                                            `key "version" is missing`,
		"form=1\nversion=0":                                 `rules:2: key "version" is 0`,
		"form=1\nversion=-1":                                `key "version"`,
		"form=1\nversion='x'":                               `rules:2: key "version"`,
		"form=1\nversion=1\nattempts=4":                     `rules:3: key "attempts" is 4: the settings allow 3`,
		"form=1\nversion=1\n[retries]\nfree=2.0":            `rules:3: key "retries" has no span`,
		"form=1\nversion=1\n[[tenant]]\nname='gamma'\nshare=1.0":                                         `rules:4: key "tenant[0].name" is "gamma"`,
		"form=1\nversion=1\n[[tenant]]\nname='beta'":                                                     `key "tenant[0].share" is missing`,
		"form=1\nversion=1\n[[tenant]]\nname='beta'\nshare=-1.0":                                         `rules:5: key "tenant[0].share" is -1`,
		"form=1\nversion=1\n[[tenant]]\nname='beta'\nshare=nan":                                          `rules:5: key "tenant[0].share" is NaN`,
		"form=1\nversion=1\n[[server]]\nid='s'\nweight=1001.0":                                           `rules:5: key "server[0].weight" is 1001`,
		"form=1\nversion=1\n[[server]]\nid='s'\nweight=1e-9":                                             `rules:5: key "server[0].weight" is 1e-09`,
		"form=2\nversion=1\n[[zone]]\nname='c'\nweight=0.5":                                              `rules:4: key "zone[0].name" is "c"`,
		"form=1\nversion=1\nform=1":                                                                      `rules:3`,
		"form=1\nversion=1\n[[server]]\nid='s'\nweight=0\n[[server]]\nid='s'\nweight=0":                  `rules:7: key "server[1].id" names "s" again`,
		"form=1\nversion=1\n[[tenant]]\nname='alpha'\nshare=0.0\n[[tenant]]\nname='beta'\nshare=0.0":     `the module refuses it`,
		"form=1\nversion=1\n[[tenant]]\nname='alpha'\nshare=1e308\n[[tenant]]\nname='beta'\nshare=1e308": `the module refuses it`,
		"form=1\nversion=1\n#" + strings.Repeat("x", MaxDocumentBytes):                                   `bytes`,
	} {
		if _, err := Read([]byte(text), settings(2)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: error %v, want %s", text, err, want)
		}
	}
}

// Documents of the same meaning have the same digest; any difference in the effective values, from the document
// or from the settings, changes it.
func TestDigestFollowsMeaning(t *testing.T) {
	base := "form=1\nversion=7\nattempts=2\n[[tenant]]\nname='alpha'\nshare=0.5\n[[server]]\nid='s'\nweight=0.5\n"
	digest := func(text string, s Settings) string {
		t.Helper()
		set, err := Read([]byte(text), s)
		if err != nil {
			t.Fatal(err)
		}
		return set.Digest
	}
	of := digest(base, settings(2))
	for what, text := range map[string]string{
		"a comment, and the newer form": "# x\n" + strings.Replace(base, "form=1", "form=2", 1),
		"a weight of 1":                 base + "[[server]]\nid='t'\nweight=1\n",
		"a tenant as the settings":      base + "[[tenant]]\nname='beta'\nshare=2.0\n",
		"retries as the settings":       base + "[retries]\nspan='10s'\nfree=5\nshare=1e-1\n",
		"another order":                 "[[server]]\nweight=5e-1\nid='s'\n[[tenant]]\nshare=0.50\nname='alpha'\n", // the header is added below
	} {
		if what == "another order" {
			text = "attempts=2\nversion=7\nform=1\n" + text
		}
		if got := digest(text, settings(2)); got != of {
			t.Errorf("%s: the digest differs from that of the base", what)
		}
	}
	seen := map[string]string{of: "the base"}
	differ := func(what, digest string) {
		if other, ok := seen[digest]; ok {
			t.Errorf("%s has the digest of %s", what, other)
		}
		seen[digest] = what
	}
	for i, text := range []string{
		strings.Replace(base, "version=7", "version=8", 1), strings.Replace(base, "attempts=2", "attempts=1", 1),
		strings.Replace(base, "attempts=2", "without=['n']", 1), strings.Replace(base, "attempts=2", "", 1),
		strings.Replace(base, "share=0.5", "share=0.51", 1), strings.Replace(base, "share=0.5", "share=0.5\nquota=3.0", 1),
		strings.Replace(base, "alpha", "beta", 1), strings.Replace(base, "'s'", "'t'", 1), strings.Replace(base, "weight=0.5", "weight=0", 1),
		base + "[retries]\nspan='10s'\nfree=5\nshare=0.2\n", "form=2\n" + strings.Replace(base, "form=1\n", "", 1) + "[[zone]]\nname='s'\nweight=0.5\n",
	} {
		text = strings.Replace(text, "name='s'", "name='a'", 1)
		differ(fmt.Sprint("text ", i), digest(text, settings(2)))
	}
	for i, change := range []func(s *Settings){
		func(s *Settings) { s.Config.Tenants[1].Share = 3 }, func(s *Settings) { s.Config.Budget.Free = 6 },
		func(s *Settings) { s.Config.Tenants[1].Quota = 3 }, func(s *Settings) { s.Tenants = map[string]int{"alpha": 0, "gamma": 1} },
	} {
		s := settings(2)
		change(&s)
		differ(fmt.Sprint("settings ", i), digest(base, s))
	}
}

// Read returns a set or an error for every input, and never panics.
func FuzzRead(f *testing.F) {
	f.Add([]byte("form=1\nversion=7\nattempts=2\n[[tenant]]\nname='alpha'\nshare=0.5\n[[server]]\nid='s'\nweight=0.5\n"))
	f.Add([]byte("form=2\nversion=7\n[[zone]]\nname='a'\nweight=0\n[retries]\nspan='1s'"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Read(text, settings(2))
		if err != nil {
			return
		}
		if set.Version == 0 || set.Version != DeclaredVersion(text) || set.Digest == "" || set.Rules.Check(settings(2).Config) != nil {
			t.Errorf("%q is read as %+v", text, set)
		}
	})
}
