package policy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// The module is read in one go by whoever is on call: the operators hold all of its files to 1,200 lines that are
// not blank, and the deploy file names each of them.
func TestModuleStaysWithinItsLimits(t *testing.T) {
	const mostLines, mostColumns = 1200, 110
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		if !strings.Contains(string(deploy), `"policy/`+file+`"`) {
			t.Errorf("deploy/balancer.toml does not name policy/%s among the files that decide", file)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for n, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if utf8.RuneCountInString(line) > mostColumns {
				t.Errorf("%s:%d has more than %d characters", file, n+1, mostColumns)
			}
		}
	}
	if lines > mostLines || lines == 0 {
		t.Errorf("%d lines that are not blank, at most %d", lines, mostLines)
	}
}
