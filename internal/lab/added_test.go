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

var addedFor = flag.Duration("added-for", 15*time.Second, "how long a run of BenchmarkAddedTime counts calls")

const (
	addedFleet = 1900                   // sidecars by the settings
	addedRate  = 142                    // and calls a second at each of them by the quotas
	addedWarm  = 2 * time.Second        // calls before are made and not counted
	addedLast  = 2 * time.Second        // an answer that has not come so long after the last call is none
	spinTime   = 200 * time.Microsecond // timers go off late by less than this, mostly

	countersEvery = 6 * time.Second // the sidecar writes its counters at least this often
)

// quietCount is how many attempts waited, in a line of the sidecar's counters.
var quietCount = regexp.MustCompile(`\bquiet:(\d+)`)

// BenchmarkAddedTime measures what the sidecar adds to a call: calls straight to a server and calls through the real
// program, each by chance at its rate on a timetable of its own, side by side in one run. A call's time counts from
// when it was due.
func BenchmarkAddedTime(b *testing.B) {
	for _, servers := range []int{10, 200, 1900} {
		for _, rate := range []int{addedRate, 700} {
			b.Run(fmt.Sprintf("servers=%d/rate=%d", servers, rate), func(b *testing.B) {
				for i := range b.N {
					addedTime(b, servers, rate, uint64(i+1))
				}
			})
		}
	}
}

func addedTime(b *testing.B, servers, rate int, seed uint64) {
	n, err := claimSubnet()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.release) // behind the end of the sidecar, or another lab has its addresses meanwhile
	s := readScenario(b, "[fleet]\nsidecars=1\nsockets=1024")
	s.Fleet.Servers, s.Fleet.StatedSidecars = servers, addedFleet
	mean := 0.0
	for _, c := range s.classes() {
		mean += c.Share * c.MeanWork.Seconds()
	}
	s.Fleet.Quota = addedFleet * addedRate * mean / s.capacity()
	var accepted atomic.Int64
	var entries []map[string]any
	for i := range servers {
		l, err := net.Listen("tcp", n.address(1+i, firstOwnPort))
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		go answerAtOnce(l, &accepted)
		entries = append(entries, map[string]any{
			"instanceId": fmt.Sprintf("s-%d", i), "hostPort": l.Addr().String(), "zone": zoneName(i % s.Fleet.Zones), "cell": 0,
			"lifecycle": "ready", "weight": 1, "startedAtMs": 0,
		})
	}
	address, log := startAlone(b, n, s, entries)
	streams := []*stream{{address: n.address(1, firstOwnPort)}, {address: address}}
	conns := pace(b, streams, rate, seed)
	b.ReportMetric(100*float64(rested(b, log))/float64(len(streams[1].took)), "waited-%")
	for _, at := range []float64{0.5, 0.99, 0.999} {
		direct, through := streams[0].quantile(at), streams[1].quantile(at)
		for what, ms := range map[string]float64{"direct": direct, "through": through, "added": through - direct} {
			b.ReportMetric(ms, fmt.Sprintf("%s-p%v-ms", what, at*100))
		}
	}
	b.ReportMetric(float64(streams[0].failed+streams[1].failed), "failed")
	b.ReportMetric(float64(accepted.Load()-conns), "server-conns")
	b.ReportMetric(0, "ns/op") // the run has its length
}

// answerAtOnce serves whoever connects.
func answerAtOnce(l net.Listener, accepted *atomic.Int64) {
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
				_, _ = io.Copy(io.Discard, req.Body) // what is cut short ends the next read
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					return
				}
			}
		}()
	}
}

