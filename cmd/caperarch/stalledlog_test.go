//go:build linux && amd64

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"
)

// Nobody reads the log any more, so that its pipe is full: requests are answered all the same, and SIGTERM ends the sidecar.
func TestStalledLogReaderHoldsUpNoRequest(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	cmd := program(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000))
	cmd.Env = append(cmd.Env, "EDGE_LOG_LEVEL=debug")
	cmd.Stderr = write
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }() // it fails only if it has ended
	address := servingAt(t, read)

	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn, bufio.NewReader(conn)}
	for i := range 400 { // some lines each: the pipe holds 64 KiB
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed one
		id := fmt.Sprint("q", i)
		c.send(request(id, time.Second))
		if c.wants(id, http.StatusOK); t.Failed() {
			return
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("it did not end")
	}
}

// servingAt reads a log until it tells where the sidecar serves.
func servingAt(t *testing.T, log *os.File) string {
	t.Helper()
	serving := regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			return m[1]
		}
	}
	t.Fatal("it never served")
	return ""
}
