//go:build linux && (amd64 || arm64)

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

// TestMain makes the test binary also serve as the launcher and, if SUBJECT is set, as the supervised program.
func TestMain(m *testing.M) {
	Launch()
	switch os.Getenv("SUBJECT") {
	case "accept":
		echoOneConnection()
	case "clock":
		printClock()
	case "transfer":
		transferUntilClosed()
	case "reuse":
		reuseBrokenConnection()
	default:
		os.Exit(m.Run())
	}
}

// echoOneConnection prints the address that it listens on and each error of accept, echoes one connection, and returns.
func echoOneConnection() {
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
		_, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c}) // hides the types so that io.Copy uses read and write, not splice
		c.Close()
		return
	}
}

// printClock prints, for each byte that it reads, the wall clock in seconds and whether less than a minute has passed
// on the monotonic clock.
func printClock() {
	start, line := time.Now(), make([]byte, 1)
	for {
		if n, err := os.Stdin.Read(line); n == 0 || err != nil {
			return
		}
		fmt.Println(time.Now().Unix(), time.Since(start) < time.Minute)
	}
}

// subjectCommand returns a command that runs the test binary as a supervised program.
func subjectCommand(mode string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SUBJECT="+mode)
	return cmd
}

// Calls fail with the injected error, and reads and writes move no more bytes than the injected limit.
func TestCallsFailAndMoveFewBytes(t *testing.T) {
	cmd := subjectCommand("accept")
	output, err := cmd.StdoutPipe()
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
	n, err := output.Read(text)
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
		t.Errorf("echo is %q, error %v, want the bytes that were sent", got, err)
	}
	more, _ := io.ReadAll(output)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	s.Wait()
	if !strings.Contains(rest+string(more), "network is unreachable") {
		t.Errorf("the program printed %q, want the error of accept", rest+string(more))
	}
	if minShorts := int64(2 * len(sent) / 3); shorts.Load() < minShorts {
		t.Errorf("%d reads and writes, want at least %d", shorts.Load(), minShorts)
	}
}

// reuseBrokenConnection reads twice from a connection on which bytes wait, then writes to it, and prints each error.
func reuseBrokenConnection() {
	in, out := openConnection()
	if _, err := out.Write([]byte("waits")); err != nil {
		panic(err)
	}
	buffer := make([]byte, 100)
	for range 2 {
		n, err := in.Read(buffer)
		fmt.Println(n, err)
	}
	_, err := in.(net.Conn).Write(buffer)
	fmt.Println(err)
}

// A connection that an injected error breaks stays broken, as the kernel has it: what has arrived is dropped, the next read
// is at the end, and a write fails.
func TestBrokenConnectionStaysBroken(t *testing.T) {
	cmd := subjectCommand("reuse")
	var broken atomic.Bool
	var output strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &output
	s, err := Start(cmd, Options{Calls: []int{unix.SYS_READ}, Decide: func(c Call) Effect {
		if c.Arguments[2] != 100 || broken.Swap(true) { // not the read of the connection
			return Effect{}
		}
		return Effect{Errno: syscall.ETIMEDOUT, BreaksConnection: true}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	s.Wait()
	text := output.String()
	for _, want := range []string{"0 read tcp", "connection timed out", "0 EOF", "broken pipe"} {
		if !strings.Contains(text, want) {
			t.Errorf("the program printed %q, want %q in it", text, want)
		}
	}
}

// StepClock steps the wall clock and does not change the monotonic clock.
func TestClockIsStepped(t *testing.T) {
	cmd := subjectCommand("clock")
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
			t.Fatalf("error %v; less than a minute on the monotonic clock: %v", err, short)
		}
		return seconds
	}
	before := ask()
	s.StepClock(time.Hour)
	after := ask()
	s.StepClock(-2 * time.Hour)
	back := ask()
	if forward, backward := after-before, back-after; forward < 3600 || forward > 3660 || backward > -7140 || backward < -7200 {
		t.Errorf("the wall clock read %d, %d and %d, want steps of 3600 and -7200", before, after, back)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	s.Wait()
}
