package lab

import (
	"bufio"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var addedTimeLength = flag.Duration("added-for", 15*time.Second, "how long a run of BenchmarkAddedTime counts calls")

const (
	addedSidecars      = 1900                   // in the fleet, according to the settings
	addedRate          = 142                    // calls per second at each of them, on which the quotas are based
	addedWarmup        = 2 * time.Second        // at the start, in which calls are made and not counted
	addedAnswerTimeout = 2 * time.Second        // after the last call
	timerTolerance     = 200 * time.Microsecond // timers are usually late by less

	countersInterval = 6 * time.Second // the sidecar writes its counters at least this often
)

// waitedCounter matches the number of attempts that waited for a connection in a line of the sidecar's counters.
var waitedCounter = regexp.MustCompile(`\bquiet:(\d+)`)

// BenchmarkAddedTime measures the latency that the sidecar adds to a call. One run makes calls directly to a server and calls
// through the real program concurrently, each at random times of the same mean rate. The latency of a call counts from the
// time at which it was due.
func BenchmarkAddedTime(b *testing.B) {
	for _, servers := range []int{10, 200, 1900} {
		for _, rate := range []int{addedRate, 700} {
			b.Run(fmt.Sprintf("servers=%d/rate=%d", servers, rate), func(b *testing.B) {
				for i := range b.N {
					measureAddedTime(b, servers, rate, uint64(i+1))
				}
			})
		}
	}
}

// measureAddedTime makes one run of BenchmarkAddedTime and reports its metrics.
func measureAddedTime(b *testing.B, servers, rate int, seed uint64) {
	n, err := claimSubnet()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.release) // runs after the sidecar has ended; otherwise another lab could claim its addresses
	s := readScenario(b, "[fleet]\nsidecars=1\nsockets=1024")
	s.Fleet.Servers, s.Fleet.StatedSidecars = servers, addedSidecars
	meanWork := 0.0 // seconds per call
	for _, c := range s.classes() {
		meanWork += c.Share * c.MeanWork.Seconds()
	}
	s.Fleet.Quota = addedSidecars * addedRate * meanWork / s.capacity()
	var accepted atomic.Int64
	var entries []map[string]any
	for i := range servers {
		l, err := net.Listen("tcp", n.address(1+i, firstOwnPort))
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		go serveAtOnce(l, &accepted)
		entries = append(entries, map[string]any{
			"instanceId": fmt.Sprintf("s-%d", i), "hostPort": l.Addr().String(), "zone": zoneName(i % s.Fleet.Zones), "cell": 0,
			"lifecycle": "ready", "weight": 1, "startedAtMs": 0,
		})
	}
	address, log := startSingleSidecar(b, n, s, entries)
	streams := []*callStream{{address: n.address(1, firstOwnPort)}, {address: address}}
	conns := playCalls(b, streams, rate, seed)
	b.ReportMetric(100*float64(attemptsThatWaited(b, log))/float64(len(streams[1].latencies)), "waited-%")
	for _, at := range []float64{0.5, 0.99, 0.999} {
		direct, through := streams[0].quantile(at), streams[1].quantile(at)
		for what, ms := range map[string]float64{"direct": direct, "through": through, "added": through - direct} {
			b.ReportMetric(ms, fmt.Sprintf("%s-p%v-ms", what, at*100))
		}
	}
	b.ReportMetric(float64(streams[0].failed+streams[1].failed), "failed")
	b.ReportMetric(float64(accepted.Load()-conns), "server-conns")
	b.ReportMetric(0, "ns/op") // the length of a run is fixed
}

// serveAtOnce answers every request on every connection immediately, and counts the connections.
func serveAtOnce(l net.Listener, accepted *atomic.Int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // the run is over
		}
		accepted.Add(1)
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body) // a truncated body fails the next read
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					return
				}
			}
		}()
	}
}

// attemptsThatWaited returns how many attempts waited for a connection, including those of the warm-up, according to the
// sidecar's counters. It waits until the counters have been written once more.
func attemptsThatWaited(b *testing.B, log string) int {
	b.Helper()
	time.Sleep(countersInterval)
	text, err := os.ReadFile(log)
	if err != nil {
		b.Fatal(err)
	}
	found := waitedCounter.FindAllSubmatch(text, -1)
	if len(found) == 0 {
		b.Fatal("the sidecar's log has no counters")
	}
	n, err := strconv.Atoi(string(found[len(found)-1][1]))
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// startSingleSidecar starts the real program as one sidecar of a larger fleet. It returns the address for clients and the path
// of its log.
func startSingleSidecar(b *testing.B, n *subnet, s *Scenario, entries []map[string]any) (address, log string) {
	b.Helper()
	program := realProgram(b)
	known := map[string]any{"generation": 1, "reset": true, "instances": entries}
	list, err := json.Marshal(known)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", n.address(0, firstOwnPort))
	if err != nil {
		b.Fatal(err)
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, err := strconv.Atoi(r.FormValue("wait")); err == nil { // a watch: nothing ever changes
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		_, _ = w.Write(list)
	})}
	go func() { _ = discovery.Serve(listener) }() // returns when the benchmark ends
	b.Cleanup(func() { discovery.Close() })
	p := newProcesses(s, newClock(), new(History), n, nil, program, b.TempDir(), "", nil, 1)
	raw, err := json.Marshal(map[string]any{
		"name": sidecarName(0), "listen": n.address(0, clientPort), "discovery": listener.Addr().String(), "console": n.address(0, consolePort), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.Fleet.Sockets}, "known": known, "settings": p.settings(0),
	})
	config := filepath.Join(p.dir, "config.json")
	if err == nil {
		err = os.WriteFile(config, raw, 0o644)
	}
	if err != nil {
		b.Fatal(err)
	}
	q := &process{console: n.address(0, consolePort), log: filepath.Join(p.dir, "log"), ended: make(chan struct{})}
	out, err := os.Create(q.log)
	if err != nil {
		b.Fatal(err)
	}
	defer out.Close()
	q.cmd = exec.Command(program)
	q.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "TMPDIR="+b.TempDir(), "EDGE_LISTEN=", "EDGE_FLEET=")
	q.cmd.Stdout, q.cmd.Stderr = out, out
	q.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.starter <- func() { started <- q.cmd.Start() }
	if err := <-started; err != nil {
		b.Fatal(err)
	}
	go func() { _ = q.cmd.Wait(); close(q.ended) }() // p.ready reports an early end
	b.Cleanup(func() { p.stop(q); close(p.starter) })
	if err := p.waitReady(q); err != nil {
		b.Fatal(err)
	}
	return n.address(0, clientPort), q.log
}

