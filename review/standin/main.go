package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case could not run
)

// caseLimit is the longest that a case may take.
const caseLimit = 110 * time.Second

// play is what a case needs to run.
type play struct {
	root    string // the project's root
	dir     string // a temporary folder
	trouble bool   // with the disruption
	rec     *record
}

// say writes a line to the record and to the terminal.
func (p *play) say(format string, args ...any) {
	p.rec.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cases are the cases of the review, by the names of their folders. Each returns an exit code.
var cases = map[string]func(*play) int{"1": secondAnswers, "2": slowClients, "3": hungUpload}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, in the project at the second, and writes the record to the third.
func run() int {
	runtime.LockOSThread() // the sidecar is killed when the thread that started it ends
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	p := &play{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	time.AfterFunc(caseLimit, func() {
		p.say("the case took too long")
		os.Exit(failed)
	})
	return cases[os.Args[1]](p)
}
