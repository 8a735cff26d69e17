package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowgw/internal/world"
)

// maxAnswerBytes is how much of an answer a client reads, in bytes.
const maxAnswerBytes = 1 << 20

// clients make the requests of a run when they are due, whatever became of the ones before. The time of an answer
// counts from when its request was due, so that a sidecar or a lab that stands still is not hidden.
type clients struct {
	clock    clock
	scenario *Scenario
	history  *History
	net      *subnet
	lateness *lateness
	classes  []world.Class

	perSidecar []*http.Client
	unpooled   *http.Client // for requests that are sent once more: each on a connection of its own

	open            sync.WaitGroup
	mu              sync.Mutex
	latency         []*hdrhistogram.Histogram // of served requests in microseconds, by class
	latencyBySecond []*hdrhistogram.Histogram // and by the second in which they were due
	outcomes        map[Outcome]*counter      // requests by how they ended, in the second in which they were due
	inTime          *counter                  // those served within their aim
	servedBySidecar []*counter                // by sidecar
	openCount       atomic.Int64              // requests open now

	persistentRequests atomic.Int64 // requests of clients that keep their connections through a termination
}

func newClients(s *Scenario, c clock, h *History, n *subnet, late *lateness) *clients {
	k := &clients{clock: c, scenario: s, history: h, net: n, lateness: late, classes: s.classes(), outcomes: make(map[Outcome]*counter)}
	seconds := int(s.For.Std() / time.Second)
	for range k.classes {
		k.latency = append(k.latency, hdrhistogram.New(1, 60_000_000, 3))
	}
	for range seconds + 2 {
		k.latencyBySecond = append(k.latencyBySecond, hdrhistogram.New(1, 60_000_000, 2))
	}
	for _, o := range []Outcome{Served, Refused, Failed, GaveUp, Broken, Unreachable} {
		k.outcomes[o] = newCounter(seconds)
	}
	k.inTime = newCounter(seconds)
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	for range s.Fleet.Sidecars {
		k.servedBySidecar = append(k.servedBySidecar, newCounter(seconds))
		k.perSidecar = append(k.perSidecar, &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
		}})
	}
	k.unpooled = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true}}
	return k
}

// play makes all requests at their times, until stop is closed, and returns when the last has ended.
func (k *clients) play(arrivals []world.Arrival, stop <-chan struct{}) {
	defer func() {
		k.open.Wait()
		for _, c := range k.perSidecar {
			c.CloseIdleConnections()
		}
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i, a := range arrivals {
		if wait := a.At - k.clock.now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-stop:
				return
			}
		}
		k.lateness.record(a.At, k.clock.now())
		k.open.Go(func() { k.runRequest(i, a) })
	}
}

