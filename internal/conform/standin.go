package conform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// observations are the events that the clients and the stand-ins around a real process observe.
type observations struct {
	mu             sync.Mutex
	arrivals       []arrival        // in order
	answers        map[string]reply // by request
	discoveryCalls int
	heldVersion    int      // list version named by the last call to discovery; -1: none
	failures       []string // failed checks
}

// arrival is a request that a server has received completely.
type arrival struct {
	id, server string
	ending     string // how the attempt ended; empty while it is in flight
}

// reply is the answer to a client.
type reply struct {
	result     string // served, refused, failed, broken or left, or the description of an unexpected answer
	retryAfter string // value of the header
}

// withLock runs a function while it holds the lock.
func (o *observations) withLock(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// recordEnding records how the latest attempt of a request ended.
func (o *observations) recordEnding(id, ending string) {
	o.withLock(func() {
		for i := len(o.arrivals) - 1; i >= 0; i-- {
			if o.arrivals[i].id == id {
				o.arrivals[i].ending = ending
				return
			}
		}
	})
}

const (
	// strayDelay is the delay of the second answer after the first one with the ending "trailed".
	strayDelay = 3 * time.Millisecond
	// maxStrayDelay is how long after the first answer a second one is sent at the latest: the specification covers only
	// those that follow shortly after.
	maxStrayDelay = 2 * strayDelay
	// ackPollInterval is the time between two checks whether a second answer has arrived.
	ackPollInterval = 100 * time.Microsecond
)

// standIn is a server that accepts every request, and answers it at the time and in the way that the row specifies.
type standIn struct {
	id             string
	listener       net.Listener
	observed       *observations
	mu             sync.Mutex
	endings        map[string]chan string // by request: receives how the attempt ends
	answeredOn     map[string]net.Conn    // by request: the connection of its last answer
	autoEnding     string                 // ending of all attempts, without delay; empty: endings decide
	conns          map[net.Conn]bool
	startAccepting func()                            // begins to accept connections
	pauseSidecar   func() (resume func(), err error) // stops the sidecar's process
}

// newStandIn starts a server. With holdConnections, no connection to it is established before startAccepting is called.
// pauseSidecar stops the sidecar's process until the returned function is called.
func newStandIn(id string, s *observations, holdConnections bool, pauseSidecar func() (resume func(), err error)) (*standIn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &standIn{id: id, listener: l, observed: s, pauseSidecar: pauseSidecar, endings: make(map[string]chan string), answeredOn: make(map[string]net.Conn), conns: make(map[net.Conn]bool)}
	accept := func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go n.serve(c)
		}
	}
	n.startAccepting = sync.OnceFunc(func() { go accept() })
	if holdConnections {
		return n, n.fillBacklog()
	}
	n.startAccepting()
	return n, nil
}

// fillBacklog fills the listener's accept queue, so that the kernel drops further connection requests. The client's
// kernel retransmits them, so that connections are established once the queue is accepted.
func (n *standIn) fillBacklog() error {
	raw, err := n.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 1) }); err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	for range 2 { // Linux queues one connection more than the backlog of 1
		c, err := net.Dial("tcp", n.listener.Addr().String())
		if err != nil {
			return err
		}
		n.conns[c] = true // closed by close
	}
	for end := time.Now().Add(maxWait); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		if failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || failed != nil {
			return errors.Join(err, failed)
		}
		if info.Unacked == 2 { // for a listener, the number of connections in the accept queue
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the accept queue did not fill within %v", maxWait)
		}
	}
}

// close closes the listener and all connections.
func (n *standIn) close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

// endingOf returns the channel on which the runner sends how the attempt of a request ends.
func (n *standIn) endingOf(id string) chan string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endings[id] == nil {
		n.endings[id] = make(chan string, 1)
	}
	return n.endings[id]
}

