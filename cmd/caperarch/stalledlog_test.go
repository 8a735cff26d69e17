//go:build linux && amd64

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"syscall"
	"testing"
	"time"
)

// loggingSidecar is a sidecar with a log that the test reads, or does not.
type loggingSidecar struct {
	cmd    *exec.Cmd
	log    *os.File
	listen string
	ended  chan error
}

// startLogging starts a sidecar at level debug, and reads its log until it serves.
func startLogging(t *testing.T, config string) *loggingSidecar {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := &loggingSidecar{cmd: program(t, config), log: read, ended: make(chan error, 1)}
	s.cmd.Env = append(s.cmd.Env, "EDGE_LOG_LEVEL=debug")
	s.cmd.Stderr = write
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	go func() { s.ended <- s.cmd.Wait() }()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill() // it fails only if it has ended
		read.Close()
	})
	serving := regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	for lines := bufio.NewScanner(read); lines.Scan(); {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			s.listen = m[1]
			return s
		}
	}
	t.Fatal("it never served")
	return nil
}

// answers sends requests behind each other on a connection; each has to be answered.
func (s *loggingSidecar) answers(t *testing.T, requests int) {
	t.Helper()
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn, bufio.NewReader(conn)}
	for i := range requests {
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed one
		id := fmt.Sprint("q", i)
		c.send(request(id, time.Second))
		if c.wants(id, http.StatusOK); t.Failed() {
			t.FailNow()
		}
	}
}

// ends tells the sidecar to stop, and waits until it has.
func (s *loggingSidecar) ends(t *testing.T) {
	t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("it did not end")
	}
}

// Nobody reads the log any more, so that its pipe is full: requests are answered all the same, and SIGTERM ends the sidecar.
func TestStalledLogReaderHoldsUpNoRequest(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startLogging(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000))
	s.answers(t, 400) // some lines each: the pipe holds 64 KiB
	s.ends(t)
}

// The reader of the log goes away, as its program ends: the sidecar goes on, and ends as it is told to.
func TestLogReaderThatGoesAwayEndsNoSidecar(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startLogging(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000))
	s.log.Close()
	s.answers(t, 20)
	s.ends(t)
}
