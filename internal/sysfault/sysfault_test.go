//go:build linux && amd64

package sysfault

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain lets the test program stand in for a program under supervision: one that does what its variable says.
func TestMain(m *testing.M) {
	Launch()
	switch os.Getenv("SUBJECT") {
	case "accept":
		subjectAccepts()
	case "clock":
		subjectTellsTime()
	default:
		os.Exit(m.Run())
	}
}

// subjectAccepts echoes what one connection sends, and says what accept returned until it came.
func subjectAccepts() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			fmt.Println(err)
			continue
		}
		_, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c}) // not by splice
		c.Close()
		return
	}
}

// subjectTellsTime tells its wall clock, and how long it has run, for each line that it reads.
func subjectTellsTime() {
	start, line := time.Now(), make([]byte, 1)
	for {
		if n, err := os.Stdin.Read(line); n == 0 || err != nil {
			return
		}
		fmt.Println(time.Now().Unix(), time.Since(start) < time.Minute)
	}
}

func subject(what string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SUBJECT="+what)
	return cmd
}

// A call fails with the error that was decided, and reads and writes move no more bytes than was decided.
func TestCallsAreDecided(t *testing.T) {
	cmd := subject("accept")
	said, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var failures, shorts atomic.Int64
	s, err := Start(cmd, Options{Calls: []int{unix.SYS_ACCEPT4, unix.SYS_READ, unix.SYS_WRITE}, Decide: func(c Call) Effect {
		switch {
		case c.Number != unix.SYS_ACCEPT4:
			shorts.Add(1)
			return Effect{MaxBytes: 3}
		case failures.Add(1) == 1:
			return Effect{Errno: syscall.ENETUNREACH}
		}
		return Effect{}
	}})
	if err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 200)
	n, err := said.Read(text)
	if err != nil {
		t.Fatal(err)
	}
	address, rest, _ := strings.Cut(string(text[:n]), "\n")
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789"), 20)
	if _, err := c.Write(sent); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("got %q, error %v, want what was sent", got, err)
	}
	more, _ := io.ReadAll(said)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	s.Wait()
	if !strings.Contains(rest+string(more), "network is unreachable") {
		t.Errorf("it said %q, want that accept failed", rest+string(more))
	}
	if least := int64(2 * len(sent) / 3); shorts.Load() < least {
		t.Errorf("%d reads and writes, want %d at least", shorts.Load(), least)
	}
}

// The wall clock is stepped, and the monotonic one goes on.
func TestClockIsStepped(t *testing.T) {
	cmd := subject("clock")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(cmd, Options{ControlClock: true})
	if err != nil {
		t.Fatal(err)
	}
	ask := func() (seconds int64) {
		t.Helper()
		var short bool
		if _, err := io.WriteString(in, "."); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fscanln(out, &seconds, &short); err != nil || !short {
			t.Fatalf("error %v; the monotonic clock went on by little: %v", err, short)
		}
		return seconds
	}
	before := ask()
	s.StepClock(time.Hour)
	after := ask()
	s.StepClock(-2 * time.Hour)
	back := ask()
	if forth, away := after-before, back-after; forth < 3600 || forth > 3660 || away > -7140 || away < -7200 {
		t.Errorf("the clock told %d, %d and %d, want steps by 3600 and -7200", before, after, back)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	s.Wait()
}
