package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Connections make room in the order of how little they are needed, and those with an open request do not.
func TestWhoMakesRoom(t *testing.T) {
	l := newClients(testConfig(t, listed(1, "ready"), nil), nil, noUpstreams)
	names := make(map[*clientConn]string)
	for _, c := range []struct {
		name  string
		age   time.Duration
		spoke time.Duration // ago; 0: never
		known bool
		state http.ConnState
	}{
		{"open request", time.Hour, time.Hour, true, http.StateActive},
		{"first request read", time.Hour, time.Hour, false, http.StateNew},
		{"next request read", time.Hour, time.Hour, true, http.StateIdle},
		{"half a next request", 1500 * time.Millisecond, 1500 * time.Millisecond, true, http.StateIdle},
		{"slow, goes on", 2 * time.Second, 50 * time.Millisecond, false, http.StateNew},
		{"half a request", time.Second, time.Second, false, http.StateActive},
		{"idle, newer", time.Second, time.Second, true, http.StateIdle},
		{"idle", 2 * time.Second, time.Second, true, http.StateIdle},
		{"silent", time.Second, 0, false, http.StateNew},
		{"just come", 0, 0, false, http.StateNew},
	} {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.enter(k) {
			t.Fatal("no room")
		}
		k.since, k.known, k.state = k.since.Add(-c.age), c.known, c.state
		if c.spoke > 0 {
			k.spoke.Store(time.Now().Add(-c.spoke).UnixNano())
		}
		if k.begun = c.spoke > 0 && !strings.HasPrefix(c.name, "idle"); k.begun && !strings.HasSuffix(c.name, "read") {
			_, _ = k.framing.follow([]byte("POST")) // a good beginning
		}
		names[k] = c.name
	}
	var order []string
	for l.shedOne() {
		for k, name := range names {
			if _, held := l.conns[k]; !held {
				order = append(order, name)
				delete(names, k)
			}
		}
	}
	want := []string{"silent", "idle", "idle, newer", "half a next request", "half a request", "slow, goes on", "just come"}
	if !slices.Equal(order, want) {
		t.Errorf("room is made by %q, want %q", order, want)
	}
}

// Clients may take the descriptors that upstreams leave, and give them back once upstreams want them.
func TestClientsTakeWhatUpstreamsLeave(t *testing.T) {
	cfg := testConfig(t, listed(1, "ready"), nil)
	upstreams := 10
	l := newClients(cfg, nil, func() int { return upstreams })
	var all []*clientConn
	for range cfg.Sockets {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.enter(k) {
			t.Fatal("no room")
		}
		all = append(all, k)
	}
	if n := len(l.conns); n <= l.room || n+upstreams > cfg.allConns(1) {
		t.Errorf("%d held beside %d upstreams, want more than %d and %d together at most", n, upstreams, l.room, cfg.allConns(1))
	}
	for ; upstreams < cfg.upstreamConns(1); upstreams++ {
		if !l.yield(upstreams) || len(l.conns)+upstreams >= cfg.allConns(1) {
			t.Fatalf("%d held beside %d upstreams and one to come", len(l.conns), upstreams)
		}
	}
	for _, k := range all {
		if _, held := l.conns[k]; held {
			l.took(l.with(context.Background(), k))
		}
	}
	if l.yield(cfg.allConns(1)) {
		t.Error("connections with open requests made room")
	}
}

// With limits cut by half too, what clients, upstreams, operators and the process itself may hold fits.
func TestDescriptorsAreSetAside(t *testing.T) {
	for _, sockets := range []float64{96, 128, 192, 1024} {
		cfg := testConfig(t, listed(1, "ready"), func(file, _ map[string]any) {
			file["console"] = "127.0.0.1:0"
			file["limits"].(map[string]any)["sockets"] = sockets
		})
		const process = 10 // standard streams, poller and its wake-up, listeners, lock, discovery twice
		if all := cfg.allConns(1) + consoleConns + process; all > cfg.Sockets {
			t.Errorf("%d descriptors may be held of %d", all, cfg.Sockets)
		}
	}
}

// Bytes that come as a connection is ended are either read, and it goes on, or it is closed and nothing is read of it.
func TestBytesCrossTheEnd(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listed(1, "ready"), nil), listener, noUpstreams)
	defer l.Close()
	var read, ended int
	for range 500 {
		far := dialled(t, listener.Addr().String())
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k, went, got := near.(*clientConn), make(chan bool), make(chan int)
		go func() {
			n, _ := k.Read(make([]byte, 10))
			got <- n
		}()
		go func() { went <- k.end(false) }()
		if _, err := far.Write([]byte("GET")); err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		n, over := wait(t, "the read", got), wait(t, "the end", went)
		if over == (n > 0) {
			t.Fatalf("%d bytes read, ended %v", n, over)
		}
		if over {
			ended++
		} else {
			read++
		}
		far.Close()
		near.Close()
		l.stateOf(near, http.StateClosed)
	}
	t.Logf("%d read, %d ended", read, ended)
}
