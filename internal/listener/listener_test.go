//go:build linux

package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout limits every wait in tests.
const testTimeout = 20 * time.Second

// listen opens a Listener with the given options, and returns it and its address.
func listen(t *testing.T, o options) (*Listener, string) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	l.options = o
	return l, l.Addr().String()
}

// dialTCP opens a connection to address with testTimeout as its deadline.
func dialTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout)) // fails only on a closed connection
	return c
}

// A connection whose registration with the network poller fails at first can be read and written once it succeeds,
// also by a read that began before.
func TestRegistrationIsRetried(t *testing.T) {
	var refusals atomic.Int64
	refusals.Store(5)
	l, address := listen(t, options{registerTimeout: testTimeout, register: func(f *os.File) error {
		if refusals.Add(-1) >= 0 {
			return ErrUnregistered
		}
		return checkRegistered(f)
	}})
	far := dialTCP(t, address)
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(near, make([]byte, 5))
		read <- err
	}()
	if _, err := io.WriteString(far, "hello"); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(near, "there"); err != nil {
		t.Fatal(err)
	}
	if err := near.(*Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(far); err != nil || string(got) != "there" {
		t.Errorf("the other side read %q, error %v", got, err)
	}
	if err := near.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read after its deadline failed with %v", err)
	}
}

// If a connection can't be registered with the network poller, its reads fail after the timeout, and it can still be
// written to and closed.
func TestConnectionIsNeverRegistered(t *testing.T) {
	l, address := listen(t, options{registerTimeout: 20 * time.Millisecond, register: func(*os.File) error { return ErrUnregistered }})
	far := dialTCP(t, address)
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, ErrUnregistered) {
			t.Errorf("a read failed with %v, want %v", err, ErrUnregistered)
		}
	}
	if _, err := io.WriteString(near, "no"); err != nil {
		t.Fatal(err)
	}
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(far); err != nil || string(got) != "no" {
		t.Errorf("the other side read %q, error %v", got, err)
	}
}

// Closing a connection ends a read's wait for its registration.
func TestCloseEndsRegistration(t *testing.T) {
	asked := make(chan struct{}, 1)
	l, address := listen(t, options{registerTimeout: time.Hour, register: func(*os.File) error {
		select {
		case asked <- struct{}{}:
		default:
		}
		return ErrUnregistered
	}})
	dialTCP(t, address)
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	<-asked
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	<-asked // by the read
	near.Close()
	select {
	case err := <-read:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("the read failed with %v, want %v", err, net.ErrClosed)
		}
	case <-time.After(testTimeout):
		t.Fatal("the read did not return")
	}
}

// A blocked Accept returns all connections that arrived before Shutdown, and then net.ErrClosed.
func TestAcceptAfterShutdown(t *testing.T) {
	l, address := listen(t, defaultOptions())
	accepted := make(chan error, 10)
	go func() {
		for {
			_, err := l.Accept()
			accepted <- err
			if errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	for range 3 {
		dialTCP(t, address)
	}
	if err := l.Shutdown(); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
	}
	for end := time.After(testTimeout); ; {
		select {
		case err := <-accepted:
			if errors.Is(err, net.ErrClosed) {
				return
			}
		case <-end:
			t.Fatal("Accept did not fail after the end of listening")
		}
	}
}