// serve reads and answers the requests on one connection.
func (n *standIn) serve(c net.Conn) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-ID")
		n.observed.withLock(func() {
			n.observed.arrivals = append(n.observed.arrivals, arrival{id: id, server: n.id})
			if !strings.HasPrefix(id, "q") {
				n.observed.failures = append(n.observed.failures, fmt.Sprintf("%s received a request that no client sent: %q", n.id, id))
			}
		})
		nextRequest := make(chan error, 1)
		go func() { // fails when the sidecar closes the connection, and succeeds when the next request begins
			_, err := r.Peek(1)
			nextRequest <- err
		}()
		n.mu.Lock()
		ending := n.autoEnding
		n.mu.Unlock()
		if ending == "" {
			select {
			case ending = <-n.endingOf(id):
			case <-nextRequest:
				n.observed.recordEnding(id, "left")
				return
			}
		}
		n.observed.recordEnding(id, ending)
		answeredAfter := time.Now()
		reusable := n.answer(c, id, ending)
		if ending == "trailed" {
			select { // the stray answer is sent after strayDelay, or earlier if the next request begins
			case err := <-nextRequest:
				nextRequest <- err
			case <-time.After(strayDelay):
			}
			if err := n.sendStray(c, answeredAfter); err != nil {
				n.observed.withLock(func() { n.observed.failures = append(n.observed.failures, "second answer: "+err.Error()) })
			}
		}
		if !reusable || <-nextRequest != nil {
			return
		}
	}
}

// sendStray sends a second answer on a connection, unless maxStrayDelay has passed since answeredAfter, a moment before the
// first answer was sent. The sidecar's process is paused from before that check until the answer has arrived: if this
// process is held up, the sidecar can't send its next request in between.
func (n *standIn) sendStray(c net.Conn, answeredAfter time.Time) error {
	resume, err := n.pauseSidecar()
	if err != nil {
		return err
	}
	defer resume()
	if time.Since(answeredAfter) >= maxStrayDelay {
		return nil
	}
	if _, err := io.WriteString(c, completeAnswer("stray")); err != nil {
		return nil // the sidecar has closed the connection
	}
	return awaitAcknowledgement(c)
}

// awaitAcknowledgement waits until the other side's kernel has received all that was written to a connection.
func awaitAcknowledgement(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(ackPollInterval) {
		var unsent int
		if failed := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); failed != nil || err != nil {
			return errors.Join(failed, err)
		}
		if unsent == 0 {
			return nil
		}
	}
	return fmt.Errorf("not acknowledged within %v", maxWait)
}

// answer ends an attempt, and reports whether its connection can be used for another request.
func (n *standIn) answer(c net.Conn, id, ending string) bool {
	n.mu.Lock()
	n.answeredOn[id] = c
	n.mu.Unlock()
	text := map[string]string{
		"error":       "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		"full":        "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"spoilt":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nspoilt!",
		"cut":         "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nhalf",
		"halved":      "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("half", 50000),
		"unsaid":      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"over":        "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"unproved":    "HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"elsewhere":   "HTTP/1.1 302 Found\r\nLocation: /entry\r\nContent-Length: 0\r\n\r\n",
		"chunked":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndone \r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id),
		"chunked-cut": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndone \r\n%x\r\n%s\r\n", len(id), id),
		"closing":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone " + id,
		"unframed":    "HTTP/1.1 200 OK\r\n\r\ndone " + id,
		"stalled":     "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("half", 50000),
		"stuck":       "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
		"served":      completeAnswer(id),
		"trailed":     completeAnswer(id),
		"twice":       completeAnswer(id) + completeAnswer("stray"),
		"unsaid429":   "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n",
		"reset":       "",
		"timeout":     "",
	}[ending]
	if ending == "timeout" { // does not answer until the sidecar closes the connection
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	if text == "" && ending != "reset" { // an ending without an answer
		n.observed.withLock(func() {
			n.observed.failures = append(n.observed.failures, "the stand-in has no answer for the ending "+ending)
		})
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	if ending == "reset" || ending == "unframed" {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes close send a reset
		}
	}
	return !slices.Contains([]string{"reset", "cut", "halved", "chunked-cut", "closing", "unframed"}, ending)
}

