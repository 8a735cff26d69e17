//go:build linux && (amd64 || arm64)

package sysfault

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	transferPairs  = 3                     // pairs of goroutines that transfer bytes through a pipe, and as many through a connection
	transferBytes  = 100                   // written at a time
	signalledTime  = 4 * time.Second       // how long signals are sent
	signalInterval = 20 * time.Microsecond // between two signals to all threads
	exitTimeout    = 10 * time.Second      // for the program to exit once it has been told to
)

// transferUntilClosed transfers bytes through pipes and connections, and checks that none is lost, repeated or changed. It
// ends once standard input is closed, and prints how many bytes arrived.
func transferUntilClosed() {
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for range transferPairs {
		for _, open := range []func() (io.Reader, io.WriteCloser){openPipe, openConnection} {
			in, out := open()
			all.Go(func() {
				n := receiveSequence(in)
				mu.Lock()
				defer mu.Unlock()
				total += n
			})
			all.Go(func() { sendSequence(out, stop) })
		}
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	close(stop)
	all.Wait()
	fmt.Println("transferred", total)
}

// openPipe opens a pipe.
func openPipe() (io.Reader, io.WriteCloser) {
	in, out, err := os.Pipe()
	if err != nil {
		panic(err)
	}
	return in, out
}

// openConnection opens a TCP connection of the program with itself.
func openConnection() (io.Reader, io.WriteCloser) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	in, err := l.Accept()
	if err != nil {
		panic(err)
	}
	return in, out
}

// sendSequence writes the bytes 0 to 255 over and over, until stop is closed.
func sendSequence(out io.WriteCloser, stop <-chan struct{}) {
	defer out.Close()
	text, next := make([]byte, transferBytes), byte(0)
	for {
		select {
		case <-stop:
			return
		default:
		}
		for i := range text {
			text[i] = next
			next++
		}
		if _, err := out.Write(text); err != nil {
			panic(err)
		}
	}
}

// receiveSequence reads what sendSequence writes and returns the number of bytes.
func receiveSequence(in io.Reader) (n int) {
	text := make([]byte, transferBytes)
	for {
		got, err := in.Read(text)
		for _, b := range text[:got] {
			if b != byte(n) {
				panic(fmt.Sprintf("byte %d is %d", n, b))
			}
			n++
		}
		if err == io.EOF {
			return n
		}
		if err != nil {
			panic(err)
		}
	}
}

// Signals that interrupt the supervisor's own system calls neither end the supervision, which would make the program's
// calls fail, nor lose a response, which would block one of its threads for good.
func TestSignalsAtSupervisorLoseNoCall(t *testing.T) {
	cmd := subjectCommand("transfer")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	var output strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &output
	calls := 0
	s, err := Start(cmd, Options{Calls: []int{unix.SYS_READ, unix.SYS_WRITE}, Decide: func(Call) Effect {
		switch calls++; calls % 3 {
		case 0:
			return Effect{Delay: time.Microsecond}
		case 1:
			return Effect{MaxBytes: 7}
		}
		return Effect{}
	}})
	if err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	stop := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { signalOwnThreads(stop) })
	select {
	case err := <-exited:
		t.Errorf("the program ended early: %v", err)
		exited <- err
	case <-time.After(signalledTime):
	}
	close(stop)
	sender.Wait()
	in.Close()
	select {
	case err := <-exited:
		if err != nil || !strings.Contains(output.String(), "transferred") {
			t.Errorf("the program ended with %v: %s", err, output.String())
		}
	case <-time.After(exitTimeout):
		t.Error("the program hangs in a call")
		_ = cmd.Process.Kill() // fails only if it has ended
		<-exited
	}
	s.Wait()
	if err := s.Err(); err != nil {
		t.Error(err)
	}
}

// signalOwnThreads sends SIGURG, which Go programs ignore, to all threads of this process until stop is closed.
func signalOwnThreads(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(signalInterval):
		}
		threads, err := os.ReadDir("/proc/self/task")
		if err != nil {
			continue
		}
		for _, thread := range threads {
			if id, err := strconv.Atoi(thread.Name()); err == nil {
				_ = unix.Tgkill(os.Getpid(), id, unix.SIGURG) // fails if the thread has ended
			}
		}
	}
}
