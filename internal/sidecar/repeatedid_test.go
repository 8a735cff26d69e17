package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// startProcesses starts a number of processes of one sidecar, as in an upgrade, whose configuration lists one server.
func startProcesses(t *testing.T, processes int, address string) (all []*testSidecar) {
	t.Helper()
	list, shared := listAnswer(1, "ready", address), t.TempDir()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a watch: the list never changes
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	}))
	t.Cleanup(discovery.Close)
	for range processes {
		cfg := testConfig(t, list, func(file, _ map[string]any) { file["discovery"] = discovery.Listener.Addr().String() })
		cfg.SharedDir = shared
		all = append(all, startSidecarWith(t, cfg))
	}
	return all
}

// Guards against an id that runs twice because it comes again: behind its client's departure, while its first request still
// runs, or at the other process of an upgrade. A request that no server has seen may come again.
func TestRepeatedIDRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		method, path      string
		processes         int
		firstLeaves       bool // before its answer
		status, wantsRuns int  // of the second request, and of both
	}{
		"unsafe, behind its answer":         {"POST", "/entry", 1, false, http.StatusConflict, 1},
		"unsafe, its client has left":       {"POST", "/entry", 1, true, http.StatusConflict, 1},
		"keyed, its client has left":        {"POST", "/reading", 1, true, http.StatusConflict, 1},
		"unsafe, at the other process":      {"POST", "/entry", 2, false, http.StatusConflict, 1},
		"unsafe, left, at the other":        {"POST", "/entry", 2, true, http.StatusConflict, 1},
		"keyed, left, at the other process": {"POST", "/reading", 2, true, http.StatusConflict, 1},
		"safe, its client has left":         {"GET", "/look", 1, true, http.StatusOK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			if c.wantsRuns == 1 && c.firstLeaves {
				defer close(goOn)
			}
			s := newStub(t, func(conn net.Conn, r stubRequest) bool {
				<-goOn
				return echo(conn, r)
			})
			all := startProcesses(t, c.processes, s.address)
			request := func() string {
				head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service\r\nX-Request-ID: again\r\nX-Priority-Class: %s\r\nX-Tenant-Id: north\r\nX-Timeout: 20000m\r\n", c.method, c.path, c.path[1:])
				if c.path == "/reading" {
					head += "Idempotency-Key: k\r\n"
				}
				return head + "\r\n"
			}
			first := all[0].dial(t)
			if _, err := io.WriteString(first, request()); err != nil {
				t.Fatal(err)
			}
			wait(t, "the first request", s.requests)
			if c.firstLeaves {
				first.Close()
			} else {
				close(goOn)
				if status, _, err := readAnswer(first); err != nil || status != http.StatusOK {
					t.Fatalf("the first request: %d, error %v", status, err)
				}
			}
			second := all[len(all)-1].dial(t)
			if _, err := io.WriteString(second, request()); err != nil {
				t.Fatal(err)
			}
			if c.wantsRuns > 1 {
				wait(t, "the second request", s.requests)
				close(goOn)
			}
			status, _, err := readAnswer(second)
			if err != nil || status != c.status {
				t.Errorf("the second request: %d, error %v, want %d", status, err, c.status)
			}
			if len(s.requests) > 0 {
				t.Error("the server received it twice")
			}
		})
	}
}
