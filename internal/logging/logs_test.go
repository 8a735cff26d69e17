package logging

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestSetup(t *testing.T) {
	defer slog.SetDefault(slog.Default())
	for _, c := range []struct {
		format, level string
		good          bool
		lines         int // lines expected in the log after one info and one debug event
	}{{"", "", true, 1}, {"json", "debug", true, 2}, {"text", "error", true, 0}, {"xml", "", false, 1}, {"", "loud", false, 1}} {
		var out bytes.Buffer
		err := Setup(&out, func(name string) string {
			return map[string]string{"EDGE_LOG": c.format, "EDGE_LOG_LEVEL": c.level}[name]
		})
		slog.Info("one", "server", "s-1")
		slog.Debug("two", "server", "s-1")
		if n := bytes.Count(out.Bytes(), []byte("\n")); (err == nil) != c.good || n != c.lines {
			t.Errorf("%q %q: error %v, %d lines, want %d:\n%s", c.format, c.level, err, n, c.lines, &out)
		}
		if c.format == "json" && !json.Valid(bytes.SplitN(out.Bytes(), []byte("\n"), 2)[0]) {
			t.Errorf("not valid JSON: %s", &out)
		}
	}
}

// Every event that the programs log must have a constant message, and be listed with its attribute keys in the page for
// operators.
func TestEventsAreListed(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string][]string) // attribute keys by event
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "|"); len(cells) == 6 {
			listed[strings.Trim(cells[1], " `")] = strings.Fields(strings.ReplaceAll(cells[3], "`", ""))
		}
	}
	found := 0
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || len(call.Args) == 0 {
					return true
				}
				sel, ok := call.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				x, isPackage := sel.X.(*ast.Ident)
				field, isField := sel.X.(*ast.SelectorExpr) // a logger in a struct field named log
				logger := isPackage && x.Name == "slog" || isField && field.Sel.Name == "log"
				if !logger || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name) {
					return true
				}
				found++
				at := set.Position(call.Pos())
				name, ok := stringLiteral(call.Args[0])
				keys, known := listed[name]
				if !ok || !known {
					t.Errorf("%s: event %q is not listed in docs/operations.md", at, name)
					return true
				}
				for i := 1; i < len(call.Args); i += 2 {
					if key, ok := stringLiteral(call.Args[i]); !ok || !slices.Contains(keys, key) {
						t.Errorf("%s: key %q of event %q is not listed in docs/operations.md", at, key, name)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if found < 10 {
		t.Errorf("%d events found, want at least 10: the test searches the wrong directories", found)
	}
}

// stringLiteral returns the value of an expression that is a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	lines   atomic.Int64
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.lines.Add(1)
	return len(p), nil
}

// Writing a log line must not block while the underlying writer stalls. Once that continues it must get a bounded number of
// lines.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := &stalledWriter{release: make(chan struct{})}
	log := NewAsyncWriter(w)
	for range 3 * maxPendingLines {
		if _, err := log.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	log.Flush(time.Millisecond) // must return although the writer stalls
	close(w.release)
	log.Flush(time.Minute)
	if n := w.lines.Load(); n == 0 || n > maxPendingLines+1 {
		t.Errorf("%d lines were written, want some but at most the pending limit", n)
	}
}