// callStream is a series of calls to one address over connections that are kept open.
type callStream struct {
	address string

	mu        sync.Mutex
	idle      []net.Conn             // the most recently used one is used next
	dueTimes  map[net.Conn]time.Time // of the calls in flight
	counted   bool                   // answers are counted
	latencies []time.Duration
	failed    int
	opened    int64
	inFlight  sync.WaitGroup
}

// playCalls makes the calls of both streams at random times, and returns how many connections the first stream opened. It locks
// a thread and polls the clock just before a call is due, because timers are late by more than the latencies measured here.
func playCalls(b *testing.B, streams []*callStream, rate int, seed uint64) (opened int64) {
	type call struct {
		at     time.Duration
		stream *callStream
	}
	var calls []call
	for i, s := range streams {
		s.dueTimes = make(map[net.Conn]time.Time)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < addedWarmup+*addedTimeLength; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)) {
			calls = append(calls, call{at, s})
		}
	}
	slices.SortFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i, began := 0, time.Now(); i < len(calls); i++ {
		due := began.Add(calls[i].at)
		if ahead := time.Until(due) - timerTolerance; ahead > 0 {
			left := unix.NsecToTimespec(int64(ahead))
			_ = unix.Nanosleep(&left, nil) // if a signal interrupts it, the loop below waits for the rest
		}
		for time.Until(due) > 0 {
		}
		calls[i].stream.send(i, due, calls[i].at >= addedWarmup)
	}
	ended := make(chan struct{})
	go func() {
		for _, s := range streams {
			s.inFlight.Wait()
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(addedAnswerTimeout):
		b.Error("calls have got no answer")
	}
	for _, s := range streams {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.idle {
			c.Close()
		}
	}
	return streams[0].opened
}

// send sends a call with a number that was due at a time. counts says whether its latency is recorded.
func (s *callStream) send(number int, due time.Time, counts bool) {
	text := fmt.Sprintf("POST /publish HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %016x\r\nX-Priority-Class: publish\r\n"+
		"X-Tenant-Id: %s\r\nX-Timeout: 500m\r\nContent-Length: 7\r\n\r\n{\"n\":1}", number, tenants[number%len(tenants)].name)
	s.inFlight.Add(1)
	s.mu.Lock()
	s.counted = counts
	if last := len(s.idle) - 1; last >= 0 {
		c := s.idle[last]
		s.idle, s.dueTimes[c] = s.idle[:last], due
		s.mu.Unlock()
		_, _ = io.WriteString(c, text) // if it fails, so does reading the answer
		return
	}
	s.opened++
	s.mu.Unlock()
	go func() {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			s.mu.Lock()
			s.failed++
			s.mu.Unlock()
			s.inFlight.Done()
			return
		}
		s.mu.Lock()
		s.dueTimes[c] = due
		s.mu.Unlock()
		_, _ = io.WriteString(c, text)
		s.readAnswers(c)
	}()
}

// readAnswers reads the answers on a connection until it ends, and returns the connection to the idle ones after each.
func (s *callStream) readAnswers(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		now := time.Now()
		s.mu.Lock()
		due, out := s.dueTimes[c]
		delete(s.dueTimes, c)
		switch {
		case out && (err != nil || res.StatusCode != http.StatusOK):
			s.failed++
		case out && s.counted:
			s.latencies = append(s.latencies, now.Sub(due))
		}
		if err == nil {
			s.idle = append(s.idle, c)
		} else {
			s.idle = slices.DeleteFunc(s.idle, func(other net.Conn) bool { return other == c })
		}
		s.mu.Unlock()
		if out {
			s.inFlight.Done()
		}
		if err != nil {
			return
		}
	}
}

// quantile returns a quantile of the latencies in ms.
func (s *callStream) quantile(at float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[int(at*float64(len(s.latencies)-1))].Seconds() * 1e3
}
