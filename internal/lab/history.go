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

// History records the events of a run, as the stand-ins for clients, servers and discovery observed them. Its methods
// are safe for concurrent use. Invariants are judged and figures computed once the run is over.
type History struct {
	mu              sync.Mutex
	tries           []*Try
	requests        []ClientRequest  // by index of the arrival
	unknownRequests []string         // request ids that reached a server and that no client had sent
	serverUpdates   []ServerUpdate   // lifecycle changes of servers that sidecars were informed of
	collapsedCold   []string         // servers that collapsed under load while they were cold
	processFailures []string         // processes that ended unexpectedly, or did not end when they should have
	exceededLimits  []string         // memory and descriptor limits that processes exceeded
	unansweredPeers []string         // foreign connections that got neither an error nor a close
	guardViolations []guardViolation // invariant violations that sidecars detected and logged themselves
	kills           []sidecarSpan    // from each kill of a sidecar's process to its end
	lateKills       []lateKill       // kills of processes that had been signalled to end
	descriptorsFull []sidecarSpan    // when idle clients used up a sidecar's descriptors: it may close new connections without reading them
	restarts        []sidecarSpan    // from each restart of a process until it was ready
	upgrades        []sidecarSpan    // from each start of a process beside another one until discovery's news bind it
	stops           []sidecarSpan    // from newConnectionsTime after SIGTERM to a sidecar's only process to the process's end
	views           []observedView   // membership views that sidecars reported
	tokens          []observedToken  // duty tokens that sidecars reported to hold
	processChanges  []processChange  // starts and ends of sidecar processes
	linkChanges     []time.Duration  // when links changed, or a sidecar's process was replaced
	linkOutages     []sidecarSpan    // when a sidecar's links were cut or rate-limited
	late            bool             // the lab did not run on time; set when the history is judged
}

// guardViolation is a violation of an invariant, or a crash, that a sidecar logged.
type guardViolation struct {
	line  string
	timed bool // it is a matter of time only
}

// hashBodiesOver is the length in bytes above which a hash of a body is kept instead of the body.
const hashBodiesOver = 1 << 10

// sidecarSpan is a period of a run that concerns one sidecar.
type sidecarSpan struct {
	sidecar  int
	from, to time.Duration
}

// lateKill is the kill of a process that was signalled to end and did not end in time. It excuses the loss of a request
// only where the request was sent in full by coveredUntil; later ones the process should have refused.
type lateKill struct {
	sidecarSpan
	coveredUntil time.Duration
}

// ClientRequest is the result of one request of a client, over all of its tries.
type ClientRequest struct {
	world.Arrival
	Tries int
	Ended time.Duration
	End   Outcome
}

// Outcome is how a try or a whole client request ended.
type Outcome string

// The outcomes. Broken means that the connection ended without a complete answer, Unreachable that none could be opened,
// and GaveUp that the client's time-out passed.
const (
	Served      Outcome = "served"
	Refused     Outcome = "refused"
	Failed      Outcome = "failed"
	GaveUp      Outcome = "gave up"
	Broken      Outcome = "broken"
	Unreachable Outcome = "unreachable"
)

// Try is one try of a client request: one HTTP request sent to a sidecar. It is a line of tries.jsonl.
type Try struct {
	ID      string
	Arrival int // index of the client request
	Sidecar int
	Class   int // index in Scenario.classes
	Sent    time.Duration
	Ended   time.Duration
	End     Outcome
	Status  int           // HTTP status of the answer; 0: none
	Cause   string        // the error that ended a try without an answer
	Partial bool          // part of an answer arrived
	Fresh   bool          // its connection had carried no earlier request
	Left    time.Duration // when its client disconnected without an answer; 0: it did not
	Owed    time.Duration // when the final answer is due
	Whole   time.Duration // when its last byte was written; 0: at Sent
	Body    string        // body of the answer, as storedBody keeps it
	Reached []Reached
}

// Reached records that a try arrived at a server.
type Reached struct {
	Server  int
	Sidecar int           // the sidecar whose address for the server was used
	At      time.Duration // when its first bytes were read
	Verdict world.Verdict
	Answer  string        // body of the answer, as storedBody keeps it
	Spoilt  bool          // the server deliberately sent no complete answer
	Told    time.Duration // the time-out that the sidecar sent; 0: none
	Port    int           // the sidecar's port of the connection
	Steps   []Step        // what the server did with it, in order; at most maxSteps
}

// Step is an action of a server on a request, or an event on the request's connection there.
type Step struct {
	At   time.Duration
	What string
}

// maxSteps limits the steps that are kept for an arrival of a try at a server.
const maxSteps = 8

