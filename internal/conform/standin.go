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

// story is what the stand-ins round a real process saw, in order.
type observations struct {
	mu             sync.Mutex
	arrivals       []arrival
	answers        map[string]reply
	discoveryCalls int // of discovery
	heldVersion    int // the version that the last of them came with; -1: none
	failures       []string
}

// arrival is a request that came to a server as a whole.
type arrival struct {
	id, server string
	ending     string // its attempt ended, as far as it has
}

// reply is what a client was answered.
type reply struct {
	result     string // served, refused or failed
	retryAfter string
}

func (s *observations) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// end enters how a request's latest attempt ended.
func (s *observations) recordEnding(id, how string) {
	s.withLock(func() {
		for i := len(s.arrivals) - 1; i >= 0; i-- {
			if s.arrivals[i].id == id {
				s.arrivals[i].ending = how
				return
			}
		}
	})
}

// trail is how long behind the first a second answer comes.
const strayDelay = 3 * time.Millisecond

// standIn is a queue server: it takes what comes and answers as the row says, when it says so.
type standIn struct {
	id             string
	listener       net.Listener
	observed       *observations
	mu             sync.Mutex
	endings        map[string]chan string // verdicts, by request
	answeredOn     map[string]net.Conn    // the connection of each that was answered
	autoEnding     string                 // how to answer at once; empty: as the row says
	conns          map[net.Conn]bool
	startAccepting func() // lets connections come up that did not until then
}

// newStandIn starts a server, and where it is late one that no connection to comes up before up is called.
func newStandIn(id string, s *observations, late bool) (*standIn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &standIn{id: id, listener: l, observed: s, endings: make(map[string]chan string), answeredOn: make(map[string]net.Conn), conns: make(map[net.Conn]bool)}
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
	if late {
		return n, n.fillBacklog()
	}
	n.startAccepting()
	return n, nil
}

// fill has the kernel drop what asks for a connection, by a queue of those not accepted that is full. Who asked
// does so again by itself, so that the connection comes up once the queue is taken up.
func (n *standIn) fillBacklog() error {
	raw, err := n.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 1) }); err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	for range 2 { // one more than it was told: the kernel takes that many
		c, err := net.Dial("tcp", n.listener.Addr().String())
		if err != nil {
			return err
		}
		n.conns[c] = true // to be closed with the others
	}
	for end := time.Now().Add(maxWait); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		if failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || failed != nil {
			return errors.Join(err, failed)
		}
		if info.Unacked == 2 { // of a listener: those that wait to be accepted
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the queue did not fill")
		}
	}
}

func (n *standIn) close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

// verdict is the channel on which the row says how a request's attempt ends.
func (n *standIn) endingOf(id string) chan string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endings[id] == nil {
		n.endings[id] = make(chan string, 1)
	}
	return n.endings[id]
}

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
				n.observed.failures = append(n.observed.failures, fmt.Sprintf("%s had a request that no client sent: %q", n.id, id))
			}
		})
		more := make(chan error, 1)
		go func() { // the sidecar gives up by closing; else the next request begins here
			_, err := r.Peek(1)
			more <- err
		}()
		n.mu.Lock()
		how := n.autoEnding
		n.mu.Unlock()
		if how == "" {
			select {
			case how = <-n.endingOf(id):
			case <-more:
				n.observed.recordEnding(id, "left")
				return
			}
		}
		n.observed.recordEnding(id, how)
		goes, answered := n.answer(c, id, how), time.Now()
		if how == "trailed" {
			select { // as the next request comes, where that is sooner
			case err := <-more:
				more <- err
			case <-time.After(strayDelay):
			}
			if time.Since(answered) < 2*strayDelay { // one that comes later is none that the page tells of
				_, _ = io.WriteString(c, completeAnswer("stray")) // it fails where the sidecar has gone
			}
		}
		if !goes || <-more != nil {
			return
		}
	}
}

// answer ends an attempt, and says whether its connection goes on.
func (n *standIn) answer(c net.Conn, id, how string) bool {
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
	}[how]
	if how == "timeout" { // it says nothing until the sidecar has gone
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	if text == "" && how != "reset" { // a word of a row that has no answer here
		n.observed.withLock(func() { n.observed.failures = append(n.observed.failures, "no stand-in answers "+how) })
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	if how == "reset" || how == "unframed" {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it only makes the end a reset
		}
	}
	return !slices.Contains([]string{"reset", "cut", "halved", "chunked-cut", "closing", "unframed"}, how)
}

// made is a whole answer to a request.
func completeAnswer(id string) string {
	body := "done " + id
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// agency is discovery.
type discoveryStandIn struct {
	observed       *observations
	mu             sync.Mutex
	changed        chan struct{} // closed at the next change
	version        int
	entries        map[string]string // by server, in its own form
	order          []string
	changedAt      map[string]int // the version that brought a server's entry
	indented       bool
	down           bool
	initialEntries map[string]string // the list of the row's start, and its version
	initialVersion int
	silenced       chan struct{} // closed when open calls fall silent
	server         *http.Server
	address        string
}

func newDiscoveryStandIn(s *observations, indented bool) (*discoveryStandIn, error) {
	a := &discoveryStandIn{observed: s, changed: make(chan struct{}), silenced: make(chan struct{}), entries: make(map[string]string), changedAt: make(map[string]int), indented: indented}
	return a, a.move()
}

// move goes to another address; the old one ends.
func (a *discoveryStandIn) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if a.server != nil {
		a.server.Close()
	}
	a.server, a.address = &http.Server{Handler: a}, l.Addr().String()
	go func(s *http.Server) { _ = s.Serve(l) }(a.server) // it ends with the server
	return nil
}

// change enters entries, and tells who watches.
func (a *discoveryStandIn) publish(entries map[string]string, order []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, id := range order {
		if _, ok := a.entries[id]; !ok {
			a.order = append(a.order, id)
		}
		a.entries[id], a.changedAt[id] = entries[id], a.version
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// stale goes back to the list as the row began, as a replica may have it that is behind.
func (a *discoveryStandIn) revertToInitial() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries, a.version = maps.Clone(a.initialEntries), a.initialVersion
	for id := range a.changedAt {
		a.changedAt[id] = min(a.changedAt[id], a.initialVersion)
	}
	a.order = slices.DeleteFunc(a.order, func(id string) bool { return a.initialEntries[id] == "" })
}

// silence makes all calls that are open wait for ever; new ones are served.
func (a *discoveryStandIn) silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.silenced)
	a.silenced = make(chan struct{})
}

// list is an answer: the whole, or what is newer than a version.
func (a *discoveryStandIn) listJSON(since int) string {
	var all []string
	for _, id := range a.order {
		if a.changedAt[id] > since && (since >= 0 || !strings.Contains(a.entries[id], `"gone"`)) {
			all = append(all, a.entries[id])
		}
	}
	gap, line := "", ","
	if a.indented {
		gap, line = "\n  ", ",\n    "
	}
	return fmt.Sprintf(`{%s"generation":%d,%s"reset":%v,%s"instances":[%s]}`, gap, a.version, gap, since < 0, gap, strings.Join(all, line))
}

func (a *discoveryStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		since = -1
	}
	a.observed.withLock(func() { a.observed.discoveryCalls, a.observed.heldVersion = a.observed.discoveryCalls+1, since })
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait")) // none: no wait
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		a.mu.Lock()
		changed, silenced, down, newer, text := a.changed, a.silenced, a.down, a.version > since, a.listJSON(since)
		a.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if newer {
			_, _ = io.WriteString(w, text) // a caller that has gone needs none
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
