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

// maxAnswerBytes bounds how much of an answer a client reads.
const maxAnswerBytes = 1 << 20

// clients make the requests of a run when they are due, whether or not earlier ones have ended. The latency of an
// answer counts from when its request was due, so that it includes delays of a blocked sidecar or lab.
type clients struct {
	clock    clock
	scenario *Scenario
	history  *History
	net      *subnet
	lateness *lateness
	classes  []world.Class

	perSidecar []*http.Client // with a connection pool for each sidecar
	unpooled   *http.Client   // opens a new connection for each request, for requests that are sent again

	open            sync.WaitGroup // open requests
	mu              sync.Mutex
	latency         []*hdrhistogram.Histogram // of served requests in microseconds, by class
	latencyBySecond []*hdrhistogram.Histogram // of served requests in microseconds, by the second in which they were due
	outcomes        map[Outcome]*counter      // requests by outcome, in the second in which they were due
	inTime          *counter                  // requests served within their aim, in the second in which they were due
	servedBySidecar []*counter                // served requests by sidecar, in the second in which they were due
	openCount       atomic.Int64              // number of open requests

	persistentRequests atomic.Int64 // requests made by sendPersistently and withholdEnd so far
}

// newClients prepares the clients of a scenario; play makes their requests.
func newClients(s *Scenario, c clock, h *History, n *subnet, lateness *lateness) *clients {
	k := &clients{clock: c, scenario: s, history: h, net: n, lateness: lateness, classes: s.classes(), outcomes: make(map[Outcome]*counter)}
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

// play makes all requests at their times until stop is closed, and returns when the last one has ended.
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

// runRequest makes the n-th request, with its retries, and records its outcome.
func (k *clients) runRequest(n int, a world.Arrival) {
	k.openCount.Add(1)
	defer k.openCount.Add(-1)
	class := k.classes[a.Class]
	end, deadline := ClientRequest{Arrival: a}, a.At+class.Deadline
	honoursRetryAfter := float64(n%100) < 100*k.scenario.Load.RetryAfterShare
	for {
		t, pause := k.try(n, a, class, deadline, end.Tries > 0)
		end.Tries++
		end.Ended, end.End = t.Ended, t.End
		if t.End == Served || end.Tries > k.scenario.Load.Retries {
			break
		}
		if !honoursRetryAfter || pause == 0 {
			pause = k.scenario.Load.Backoff.Std()
		}
		if k.clock.now()+pause >= deadline {
			break
		}
		time.Sleep(pause)
	}
	k.history.completeRequest(n, end)
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
	_ = k.latency[a.Class].RecordValue(us) // cannot fail: the value is in range
	_ = k.latencyBySecond[min(max(0, int(a.At/time.Second)), len(k.latencyBySecond)-1)].RecordValue(us)
}

// try makes one try of the n-th request, or several if they are pipelined. It returns the first one and how long its
// answer asks to wait before a retry.
func (k *clients) try(n int, a world.Arrival, class world.Class, deadline time.Duration, isRetry bool) (*Try, time.Duration) {
	now := k.clock.now()
	timeout := max(min(time.Duration(float64(class.Deadline)*k.scenario.Load.TryShare), deadline-now), time.Millisecond)
	rng := rand.New(rand.NewPCG(uint64(n), uint64(now)))
	b := k.scenario.behaviourAt(now, rng)
	if b.timeLimit > 0 {
		timeout = min(timeout, b.timeLimit)
	}
	begin := func() *Try { return k.history.beginTry(n, a.Sidecar, a.Class, k.clock.now()) }
	build := func(t *Try) *http.Request { return k.newRequest(t, n, a, class, b, timeout, isRetry) }
	if b.pipelined > 0 {
		return k.sendPipelined(b, timeout, build, begin), 0
	}
	t := begin()
	t.Owed = now + timeout
	ctx, patience, release := newPatience(k.clock.timeAt(t.Owed + b.bodyTime + k.scenario.Load.extraWait()))
	defer release()
	if b.leavesEarly {
		leaveTimer := time.AfterFunc(b.bodyTime+time.Duration(rng.Int64N(int64(timeout))), func() {
			k.history.recordClientLeft(t, k.clock.now())
			patience.cancel()
		})
		defer leaveTimer.Stop()
	}
	ex := exchange{clients: k, try: t, patience: patience, wantsLong: b.longBytes > 0}
	res, body, err := ex.do(ctx, k.perSidecar[a.Sidecar], build(t))
	if err != nil && ex.mayResend(ctx) {
		res, body, err = ex.do(ctx, k.unpooled, build(t))
	}
	end, status := Failed, 0
	switch {
	case err == nil:
		status = res.StatusCode
		end = outcomeOfStatus(status)
	case ctx.Err() != nil:
		end = GaveUp
	case !ex.connected.Load():
		end = Unreachable
	default:
		end = Broken
	}
	k.history.recordCause(t, err)
	k.history.endTry(t, k.clock.now(), end, status, body, ex.partial.Load(), ex.connected.Load() && !ex.reused.Load())
	if end != Refused {
		return t, 0
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // 0 if missing or not a number
	return t, time.Duration(min(max(seconds, 0), 60) * float64(time.Second))
}

// newRequest builds the HTTP request of a try.
func (k *clients) newRequest(t *Try, n int, a world.Arrival, class world.Class, b behaviour, timeout time.Duration, isRetry bool) *http.Request {
	method, bodyText, body := http.MethodPost, "", io.Reader(nil)
	if class.Idempotency == world.Safe {
		method = http.MethodGet
	} else {
		bodyText, body = k.tryBody(t, b, timeout)
	}
	url := fmt.Sprintf("http://%s/%s?%s", k.net.address(a.Sidecar, clientPort), class.Name, b.query(a, bodyText))
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		panic(err) // cannot happen: all parts are well formed
	}
	req.ContentLength = int64(len(bodyText))
	req.GetBody = nil // without it net/http does not resend keyed requests by itself after a broken connection
	h := req.Header
	h.Set("X-Request-ID", t.ID)
	h.Set("X-Priority-Class", class.Name)
	h.Set("X-Tenant-Id", tenants[a.Tenant].name)
	h.Set("X-Route-Key", fmt.Sprintf("%016x", a.Key))
	h.Set("X-Timeout", strconv.FormatInt(timeout.Microseconds(), 10)+"u")
	if class.Idempotency == world.Keyed {
		h.Set("Idempotency-Key", fmt.Sprintf("%032x", n+1))
	}
	if isRetry {
		h.Set("X-Retried", "1")
	}
	return req
}

// exchange is one try, which may be sent on a second connection if the first one closed.
type exchange struct {
	clients   *clients
	try       *Try
	patience  *patience
	wantsLong bool        // the answer is to be over 64 KiB, so that only its first bytes are timed
	connected atomic.Bool // these flags are set by net/http's goroutines, which may outlive the try
	reused    atomic.Bool // the connection carried an earlier request
	partial   atomic.Bool // at least one byte of an answer was received
}

// do sends the request and reads its answer and the answer's body.
func (x *exchange) do(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, string, error) {
	for _, flag := range []*atomic.Bool{&x.connected, &x.reused, &x.partial} {
		flag.Store(false)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { x.connected.Store(true); x.reused.Store(i.Reused) },
		GotFirstResponseByte: func() { x.partial.Store(true) },
	})
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body := io.Reader(res.Body)
	if x.wantsLong && res.StatusCode == http.StatusOK {
		body = &patientBody{res.Body, x.patience, x.clients.scenario.Load.extraWait()}
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = errors.New("the answer is longer than a client reads")
	}
	return res, string(raw), err
}

// mayResend reports whether the sidecar may have closed a kept connection while the request was in transit: nothing was
// received and no server has seen the request. Clients then send it again on a new connection.
func (x *exchange) mayResend(ctx context.Context) bool {
	return ctx.Err() == nil && x.reused.Load() && !x.partial.Load() && !x.clients.history.hasReachedServer(x.try)
}