// completeAnswer returns a complete successful answer to a request.
func completeAnswer(id string) string {
	body := "done " + id
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// discoveryStandIn is a stand-in for discovery. It serves a versioned server list with long polling.
type discoveryStandIn struct {
	observed       *observations
	mu             sync.Mutex
	changed        chan struct{} // closed at the next change
	version        int
	entries        map[string]string // by server, as JSON
	order          []string          // servers in the order of their first publication
	changedAt      map[string]int    // by server: the version that last changed its entry
	indented       bool              // whether answers are indented JSON
	down           bool              // whether every call is answered with status 503
	initialEntries map[string]string // the list at the start of the row
	initialVersion int               // version of initialEntries
	silenced       chan struct{}     // closed when open calls are to remain unanswered
	server         *http.Server
	address        string
}

// newDiscoveryStandIn starts a stand-in with an empty list.
func newDiscoveryStandIn(s *observations, indented bool) (*discoveryStandIn, error) {
	a := &discoveryStandIn{observed: s, changed: make(chan struct{}), silenced: make(chan struct{}), entries: make(map[string]string), changedAt: make(map[string]int), indented: indented}
	return a, a.move()
}

// move starts a server at a new address and stops the one at the old address.
func (d *discoveryStandIn) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if d.server != nil {
		d.server.Close()
	}
	d.server, d.address = &http.Server{Handler: d}, l.Addr().String()
	go func(s *http.Server) { _ = s.Serve(l) }(d.server) // returns when the server is closed
	return nil
}

// publish changes entries, increments the version and answers waiting calls.
func (d *discoveryStandIn) publish(entries map[string]string, order []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, id := range order {
		if _, ok := d.entries[id]; !ok {
			d.order = append(d.order, id)
		}
		d.entries[id], d.changedAt[id] = entries[id], d.version
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// revertToInitial reverts to the list at the start of the row, as a replica that lags behind would have it.
func (d *discoveryStandIn) revertToInitial() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries, d.version = maps.Clone(d.initialEntries), d.initialVersion
	for id := range d.changedAt {
		d.changedAt[id] = min(d.changedAt[id], d.initialVersion)
	}
	d.order = slices.DeleteFunc(d.order, func(id string) bool { return d.initialEntries[id] == "" })
}

// silence leaves all open calls without an answer. New calls are served.
func (d *discoveryStandIn) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// listJSON returns an answer with the entries that changed after a version, or with the full list if since is -1.
func (d *discoveryStandIn) listJSON(since int) string {
	var all []string
	for _, id := range d.order {
		if d.changedAt[id] > since && (since >= 0 || !strings.Contains(d.entries[id], `"gone"`)) {
			all = append(all, d.entries[id])
		}
	}
	fieldSeparator, entrySeparator := "", ","
	if d.indented {
		fieldSeparator, entrySeparator = "\n  ", ",\n    "
	}
	return fmt.Sprintf(`{%s"generation":%d,%s"reset":%v,%s"instances":[%s]}`, fieldSeparator, d.version, fieldSeparator, since < 0, fieldSeparator, strings.Join(all, entrySeparator))
}

// ServeHTTP answers a call when the list is newer than the version in the query, or at the end of the waiting time.
func (d *discoveryStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		since = -1
	}
	d.observed.withLock(func() { d.observed.discoveryCalls, d.observed.heldVersion = d.observed.discoveryCalls+1, since })
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait")) // 0 if it is missing
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		d.mu.Lock()
		changed, silenced, down, newer, text := d.changed, d.silenced, d.down, d.version > since, d.listJSON(since)
		d.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if newer {
			_, _ = io.WriteString(w, text) // fails if the caller has disconnected
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = io.WriteString(w, text)
			return
		case <-silenced:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}
