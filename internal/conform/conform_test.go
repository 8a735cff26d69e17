package conform

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func tables(t *testing.T) *Tables {
	t.Helper()
	tables, err := Load("testdata")
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

var programs string // where they are built

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds the two programs, plays the tests, and leaves nothing.
func build(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "conform"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programs)
	cmd := exec.Command("go", "build", "-o", programs+"/", "../../cmd/caperarch", "../../cmd/simhost")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// seeds are how many a row is played with on the module.
const seeds = 20

// playOn plays a row on a subject.
func playOn(t *testing.T, all *Tables, r Row, on string) []string {
	t.Helper()
	var faults []string
	var err error
	switch on {
	case "caperarch":
		faults, err = playProcess(all, r, filepath.Join(programs, "caperarch"), t.TempDir())
	case "simhost":
		var s *simhost
		if s, err = newSimhost(filepath.Join(programs, "simhost")); err == nil {
			faults, err = playVirtual(all, r, s, 1)
			err = errors.Join(err, s.close())
		}
	default: // a row holds whatever the module's own choices are
		for seed := uint64(1); seed <= seeds && err == nil && len(faults) == 0; seed++ {
			if faults, err = playVirtual(all, r, new(module), seed); len(faults) > 0 {
				faults[0] = fmt.Sprintf("seed %d: %s", seed, faults[0])
			}
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return faults
}

func TestRows(t *testing.T) {
	all := tables(t)
	for _, on := range Subjects {
		t.Run(on, func(t *testing.T) {
			for _, r := range all.Rows {
				if !slices.Contains(r.On, on) {
					continue
				}
				t.Run(r.ID, func(t *testing.T) {
					t.Parallel()
					faults := playOn(t, all, r, on)
					for _, f := range faults {
						if r.Open[on] == "" {
							t.Errorf("%s, for %v: %s", r.file, r.For, f)
						}
					}
					if r.Open[on] != "" {
						if len(faults) == 0 {
							t.Errorf("%s: the row holds now, though it is open: %s", r.file, r.Open[on])
						}
						t.Logf("open: %s: %q", r.Open[on], faults)
					}
				})
			}
		})
	}
}

// No sentence without a row or a reason, no row without a sentence.
func TestSentences(t *testing.T) {
	if err := tables(t).Check(); err != nil {
		t.Error(err)
	}
}

// The pages themselves are not kept here; where they are, no sentence may be without an entry and no entry without its sentence.
func TestPages(t *testing.T) {
	root := os.Getenv("CONFORM_PAGES")
	if root == "" {
		t.Skip("CONFORM_PAGES names no folder with the pages; the index stands in for them")
	}
	all := tables(t)
	var found []Sentence
	for _, p := range Pages {
		text, err := os.ReadFile(filepath.Join(root, p.Path))
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, Sentences(p, string(text))...)
	}
	before := "none"
	for _, s := range found {
		if at := slices.IndexFunc(all.Sentences, func(e Entry) bool { return e.Hash == s.Hash }); at >= 0 {
			before = all.Sentences[at].ID
			continue
		}
		t.Errorf("no entry has the hash %s, of the sentence that is now %s, behind that of entry %s", s.Hash, s.ID, before)
	}
	for _, e := range all.Sentences {
		if !slices.ContainsFunc(found, func(s Sentence) bool { return s.Hash == e.Hash }) {
			t.Errorf("entry %s has the hash %s: no sentence of the pages has", e.ID, e.Hash)
		}
	}
}

// The page for people lists what is open and which sentences have no row, as the tables have it.
func TestPageAgrees(t *testing.T) {
	raw, err := os.ReadFile("../../docs/conformance.md")
	if err != nil {
		t.Fatal(err)
	}
	page, all := string(raw), tables(t)
	for _, e := range all.Sentences {
		if line := fmt.Sprintf("| %s | %s | %s |\n", e.ID, e.Words, e.None); strings.Contains(page, line) != (e.None != "") {
			t.Errorf("%s: the page and the index differ on whether it has a row, or why not", e.ID)
		}
	}
	for _, name := range regexp.MustCompile(`scenarios/[\w-]+\.toml`).FindAllString(page, -1) {
		if _, err := os.Stat(filepath.Join("../..", name)); err != nil {
			t.Errorf("a sentence is left to a scenario that there is not: %v", err)
		}
	}
	for _, r := range all.Rows {
		if strings.Contains(page, "| `"+r.ID+"` | ") != (len(r.Open) > 0) {
			t.Errorf("%s: the page and the tables differ on whether it is open", r.ID)
		}
	}
}
