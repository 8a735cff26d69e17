package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arrowgw/internal/world"
)

// firstVersion is the list's version at the start: sidecars know the list before it, or none.
const firstVersion = 1

// oldClose is how long discovery's old address keeps its connections after a move.
const oldClose = 1500 * time.Millisecond

// watchMost is how long discovery holds a watch at most.
const watchMost = time.Minute

// roster is the stand-in for discovery: one list, one desk, and an answer for each sidecar, as each reaches the
// servers at addresses of its own.
type roster struct {
	clock   clock
	history *History
	net     *subnet
	scene   *Scenario
	servers *servers
	port    int // of now
	delays  []*time.Timer

	mu      sync.Mutex
	list    *world.Roster
	desk    world.Desk
	changed chan struct{} // closed with each change
	muted   chan struct{} // closed where the watches that are open fall silent
	away    bool
	stale   *world.Roster // what it answers with instead, while it is stale
	knows   [][]bool      // by sidecar and server: whether it was told that the server is out
	calls   int
	lines   int
	failed  int

	places []*http.Server     // the one of now is the last
	doors  []*net.TCPListener // its listeners
}

func newRoster(s *Scenario, c clock, h *History, n *subnet, servers *servers) (*roster, error) {
	r := &roster{
		clock: c, history: h, net: n, scene: s, servers: servers, changed: make(chan struct{}), muted: make(chan struct{}),
		list: world.NewRoster(s.Fleet.Servers, firstVersion),
		desk: world.NewDesk(s.List.Call.Std(), s.List.Line.Std(), s.List.Wait.Std()),
	}
	r.list.Reserve(s.spares())
	for range s.all() {
		r.knows = append(r.knows, make([]bool, s.Fleet.Servers+s.spares()))
	}
	return r, r.open()
}

// open begins to serve at the address of now.
func (r *roster) open() error {
	port, err := r.net.port()
	if err != nil {
		return err
	}
	all, err := r.net.open(port, r.scene.all(), "discovery")
	if err != nil {
		return err
	}
	place := &http.Server{Handler: r, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	r.mu.Lock()
	r.places, r.port, r.doors = append(r.places, place), port, all
	r.mu.Unlock()
	for _, l := range all {
		go func() { _ = place.Serve(l) }() // ends with the place
	}
	return nil
}

func (r *roster) close() {
	r.mu.Lock()
	for _, t := range r.delays {
		t.Stop()
	}
	r.mu.Unlock()
	for _, p := range r.places {
		p.Close()
	}
}

// move opens another address. The old one takes no new connections, and ends a little later.
func (r *roster) move() error {
	old, doors := r.places[len(r.places)-1], r.doors
	if err := r.open(); err != nil {
		return err
	}
	for _, l := range doors {
		endListener(l)
	}
	soon, cancel := context.WithTimeout(context.Background(), oldClose)
	go func() {
		defer cancel()
		_ = old.Shutdown(soon) // watches are cut off then
		old.Close()
	}()
	return nil
}

// address is where a sidecar reaches discovery now.
func (r *roster) address(sidecar int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.net.at(sidecar, r.port)
}

// hear takes what happened to a server; the list knows it after the lag.
func (r *roster) hear(lag time.Duration, e world.Entry) {
	set := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.list.Set(e) {
			close(r.changed)
			r.changed = make(chan struct{})
		}
	}
	r.mu.Lock()
	r.delays = append(r.delays, time.AfterFunc(lag, set))
	r.mu.Unlock()
}

// outage begins or ends one: calls fail, and watches end.
func (r *roster) outage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = on
	close(r.changed)
	r.changed = make(chan struct{})
}

// freeze has it answer with the list of now, whatever changes, or with the true one again.
func (r *roster) freeze(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = nil
	if on {
		r.stale = r.list.Copy()
	}
}

// mute has all watches that are open fall silent; new ones are served.
func (r *roster) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

// crawl makes each call take so much longer.
func (r *roster) crawl(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desk.Call = r.scene.List.Call.Std() + by
}

