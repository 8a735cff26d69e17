package lab

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowgw/internal/world"
)

// History is all that happened in a run, as the stand-ins saw it. Its methods are safe for concurrent use; judging
// and counting come once the run is over.
type History struct {
	mu              sync.Mutex
	tries           []*Try
	requests        []ClientRequest // by arrival
	unknownRequests []string        // what reached a server and no client had sent
	serverUpdates   []ServerUpdate  // what sidecars were told of servers
	collapsedCold   []string        // servers that were pushed over when they were cold
	processFailures []string        // processes that ended and should not have, or did not and should
	exceededLimits  []string        // limits passed
	unansweredPeers []string        // strangers that got neither an error nor a close
	guardViolations []string        // invariants that sidecars found broken themselves
	kills           []sidecarSpan   // when a sidecar's process was killed, by sidecar
	lateKills       []lateKill      // when one was killed that had been told to end
	descriptorsFull []sidecarSpan   // when idle clients filled a sidecar's descriptors: it may shut new connections unread
	restarts        []sidecarSpan   // when it was started again, until it was ready
	views           []observedView  // what sidecars saw of the fleet
	tokens          []observedToken
	processChanges  []processChange
	linkChanges     []time.Duration // when links changed, or a sidecar's process was upgraded
	linkOutages     []sidecarSpan   // when links were cut, slow or lost more than a few packets
}

// hashBodiesOver is the length in bytes from which a body is kept by a hash.
const hashBodiesOver = 1 << 10

// sidecarSpan is a time in a sidecar's life.
type sidecarSpan struct {
	sidecar  int
	from, to time.Duration
}

// lateKill is the end of a process that was told to end and did not in time: only what had come until then is the kill's.
type lateKill struct {
	sidecarSpan
	coveredUntil time.Duration
}

// ClientRequest is what became of what a client wanted, over all its tries.
type ClientRequest struct {
	world.Arrival
	Tries int
	Ended time.Duration
	End   Outcome
}

// Outcome is how a try, or all of a request's, ended.
type Outcome string

// The outcomes. Broken is a connection that ended with no whole answer.
const (
	Served      Outcome = "served"
	Refused     Outcome = "refused"
	Failed      Outcome = "failed"
	GaveUp      Outcome = "gave up"
	Broken      Outcome = "broken"
	Unreachable Outcome = "unreachable"
)

// Try is one request on a sidecar's socket.
type Try struct {
	ID      string
	Arrival int
	Sidecar int
	Class   int
	Sent    time.Duration
	Ended   time.Duration
	End     Outcome
	Status  int
	Partial bool          // some of an answer came
	Fresh   bool          // its connection had carried no request before
	Left    time.Duration // when its client left, before it had an answer; 0: it did not
	Owed    time.Duration // its time was up
	Whole   time.Duration // its last byte had gone out; 0: as it was sent
	Body    string        // of a served one
	Reached []Reached
}

// Reached is a try's arrival at a server.
type Reached struct {
	Server  int
	Sidecar int           // whose address it came by
	At      time.Duration // of its first bytes
	Verdict world.Verdict
	Answer  string        // the body, where it was served
	Spoilt  bool          // what came back was no whole answer, by the server's doing
	Told    time.Duration // how long the sidecar said that it waits; 0: nothing
	Port    int           // the sidecar's end of the connection
	Steps   []Step        // what the server did with it, in order; see stepsMost
}

// Step is one thing that a server did with a request, or that befell the request's connection there.
type Step struct {
	At   time.Duration
	What string
}

// maxSteps bounds the steps that are kept of an arrival.
const maxSteps = 8

// ServerUpdate is a word on a server that binds a sidecar: to send it nothing new from then on, or that it may.
type ServerUpdate struct {
	At      time.Duration
	Sidecar int
	Server  int
	Out     bool
	ByHand  bool // by a call at the console, which counts at once; else by discovery, with the rule's grace
}

// beginTry enters a try and gives it its id.
func (h *History) beginTry(arrival, sidecar, class int, now time.Duration) *Try {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &Try{ID: fmt.Sprintf("%016x", len(h.tries)+1), Arrival: arrival, Sidecar: sidecar, Class: class, Sent: now}
	h.tries = append(h.tries, t)
	return t
}

