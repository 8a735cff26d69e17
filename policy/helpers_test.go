package policy

import (
	"fmt"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

const ms = time.Millisecond

// sentAttempt is one call of Host.Send.
type sentAttempt struct {
	id         balance.RequestID
	to         balance.ServerID
	timeout    time.Duration
	sendWithin time.Duration
}

// fakeHost is a Host that records the actions of a Balancer.
type fakeHost struct {
	sends     []sentAttempt
	refused   map[balance.RequestID]time.Duration
	failed    map[balance.RequestID]bool
	cancelled []balance.RequestID
	withdrawn []balance.RequestID
	wakes     []time.Duration
	probes    []balance.ServerID
	closes    []balance.ServerID
	watches   int
	log       []string
	trace     []string
}

func newFakeHost() *fakeHost {
	return &fakeHost{refused: map[balance.RequestID]time.Duration{}, failed: map[balance.RequestID]bool{}}
}

// note appends a line to the trace of all actions.
func (h *fakeHost) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id balance.RequestID, to balance.ServerID, timeout, sendWithin time.Duration) {
	h.sends = append(h.sends, sentAttempt{id, to, timeout, sendWithin})
	h.note("send %d %d %v %v", id, to, timeout, sendWithin)
}

func (h *fakeHost) Withdraw(id balance.RequestID, attempt int) {
	h.withdrawn = append(h.withdrawn, id)
	h.note("withdraw %d %d", id, attempt)
}

func (h *fakeHost) Refuse(id balance.RequestID, retryAfter time.Duration, _ balance.Reason) {
	h.refused[id] = retryAfter
	h.note("refuse %d %v", id, retryAfter)
}

func (h *fakeHost) Fail(id balance.RequestID, _ balance.Reason) {
	h.failed[id] = true
	h.note("fail %d", id)
}

func (h *fakeHost) Cancel(id balance.RequestID, attempt int) {
	h.cancelled = append(h.cancelled, id)
	h.note("cancel %d %d", id, attempt)
}

func (h *fakeHost) Wake(d time.Duration) {
	h.wakes = append(h.wakes, d)
	h.note("wake %v", d)
}

func (h *fakeHost) Probe(to balance.ServerID) {
	h.probes = append(h.probes, to)
	h.note("probe %d", to)
}

func (h *fakeHost) CloseIdle(to balance.ServerID) {
	h.closes = append(h.closes, to)
	h.note("close %d", to)
}

func (h *fakeHost) WatchList() {
	h.watches++
	h.note("watch")
}

func (h *fakeHost) Log(line string) {
	h.log = append(h.log, line)
	h.note("log %s", line)
}

// sentTo returns the number of attempts sent to a server.
func (h *fakeHost) sentTo(id balance.ServerID) int {
	n := 0
	for _, s := range h.sends {
		if s.to == id {
			n++
		}
	}
	return n
}

// The indexes of the classes of testConfig.
const (
	safeClass = iota
	keyedAll
	keyedZone
	keyedCell
	unsafeClass
)

// testConfig returns settings of two tenants with one class of each kind of idempotency and scope.
func testConfig() balance.Config {
	class := func(e balance.Idempotency, s balance.Scope) balance.Class {
		return balance.Class{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Idempotency: e, Scope: s, DedupWindow: 700 * ms}
	}
	return balance.Config{
		Balancers: 2,
		Classes: []balance.Class{
			class(balance.Safe, balance.ScopeAll), class(balance.Keyed, balance.ScopeAll), class(balance.Keyed, balance.ScopeZone), class(balance.Keyed, balance.ScopeCell),
			class(balance.Unsafe, balance.ScopeAll),
		},
		Tenants:       []balance.Tenant{{Share: 0.75, Quota: 75}, {Share: 0.25, Quota: 25}},
		Slots:         8,
		MaxAttempts:   3,
		MayCancel:     true,
		MaxRetryAfter: time.Second,
		Tick:          5 * ms,
		AskWithin:     10 * time.Second,
		ColdFrom:      0.3,
		ColdTime:      8 * time.Second,
		ColdMultiple:  3,
	}
}

// readyList returns a list of ready servers of weight 1.
func readyList(ids ...balance.ServerID) []balance.Server {
	var list []balance.Server
	for _, id := range ids {
		list = append(list, balance.Server{ID: id, State: balance.Ready, Weight: 1})
	}
	return list
}

// startBalancer returns a started Balancer with a server list.
func startBalancer(t testing.TB, cfg balance.Config, list []balance.Server) (*Balancer, *fakeHost) {
	t.Helper()
	return startSeeded(t, cfg, 1, list)
}

// startSeeded is startBalancer with a seed, for tests of many balancers.
func startSeeded(t testing.TB, cfg balance.Config, seed uint64, list []balance.Server) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(0)
	b.UpdateServers(0, balance.ListFull, list)
	return b, h
}

// sendRequest plays the arrival of a request of tenant 0.
func sendRequest(b *Balancer, now time.Duration, id balance.RequestID, class int) {
	b.Request(now, balance.Request{ID: id, Class: class, TimeLeft: 2 * time.Second})
}

// endAttempt plays the end of an attempt.
func endAttempt(b *Balancer, now time.Duration, id balance.RequestID, attempt int, e balance.Ending) {
	b.Outcome(now, balance.Outcome{ID: id, Attempt: attempt, Ending: e, Settled: e == balance.Served})
}