// ServeHTTP is discovery's side of the protocol.
func (r *roster) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	local, _ := req.Context().Value(http.LocalAddrContextKey).(net.Addr)
	sidecar := r.net.caller(local)
	if req.URL.Path != "/discovery/hosts" || sidecar < 0 || sidecar >= len(r.knows) {
		http.NotFound(w, req)
		return
	}
	since, wait := int64(-1), time.Duration(0)
	if q := req.URL.Query(); q.Has("index") {
		n, err := strconv.ParseInt(q.Get("index"), 10, 64)
		ms, errWait := strconv.ParseInt(q.Get("wait"), 10, 64)
		if err != nil || errWait != nil || ms < 0 {
			http.Error(w, "index or wait is no number", http.StatusBadRequest)
			return
		}
		since, wait = n, min(time.Duration(ms)*time.Millisecond, watchMost)
	}
	entries, version, whole, ok := r.answer(req.Context(), since, wait)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := json.Marshal(r.listing(sidecar, version, whole, entries))
	if err != nil {
		panic(err) // of plain fields
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(raw); err == nil && http.NewResponseController(w).Flush() == nil {
		r.tell(sidecar, whole, entries)
	}
}

// answer waits for its turn, and a watch for news.
func (r *roster) answer(ctx context.Context, since int64, wait time.Duration) (entries []world.Entry, version int64, whole, ok bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	r.mu.Lock()
	muted := r.muted
	r.mu.Unlock()
	for waiting := since >= 0; waiting; {
		r.mu.Lock()
		news, away := r.changed, r.away
		waiting = r.source().Version() == since && !away
		r.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-news:
		case <-end.C:
			waiting = false
		case <-muted:
			<-ctx.Done()
			return nil, 0, false, false
		case <-ctx.Done():
			return nil, 0, false, false
		}
	}
	r.mu.Lock()
	r.calls++
	list := r.source()
	entries, ok = list.Since(since)
	if whole = since < 0 || !ok; whole {
		entries = list.Whole()
	}
	version = list.Version()
	r.lines += len(entries)
	ready, ok := r.desk.Take(r.clock.now(), len(entries))
	ok = ok && !r.away
	if !ok {
		r.failed++
	}
	r.mu.Unlock()
	if !ok {
		return nil, 0, false, false
	}
	select {
	case <-time.After(ready - r.clock.now()):
	case <-ctx.Done():
		return nil, 0, false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return entries, version, whole, !r.away
}

func (r *roster) source() *world.Roster {
	if r.stale != nil {
		return r.stale
	}
	return r.list
}

// tell takes that a sidecar was told so much of the list: it binds the sidecar from now on.
func (r *roster) tell(sidecar int, whole bool, entries []world.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int]bool)
	for server := range r.knows[sidecar] {
		if whole {
			out[server] = true // until the list names it
		}
	}
	for _, e := range entries {
		out[e.Server] = e.Life != world.Ready
	}
	r.note(sidecar, out)
}

// note enters what is news to a sidecar.
func (r *roster) note(sidecar int, out map[int]bool) {
	for server, is := range out {
		if r.knows[sidecar][server] != is {
			r.knows[sidecar][server] = is
			r.history.tell(Told{At: r.clock.now(), Sidecar: sidecar, Server: server, Out: is})
		}
	}
}

// restarted takes that a sidecar begins anew: its configuration has all servers ready.
func (r *roster) restarted(sidecar int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int]bool)
	for server := range r.knows[sidecar] {
		out[server] = false
	}
	r.note(sidecar, out)
}

// serverName is a server's instanceId.
func serverName(i int) string { return fmt.Sprintf("s-%04x", 0x1000+i*37) }

// instance is an entry in discovery's form.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listingJSON is an answer in discovery's form.
type listingJSON struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// listing words entries for a sidecar.
func (r *roster) listing(sidecar int, version int64, whole bool, entries []world.Entry) listingJSON {
	l := listingJSON{Generation: version, Reset: whole, Instances: []instance{}}
	for _, e := range entries {
		i := instance{
			InstanceID: serverName(e.Server), HostPort: r.servers.at(sidecar, e.Server),
			Zone: zoneName(r.scene.zoneOf(e.Server)), MachineType: "one-core", Cell: e.Server / 4, Lifecycle: string(e.Life), Weight: 1,
		}
		if e.Started > 0 {
			i.StartedAtMs = r.clock.at(e.Started).UnixMilli()
		}
		l.Instances = append(l.Instances, i)
	}
	return l
}