// rested counts the attempts that waited for a connection to rest, those of the first calls too, by the sidecar's
// counters. It waits until these have been written once more.
func rested(b *testing.B, log string) int {
	b.Helper()
	time.Sleep(countersEvery)
	text, err := os.ReadFile(log)
	if err != nil {
		b.Fatal(err)
	}
	found := quietCount.FindAllSubmatch(text, -1)
	if len(found) == 0 {
		b.Fatal("the sidecar's log has no counters")
	}
	n, err := strconv.Atoi(string(found[len(found)-1][1]))
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// startAlone starts the real program as one sidecar of the fleet, and returns where clients connect and its log.
func startAlone(b *testing.B, n *subnet, s *Scenario, entries []map[string]any) (address, log string) {
	b.Helper()
	program := realProgram(b)
	known := map[string]any{"generation": 1, "reset": true, "instances": entries}
	list, err := json.Marshal(known)
	if err != nil {
		b.Fatal(err)
	}
	place, err := net.Listen("tcp", n.address(0, firstOwnPort))
	if err != nil {
		b.Fatal(err)
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, err := strconv.Atoi(r.FormValue("wait")); err == nil { // nothing changes
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		_, _ = w.Write(list)
	})}
	go func() { _ = discovery.Serve(place) }() // ends with the run
	b.Cleanup(func() { discovery.Close() })
	p := newProcesses(s, newClock(), new(History), n, nil, program, b.TempDir(), "", nil, 1)
	raw, err := json.Marshal(map[string]any{
		"name": sidecarName(0), "listen": n.address(0, clientPort), "discovery": place.Addr().String(), "console": n.address(0, consolePort), "seed": "1",
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
	go func() { _ = q.cmd.Wait(); close(q.ended) }() // ready tells of an early end
	b.Cleanup(func() { p.stop(q); close(p.starter) })
	if err := p.waitReady(q); err != nil {
		b.Fatal(err)
	}
	return n.address(0, clientPort), q.log
}

// stream is one timetable of calls to one address, over connections that are kept.
type stream struct {
	address string

	mu     sync.Mutex
	idle   []net.Conn // the one used last is used next
	due    map[net.Conn]time.Time
	count  bool
	took   []time.Duration
	failed int
	opened int64
	out    sync.WaitGroup
}

// pace plays both streams' timetables, and returns how many connections the first one opened. It holds a thread of
// its own, and looks at the clock all the time just before a call is due: timers are late by more than is measured.
func pace(b *testing.B, streams []*stream, rate int, seed uint64) (opened int64) {
	type call struct {
		at     time.Duration
		stream *stream
	}
	var calls []call
	for i, s := range streams {
		s.due = make(map[net.Conn]time.Time)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < addedWarm+*addedFor; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)) {
			calls = append(calls, call{at, s})
		}
	}
	slices.SortFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i, began := 0, time.Now(); i < len(calls); i++ {
		due := began.Add(calls[i].at)
		if ahead := time.Until(due) - spinTime; ahead > 0 {
			left := unix.NsecToTimespec(int64(ahead))
			_ = unix.Nanosleep(&left, nil) // what a signal cuts off is spun away
		}
		for time.Until(due) > 0 {
		}
		calls[i].stream.call(i, due, calls[i].at >= addedWarm)
	}
	ended := make(chan struct{})
	go func() {
		for _, s := range streams {
			s.out.Wait()
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(addedLast):
		b.Error("calls are left with no answer")
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

// call sends the call of a number, which was due at a moment.
func (s *stream) call(number int, due time.Time, counts bool) {
	text := fmt.Sprintf("POST /publish HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %016x\r\nX-Priority-Class: publish\r\n"+
		"X-Tenant-Id: %s\r\nX-Timeout: 500m\r\nContent-Length: 7\r\n\r\n{\"n\":1}", number, tenants[number%len(tenants)].name)
	s.out.Add(1)
	s.mu.Lock()
	s.count = counts
	if last := len(s.idle) - 1; last >= 0 {
		c := s.idle[last]
		s.idle, s.due[c] = s.idle[:last], due
		s.mu.Unlock()
		_, _ = io.WriteString(c, text) // where it breaks, so does the read
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
			s.out.Done()
			return
		}
		s.mu.Lock()
		s.due[c] = due
		s.mu.Unlock()
		_, _ = io.WriteString(c, text)
		s.answers(c)
	}()
}

// answers takes the answers on a connection until it ends.
func (s *stream) answers(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		now := time.Now()
		s.mu.Lock()
		due, out := s.due[c]
		delete(s.due, c)
		switch {
		case out && (err != nil || res.StatusCode != http.StatusOK):
			s.failed++
		case out && s.count:
			s.took = append(s.took, now.Sub(due))
		}
		if err == nil {
			s.idle = append(s.idle, c)
		} else {
			s.idle = slices.DeleteFunc(s.idle, func(other net.Conn) bool { return other == c })
		}
		s.mu.Unlock()
		if out {
			s.out.Done()
		}
		if err != nil {
			return
		}
	}
}

// quantile is a quantile of the calls' times in ms.
func (s *stream) quantile(at float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.took) == 0 {
		return 0
	}
	slices.Sort(s.took)
	return s.took[int(at*float64(len(s.took)-1))].Seconds() * 1e3
}
