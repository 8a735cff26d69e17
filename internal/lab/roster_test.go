//go:build linux && (amd64 || arm64)

package lab

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"arrowgw/internal/world"
)

// startRoster starts discovery for a scenario, with servers. Both are closed at the end of the test.
func startRoster(t *testing.T, s *Scenario) *roster {
	t.Helper()
	n, err := claimSubnet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.release)
	c, h := newClock(), new(History)
	all, err := newServers(s, 1, c, h, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(all.close)
	r, err := newRoster(s, c, h, n, all)
	t.Cleanup(r.close)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// inspectingWriter calls a function before an answer is written.
type inspectingWriter struct {
	*httptest.ResponseRecorder
	before func()
}

// Write implements http.ResponseWriter.
func (w inspectingWriter) Write(p []byte) (int, error) {
	w.before()
	return w.ResponseRecorder.Write(p)
}

// A server's return counts from before the answer that tells of it is written, as the sidecar may act on the answer at
// once; that a server is out counts only once the answer is written.
func TestReturnCountsBeforeItIsWritten(t *testing.T) {
	s := readScenario(t, "[fleet]\nsidecars=1\nservers=2")
	r := startRoster(t, s)
	r.clock.startIn(0)
	r.knownOut[0][1] = true
	r.list.Set(world.Entry{Server: 0, Lifecycle: world.Draining})
	local := &net.TCPAddr{IP: net.ParseIP(r.net.host(0)), Port: r.port}
	req := httptest.NewRequest(http.MethodGet, "/discovery/hosts", nil)
	req = req.WithContext(context.WithValue(req.Context(), http.LocalAddrContextKey, net.Addr(local)))
	var returned, out bool // known to the sidecar as the answer is written
	w := inspectingWriter{httptest.NewRecorder(), func() { returned, out = !r.knownOut[0][1], r.knownOut[0][0] }}
	r.ServeHTTP(w, req)
	if w.Code != http.StatusOK || !returned || out || !r.knownOut[0][0] {
		t.Errorf("status %d; before the write: return known %v, drain known %v; behind it: drain known %v", w.Code, returned, out, r.knownOut[0][0])
	}
}
