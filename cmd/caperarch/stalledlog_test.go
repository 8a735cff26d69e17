//go:build linux && (amd64 || arm64)

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

// loggingSidecar is a sidecar whose log goes to a pipe that the test controls.
type loggingSidecar struct {
	cmd    *exec.Cmd
	log    *os.File
	listen string
	exited chan error
}

// startLogging starts a sidecar with log level debug, and reads its log until it serves.
func startLogging(t *testing.T, config string) *loggingSidecar {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := &loggingSidecar{cmd: caperarchCommand(t, config), log: read, exited: make(chan error, 1)}
	s.cmd.Env = append(s.cmd.Env, "EDGE_LOG_LEVEL=debug")
	s.cmd.Stderr = write
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	go func() { s.exited <- s.cmd.Wait() }()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill() // fails only if the process has ended
		read.Close()
	})
	serving := regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	for lines := bufio.NewScanner(read); lines.Scan(); {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			s.listen = m[1]
			return s
		}
	}
	t.Fatal("the sidecar did not start serving")
	return nil
}

// checkAnswers sends requests one after the other on one connection. Each must be answered.
func (s *loggingSidecar) checkAnswers(t *testing.T, requests int) {
	t.Helper()
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn, bufio.NewReader(conn)}
	for i := range requests {
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
		id := fmt.Sprint("q", i)
		c.send(request(id, time.Second))
		if c.wantAnswer(id, http.StatusOK); t.Failed() {
			t.FailNow()
		}
	}
}

// stop sends SIGTERM and waits until the sidecar has exited without an error.
func (s *loggingSidecar) stop(t *testing.T) {
	t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-s.exited:
		if err != nil {
			t.Errorf("the sidecar exited with %v", err)
		}
	case <-time.After(eventTimeout):
		t.Error("the sidecar did not exit")
	}
}

// With a full log pipe that has no active reader, requests must still be answered and SIGTERM must still end the sidecar.
func TestStalledLogReaderBlocksNoRequest(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startLogging(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000))
	s.checkAnswers(t, 400) // each logs several lines, enough to fill the pipe of 64 KiB
	s.stop(t)
}

// If the reader of the log exits and closes the pipe, the sidecar must keep serving and end on SIGTERM.
func TestClosedLogPipeEndsNoSidecar(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startLogging(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000))
	s.log.Close()
	s.checkAnswers(t, 20)
	s.stop(t)
}