// ServerUpdate records that a sidecar was informed that it must send nothing new to a server, or that it may again.
type ServerUpdate struct {
	At      time.Duration
	Sidecar int
	Server  int
	Out     bool // nothing new may be sent to the server
	ByHand  bool // by an operator call at the console, which takes effect at once; otherwise by discovery, after drainGrace
}

// beginTry adds a try to the history and assigns its id.
func (h *History) beginTry(arrival, sidecar, class int, now time.Duration) *Try {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &Try{ID: fmt.Sprintf("%016x", len(h.tries)+1), Arrival: arrival, Sidecar: sidecar, Class: class, Sent: now}
	h.tries = append(h.tries, t)
	return t
}

// findTry returns the try with an id, or nil. The caller holds the lock.
func (h *History) findTry(id string) *Try {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != 16 || n < 1 || n > uint64(len(h.tries)) {
		return nil
	}
	return h.tries[n-1]
}

// recordReached records that a request arrived at a server. n is its index in the try's Reached list, or -1 for a request
// that no client sent.
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

// recordVerdict sets the verdict and the answer of an arrival that recordReached added.
func (h *History) recordVerdict(t *Try, n int, verdict world.Verdict, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Reached[n].Verdict, t.Reached[n].Answer = verdict, storedBody(answer)
}

// endTry records how a try ended.
func (h *History) endTry(t *Try, now time.Duration, end Outcome, status int, body string, partial, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Ended, t.End, t.Status, t.Body, t.Partial = now, end, status, storedBody(body), partial
	t.Fresh = fresh
}

// recordCause records the error that ended a try, if there was one.
func (h *History) recordCause(t *Try, err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Cause = err.Error()
}

// recordSent records that a try's last byte is being written. Its client waits for an answer for the time patience from now.
func (h *History) recordSent(t *Try, now, patience time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Owed, t.Whole = now+patience, now
}

// storedBody returns a body as the history keeps it: its length and hash where it is longer than hashBodiesOver.
func storedBody(body string) string {
	if len(body) <= hashBodiesOver {
		return body
	}
	return fmt.Sprintf("%d bytes, %s", len(body), bodyHash([]byte(body)))
}

// bodyHash returns the SHA-256 hash of a body in hexadecimal.
func bodyHash(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

// recordClientLeft records that a try's client disconnects, unless the try has ended.
func (h *History) recordClientLeft(t *Try, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.End == "" {
		t.Left = now
	}
}

// markSpoilt records that a server deliberately sends an incomplete or malformed answer.
func (h *History) markSpoilt(t *Try, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Reached[n].Spoilt = true
}

// recordStep records what a server did with an arrival.
func (h *History) recordStep(t *Try, n int, now time.Duration, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := &t.Reached[n]; len(r.Steps) < maxSteps {
		r.Steps = append(r.Steps, Step{now, fmt.Sprintf(format, args...)})
	}
}

// writeTries writes all tries to a file, one JSON object per line.
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

// describeServerSide describes the try's arrivals at servers and their steps, for findings. The caller holds the lock.
func (t *Try) describeServerSide() string {
	var text strings.Builder
	for _, r := range t.Reached {
		fmt.Fprintf(&text, "; at server %d from port %d at %v, time-out %v: %s", r.Server, r.Port, r.At, r.Told, r.Verdict)
		for _, s := range r.Steps {
			fmt.Fprintf(&text, ", %s at %v", s.What, s.At)
		}
	}
	return text.String()
}

// hasReachedServer reports whether a try has arrived at a server so far.
func (h *History) hasReachedServer(t *Try) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(t.Reached) > 0
}

// completeRequest records the result of a client request, by the index of its arrival.
func (h *History) completeRequest(arrival int, a ClientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[arrival] = a
}

// recordServerUpdate records that a sidecar was informed of a change of a server.
func (h *History) recordServerUpdate(t ServerUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverUpdates = append(h.serverUpdates, t)
}

// addFinding appends a finding to one of the history's lists.
func (h *History) addFinding(list *[]string, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, fmt.Sprintf(format, args...))
}

// recordLinkChange records a change after which the views of sidecars may differ for a while.
func (h *History) recordLinkChange(c clock) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkChanges = append(h.linkChanges, c.now())
}

// recordProcess records that a sidecar's process runs from now on, or has ended.
func (h *History) recordProcess(sidecar int, now time.Duration, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processChanges = append(h.processChanges, processChange{now, sidecar, up})
}

// recordLateKill records the kill of a process that had been signalled to end; see lateKill.
func (h *History) recordLateKill(s sidecarSpan, coveredUntil time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateKills = append(h.lateKills, lateKill{s, coveredUntil})
}

// addSpan appends a period to one of the history's lists.
func (h *History) addSpan(list *[]sidecarSpan, s sidecarSpan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, s)
}