// findTry returns the try of an id, or nil.
func (h *History) findTry(id string) *Try {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != 16 || n < 1 || n > uint64(len(h.tries)) {
		return nil
	}
	return h.tries[n-1]
}

// recordReached takes that a request came to a server; n is its place among the try's arrivals there, or -1 for one that no
// client sent.
func (h *History) recordReached(id string, r Reached) (t *Try, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t = h.findTry(id); t == nil {
		h.unknownRequests = append(h.unknownRequests, fmt.Sprintf("at %v server %d got id %.40q by sidecar %d", r.At, r.Server, id, r.Sidecar))
		return nil, -1
	}
	t.Reached = append(t.Reached, r)
	return t, len(t.Reached) - 1
}

// recordVerdict completes what reach entered.
func (h *History) recordVerdict(t *Try, n int, verdict world.Verdict, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Reached[n].Verdict, t.Reached[n].Answer = verdict, storedBody(answer)
}

// endTry takes how a try ended.
func (h *History) endTry(t *Try, now time.Duration, end Outcome, status int, body string, partial, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Ended, t.End, t.Status, t.Body, t.Partial = now, end, status, storedBody(body), partial
	t.Fresh = fresh
}

// recordSent takes that a try's last byte goes out now: its client's time begins.
func (h *History) recordSent(t *Try, now, patience time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Owed, t.Whole = now+patience, now
}

// storedBody is a body as it is kept: a long one by its length and a hash.
func storedBody(body string) string {
	if len(body) <= hashBodiesOver {
		return body
	}
	return fmt.Sprintf("%d bytes, %s", len(body), bodyHash([]byte(body)))
}

// bodyHash is a hash of a body, in hexadecimal.
func bodyHash(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

// recordClientLeft takes that a try's client leaves, unless it has ended.
func (h *History) recordClientLeft(t *Try, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.End == "" {
		t.Left = now
	}
}

// markSpoilt takes that an arrival's answer is spoilt.
func (h *History) markSpoilt(t *Try, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Reached[n].Spoilt = true
}

// recordStep takes what a server did with an arrival.
func (h *History) recordStep(t *Try, n int, now time.Duration, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := &t.Reached[n]; len(r.Steps) < maxSteps {
		r.Steps = append(r.Steps, Step{now, fmt.Sprintf(format, args...)})
	}
}

// writeTries writes all tries to a file, one to a line.
func (h *History) writeTries(path string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	for _, t := range h.tries {
		if err := lines.Encode(t); err != nil {
			return err
		}
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// describeServerSide words what all servers did with a try. The caller holds the lock.
func (t *Try) describeServerSide() string {
	var text strings.Builder
	for _, r := range t.Reached {
		fmt.Fprintf(&text, "; at server %d from port %d at %v, told %v: %s", r.Server, r.Port, r.At, r.Told, r.Verdict)
		for _, s := range r.Steps {
			fmt.Fprintf(&text, ", %s at %v", s.What, s.At)
		}
	}
	return text.String()
}

// hasReachedServer says whether a try has come to a server by now.
func (h *History) hasReachedServer(t *Try) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(t.Reached) > 0
}

// completeRequest takes what became of an arrival.
func (h *History) completeRequest(arrival int, a ClientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[arrival] = a
}

// recordServerUpdate takes that a sidecar was told something of a server.
func (h *History) recordServerUpdate(t ServerUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverUpdates = append(h.serverUpdates, t)
}

// addFinding appends to one of the lists of what went wrong.
func (h *History) addFinding(list *[]string, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, fmt.Sprintf(format, args...))
}

// recordLinkChange takes that something changed that sidecars may see differently for a while.
func (h *History) recordLinkChange(c clock) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkChanges = append(h.linkChanges, c.now())
}

// recordProcess takes that a sidecar has a process that runs from now on, or has none.
func (h *History) recordProcess(sidecar int, now time.Duration, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processChanges = append(h.processChanges, processChange{now, sidecar, up})
}

// recordLateKill takes the kill of a process that had been told to end, with the moment until which what came is the kill's.
func (h *History) recordLateKill(s sidecarSpan, came time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateKills = append(h.lateKills, lateKill{s, came})
}

// addSpan takes a time in a sidecar's life into one of the lists.
func (h *History) addSpan(list *[]sidecarSpan, s sidecarSpan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, s)
}