// runRequest makes a request and its further tries, and counts how it ended.
func (k *clients) runRequest(n int, a world.Arrival) {
	k.openCount.Add(1)
	defer k.openCount.Add(-1)
	class := k.classes[a.Class]
	end, last := Asked{Arrival: a}, a.At+class.Deadline
	heeds := float64(n%100) < 100*k.scenario.Load.RetryAfterShare
	for {
		t, pause := k.try(n, a, class, last, end.Tries > 0)
		end.Tries++
		end.Ended, end.End = t.Ended, t.End
		if t.End == Served || end.Tries > k.scenario.Load.Retries {
			break
		}
		if !heeds || pause == 0 {
			pause = k.scenario.Load.Backoff.Std()
		}
		if k.clock.now()+pause >= last {
			break
		}
		time.Sleep(pause)
	}
	k.history.done(n, end)
	k.outcomes[end.End].add(a.At, 1)
	if end.End != Served {
		return
	}
	took := end.Ended - a.At
	k.servedBySidecar[a.Sidecar].add(a.At, 1)
	if took <= class.Aim {
		k.inTime.add(a.At, 1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	us := min(max(1, took.Microseconds()), 60_000_000)
	_ = k.latency[a.Class].RecordValue(us) // in range
	_ = k.latencyBySecond[min(max(0, int(a.At/time.Second)), len(k.latencyBySecond)-1)].RecordValue(us)
}

// try makes one try and tells how long the answer asks to wait.
func (k *clients) try(n int, a world.Arrival, class world.Class, last time.Duration, again bool) (*Try, time.Duration) {
	now := k.clock.now()
	patience := max(min(time.Duration(float64(class.Deadline)*k.scenario.Load.TryShare), last-now), time.Millisecond)
	rng := rand.New(rand.NewPCG(uint64(n), uint64(now)))
	m := k.scenario.behaviourAt(now, rng)
	if m.timeLimit > 0 {
		patience = min(patience, m.timeLimit)
	}
	begin := func() *Try { return k.history.begin(n, a.Sidecar, a.Class, k.clock.now()) }
	word := func(t *Try) *http.Request { return k.newRequest(t, n, a, class, m, patience, again) }
	if m.pipeline > 0 {
		return k.sendPipelined(m, patience, word, begin), 0
	}
	t := begin()
	t.Owed = now + patience
	ctx, cancel := context.WithDeadline(context.Background(), k.clock.timeAt(t.Owed+m.bodyTime+k.scenario.Load.extraWait()))
	defer cancel()
	if m.leavesEarly {
		leaver := time.AfterFunc(m.bodyTime+time.Duration(rng.Int64N(int64(patience))), func() {
			k.history.left(t, k.clock.now())
			cancel()
		})
		defer leaver.Stop()
	}
	a0 := exchange{k: k, t: t}
	res, body, err := a0.do(ctx, k.perSidecar[a.Sidecar], word(t))
	if err != nil && a0.mayResend(ctx) {
		res, body, err = a0.do(ctx, k.unpooled, word(t))
	}
	end, status := Failed, 0
	switch {
	case err == nil:
		status = res.StatusCode
		end = outcomeOfStatus(status)
	case ctx.Err() != nil:
		end = GaveUp
	case !a0.connected.Load():
		end = Unreachable
	default:
		end = Broken
	}
	k.history.end(t, k.clock.now(), end, status, body, a0.partial.Load(), a0.connected.Load() && !a0.reused.Load())
	if end != Refused {
		return t, 0
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // none or no number: no pause
	return t, time.Duration(min(max(seconds, 0), 60) * float64(time.Second))
}

// newRequest words a try in the protocol.
func (k *clients) newRequest(t *Try, n int, a world.Arrival, class world.Class, m behaviour, patience time.Duration, again bool) *http.Request {
	method, text, body := http.MethodPost, "", io.Reader(nil)
	if class.Effect == world.Safe {
		method = http.MethodGet
	} else {
		text, body = k.tryBody(t, m, patience)
	}
	url := fmt.Sprintf("http://%s/%s?%s", k.net.address(a.Sidecar, clientPort), class.Name, m.query(a, text))
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		panic(err) // of parts that are all well formed
	}
	req.ContentLength = int64(len(text))
	req.GetBody = nil // or net/http would send a keyed request once more by itself, wherever its connection broke
	h := req.Header
	h.Set("X-Request-ID", t.ID)
	h.Set("X-Priority-Class", class.Name)
	h.Set("X-Tenant-Id", tenants[a.Tenant].name)
	h.Set("X-Route-Key", fmt.Sprintf("%016x", a.Key))
	h.Set("X-Timeout", strconv.FormatInt(patience.Microseconds(), 10)+"u")
	if class.Effect == world.Keyed {
		h.Set("Idempotency-Key", fmt.Sprintf("%032x", n+1))
	}
	if again {
		h.Set("X-Retried", "1")
	}
	return req
}

// exchange is a try on one connection after another.
type exchange struct {
	k         *clients
	t         *Try
	connected atomic.Bool // these are set by net/http's goroutines, which may outlive the try
	reused    atomic.Bool // the connection had carried a request before
	partial   atomic.Bool // some of an answer came
}

func (a *exchange) do(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, string, error) {
	for _, flag := range []*atomic.Bool{&a.connected, &a.reused, &a.partial} {
		flag.Store(false)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { a.connected.Store(true); a.reused.Store(i.Reused) },
		GotFirstResponseByte: func() { a.partial.Store(true) },
	})
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = errors.New("the answer is too long")
	}
	return res, string(raw), err
}

// mayResend says whether the sidecar may have closed a kept connection just as the request was on its way: nothing
// came back, and no server has it. Then clients send it once more, on a new connection.
func (a *exchange) mayResend(ctx context.Context) bool {
	return ctx.Err() == nil && a.reused.Load() && !a.partial.Load() && !a.k.history.touched(a.t)
}
