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

// loadTables loads the tables from testdata.
func loadTables(t *testing.T) *Tables {
	t.Helper()
	tables, err := Load("testdata")
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

// programDir holds the built programs.
var programDir string

func TestMain(m *testing.M) { os.Exit(runWithPrograms(m)) }

// runWithPrograms builds caperarch and simhost, runs the tests and removes the programs. It returns the exit code.
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

// policySeeds is the number of seeds with which each row runs against the decision module.
const policySeeds = 20

// runOn runs a row against a subject and returns the failed checks.
func runOn(t *testing.T, tables *Tables, r Row, subject string) []string {
	t.Helper()
	var failures []string
	var err error
	switch subject {
	case "caperarch":
		failures, err = runProcess(tables, r, filepath.Join(programDir, "caperarch"), t.TempDir())
	case "simhost":
		var s *simhostSubject
		if s, err = newSimhost(filepath.Join(programDir, "simhost")); err == nil {
			failures, err = runVirtual(tables, r, s, 1)
			err = errors.Join(err, s.close())
		}
	default: // rows must pass for any random choices of the decision module
		for seed := uint64(1); seed <= policySeeds && err == nil && len(failures) == 0; seed++ {
			if failures, err = runVirtual(tables, r, new(policySubject), seed); len(failures) > 0 {
				failures[0] = fmt.Sprintf("seed %d: %s", seed, failures[0])
			}
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return failures
}

// Every row passes on each subject that it names. A row with a known failure on a subject has to fail there, so that a
// fixed failure is noticed.
func TestRows(t *testing.T) {
	tables := loadTables(t)
	for _, subject := range Subjects {
		t.Run(subject, func(t *testing.T) {
			for _, r := range tables.Rows {
				if !slices.Contains(r.Subjects, subject) {
					continue
				}
				t.Run(r.ID, func(t *testing.T) {
					t.Parallel()
					failures := runOn(t, tables, r, subject)
					for _, f := range failures {
						if r.KnownFailures[subject] == "" {
							t.Errorf("%s, for %v: %s", r.file, r.Sentences, f)
						}
					}
					if r.KnownFailures[subject] != "" {
						if len(failures) == 0 {
							t.Errorf("%s: the row passes, although it has a known failure: %s", r.file, r.KnownFailures[subject])
						}
						t.Logf("known failure: %s: %q", r.KnownFailures[subject], failures)
					}
				})
			}
		})
	}
}

// Every sentence of the index has a row or a reason for having none, and every row names a sentence.
func TestTablesAreComplete(t *testing.T) {
	if err := loadTables(t).Check(); err != nil {
		t.Error(err)
	}
}

// The index has an entry for each sentence of the specification, and no others. The specification's pages are not part
// of the repository, so the test runs only where CONFORM_PAGES names a directory with them.
func TestIndexCoversPages(t *testing.T) {
	dir := os.Getenv("CONFORM_PAGES")
	if dir == "" {
		t.Skip("CONFORM_PAGES does not name a directory with the specification's pages")
	}
	tables := loadTables(t)
	var found []Sentence
	for _, p := range Pages {
		text, err := os.ReadFile(filepath.Join(dir, p.Path))
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, SplitSentences(p, string(text))...)
	}
	previous := "none"
	for _, s := range found {
		if at := slices.IndexFunc(tables.Sentences, func(e IndexEntry) bool { return e.Hash == s.Hash }); at >= 0 {
			previous = tables.Sentences[at].ID
			continue
		}
		t.Errorf("the index has no entry with hash %s, the hash of sentence %s; the sentence before it has entry %s", s.Hash, s.ID, previous)
	}
	for _, e := range tables.Sentences {
		if !slices.ContainsFunc(found, func(s Sentence) bool { return s.Hash == e.Hash }) {
			t.Errorf("entry %s has hash %s, which no sentence of the pages has", e.ID, e.Hash)
		}
	}
}

// docs/conformance.md lists the rows with known failures and the sentences without a row exactly as the tables do.
func TestDocumentationAgreesWithTables(t *testing.T) {
	raw, err := os.ReadFile("../../docs/conformance.md")
	if err != nil {
		t.Fatal(err)
	}
	page, tables := string(raw), loadTables(t)
	for _, e := range tables.Sentences {
		if line := fmt.Sprintf("| %s | %s | %s |\n", e.ID, e.Summary, e.NoRowReason); strings.Contains(page, line) != (e.NoRowReason != "") {
			t.Errorf("sentence %s: docs/conformance.md and the index differ on whether or why it has no row", e.ID)
		}
	}
	for _, name := range regexp.MustCompile(`scenarios/[\w-]+\.toml`).FindAllString(page, -1) {
		if _, err := os.Stat(filepath.Join("../..", name)); err != nil {
			t.Errorf("docs/conformance.md refers to a scenario that does not exist: %v", err)
		}
	}
	for _, r := range tables.Rows {
		if strings.Contains(page, "| `"+r.ID+"` | ") != (len(r.KnownFailures) > 0) {
			t.Errorf("row %s: docs/conformance.md and the tables differ on whether it has a known failure", r.ID)
		}
	}
}
