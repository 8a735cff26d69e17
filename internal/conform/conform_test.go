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

func loadTables(t *testing.T) *Tables {
	t.Helper()
	tables, err := Load("testdata")
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

var programDir string // where they are built

func TestMain(m *testing.M) { os.Exit(runWithPrograms(m)) }

// build builds the two programs, plays the tests, and leaves nothing.
func runWithPrograms(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "conform"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programDir)
	cmd := exec.Command("go", "build", "-o", programDir+"/", "../../cmd/caperarch", "../../cmd/simhost")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// seeds are how many a row is played with on the module.
const policySeeds = 20

// playOn plays a row on a subject.
func runOn(t *testing.T, all *Tables, r Row, on string) []string {
	t.Helper()
	var faults []string
	var err error
	switch on {
	case "caperarch":
		faults, err = runProcess(all, r, filepath.Join(programDir, "caperarch"), t.TempDir())
	case "simhost":
		var s *simhostSubject
		if s, err = newSimhost(filepath.Join(programDir, "simhost")); err == nil {
			faults, err = runVirtual(all, r, s, 1)
			err = errors.Join(err, s.close())
		}
	default: // a row holds whatever the module's own choices are
		for seed := uint64(1); seed <= policySeeds && err == nil && len(faults) == 0; seed++ {
			if faults, err = runVirtual(all, r, new(policySubject), seed); len(faults) > 0 {
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
	all := loadTables(t)
	for _, on := range Subjects {
		t.Run(on, func(t *testing.T) {
			for _, r := range all.Rows {
				if !slices.Contains(r.Subjects, on) {
					continue
				}
				t.Run(r.ID, func(t *testing.T) {
					t.Parallel()
					faults := runOn(t, all, r, on)
					for _, f := range faults {
						if r.KnownFailures[on] == "" {
							t.Errorf("%s, for %v: %s", r.file, r.Sentences, f)
						}
					}
					if r.KnownFailures[on] != "" {
						if len(faults) == 0 {
							t.Errorf("%s: the row holds now, though it is open: %s", r.file, r.KnownFailures[on])
						}
						t.Logf("open: %s: %q", r.KnownFailures[on], faults)
					}
				})
			}
		})
	}
}

// No sentence without a row or a reason, no row without a sentence.
func TestTablesAreComplete(t *testing.T) {
	if err := loadTables(t).Check(); err != nil {
		t.Error(err)
	}
}

// The pages themselves are not kept here; where they are, no sentence may be without an entry and no entry without its sentence.
func TestIndexCoversPages(t *testing.T) {
	root := os.Getenv("CONFORM_PAGES")
	if root == "" {
		t.Skip("CONFORM_PAGES names no folder with the pages; the index stands in for them")
	}
	all := loadTables(t)
	var found []Sentence
	for _, p := range Pages {
		text, err := os.ReadFile(filepath.Join(root, p.Path))
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, SplitSentences(p, string(text))...)
	}
	before := "none"
	for _, s := range found {
		if at := slices.IndexFunc(all.Sentences, func(e IndexEntry) bool { return e.Hash == s.Hash }); at >= 0 {
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
func TestDocumentationAgreesWithTables(t *testing.T) {
	raw, err := os.ReadFile("../../docs/conformance.md")
	if err != nil {
		t.Fatal(err)
	}
	page, all := string(raw), loadTables(t)
	for _, e := range all.Sentences {
		if line := fmt.Sprintf("| %s | %s | %s |\n", e.ID, e.Summary, e.NoRowReason); strings.Contains(page, line) != (e.NoRowReason != "") {
			t.Errorf("%s: the page and the index differ on whether it has a row, or why not", e.ID)
		}
	}
	for _, name := range regexp.MustCompile(`scenarios/[\w-]+\.toml`).FindAllString(page, -1) {
		if _, err := os.Stat(filepath.Join("../..", name)); err != nil {
			t.Errorf("a sentence is left to a scenario that there is not: %v", err)
		}
	}
	for _, r := range all.Rows {
		if strings.Contains(page, "| `"+r.ID+"` | ") != (len(r.KnownFailures) > 0) {
			t.Errorf("%s: the page and the tables differ on whether it is open", r.ID)
		}
	}
}
