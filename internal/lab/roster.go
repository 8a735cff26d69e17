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

// oldAddressGrace is how long discovery's old address keeps its connections after a move.
const oldAddressGrace = 1500 * time.Millisecond

// maxWatch is how long discovery holds a watch at most.
const maxWatch = time.Minute

// roster is the stand-in for discovery: one list, one desk, and an answer for each sidecar, as each reaches the
// servers at addresses of its own.
type roster struct {
	clock          clock
	history        *History
	net            *subnet
	scene          *Scenario
	servers        *servers
	port           int // of now
	pendingUpdates []*time.Timer

	mu              sync.Mutex
	list            *world.ServerList
	desk            world.FIFOService
	changed         chan struct{} // closed with each change
	watchesSilenced chan struct{} // closed where the watches that are open fall silent
	unavailable     bool
	stale           *world.ServerList // what it answers with instead, while it is stale
	knownOut        [][]bool          // by sidecar and server: whether it was told that the server is out
	calls           int
	lines           int
	failed          int

	httpServers []*http.Server     // the one of now is the last
	listeners   []*net.TCPListener // its listeners
}

func newRoster(s *Scenario, c clock, h *History, n *subnet, servers *servers) (*roster, error) {
	r := &roster{
		clock: c, history: h, net: n, scene: s, servers: servers, changed: make(chan struct{}), watchesSilenced: make(chan struct{}),
		list: world.NewServerList(s.Fleet.Servers, firstVersion),
		desk: world.NewFIFOService(s.Discovery.CallCost.Std(), s.Discovery.LineCost.Std(), s.Discovery.MaxWait.Std()),
	}
	r.list.Reserve(s.replacementServers())
	for range s.totalSidecars() {
		r.knownOut = append(r.knownOut, make([]bool, s.Fleet.Servers+s.replacementServers()))
	}
	return r, r.open()
}

// open begins to serve at the address of now.
func (r *roster) open() error {
	port, err := r.net.allocatePort()
	if err != nil {
		return err
	}
	all, err := r.net.listen(port, r.scene.totalSidecars(), "discovery")
	if err != nil {
		return err
	}
	place := &http.Server{Handler: r, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	r.mu.Lock()
	r.httpServers, r.port, r.listeners = append(r.httpServers, place), port, all
	r.mu.Unlock()
	for _, l := range all {
		go func() { _ = place.Serve(l) }() // ends with the place
	}
	return nil
}

func (r *roster) close() {
	r.mu.Lock()
	for _, t := range r.pendingUpdates {
		t.Stop()
	}
	r.mu.Unlock()
	for _, p := range r.httpServers {
		p.Close()
	}
}

// move opens another address. The old one takes no new connections, and ends a little later.
func (r *roster) move() error {
	old, doors := r.httpServers[len(r.httpServers)-1], r.listeners
	if err := r.open(); err != nil {
		return err
	}
	for _, l := range doors {
		closeListener(l)
	}
	soon, cancel := context.WithTimeout(context.Background(), oldAddressGrace)
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
	return r.net.address(sidecar, r.port)
}

// scheduleUpdate takes what happened to a server; the list knows it after the lag.
func (r *roster) scheduleUpdate(lag time.Duration, e world.Entry) {
	set := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.list.Set(e) {
			close(r.changed)
			r.changed = make(chan struct{})
		}
	}
	r.mu.Lock()
	r.pendingUpdates = append(r.pendingUpdates, time.AfterFunc(lag, set))
	r.mu.Unlock()
}

// setOutage begins or ends one: calls fail, and watches end.
func (r *roster) setOutage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = on
	close(r.changed)
	r.changed = make(chan struct{})
}

// setStale has it answer with the list of now, whatever changes, or with the true one again.
func (r *roster) setStale(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = nil
	if on {
		r.stale = r.list.Clone()
	}
}

// silenceWatches has all watches that are open fall silent; new ones are served.
func (r *roster) silenceWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.watchesSilenced)
	r.watchesSilenced = make(chan struct{})
}

// setExtraDelay makes each call take so much longer.
func (r *roster) setExtraDelay(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desk.CallTime = r.scene.Discovery.CallCost.Std() + by
}

// ServeHTTP is discovery's side of the protocol.
func (r *roster) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	local, _ := req.Context().Value(http.LocalAddrContextKey).(net.Addr)
	sidecar := r.net.callerAt(local)
	if req.URL.Path != "/discovery/hosts" || sidecar < 0 || sidecar >= len(r.knownOut) {
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
		since, wait = n, min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	entries, version, whole, ok := r.awaitAnswer(req.Context(), since, wait)
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
		r.recordSentEntries(sidecar, whole, entries)
	}
}

// awaitAnswer waits for its turn, and a watch for news.
func (r *roster) awaitAnswer(ctx context.Context, since int64, wait time.Duration) (entries []world.Entry, version int64, whole, ok bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	r.mu.Lock()
	muted := r.watchesSilenced
	r.mu.Unlock()
	for waiting := since >= 0; waiting; {
		r.mu.Lock()
		news, away := r.changed, r.unavailable
		waiting = r.servedList().Version() == since && !away
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
	list := r.servedList()
	entries, ok = list.ChangedSince(since)
	if whole = since < 0 || !ok; whole {
		entries = list.Listed()
	}
	version = list.Version()
	r.lines += len(entries)
	ready, ok := r.desk.Enqueue(r.clock.now(), len(entries))
	ok = ok && !r.unavailable
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
	return entries, version, whole, !r.unavailable
}

func (r *roster) servedList() *world.ServerList {
	if r.stale != nil {
		return r.stale
	}
	return r.list
}

// recordSentEntries takes that a sidecar was told so much of the list: it binds the sidecar from now on.
func (r *roster) recordSentEntries(sidecar int, whole bool, entries []world.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int]bool)
	for server := range r.knownOut[sidecar] {
		if whole {
			out[server] = true // until the list names it
		}
	}
	for _, e := range entries {
		out[e.Server] = e.Lifecycle != world.Ready
	}
	r.recordKnown(sidecar, out)
}

// recordKnown enters what is news to a sidecar.
func (r *roster) recordKnown(sidecar int, out map[int]bool) {
	for server, is := range out {
		if r.knownOut[sidecar][server] != is {
			r.knownOut[sidecar][server] = is
			r.history.recordServerUpdate(ServerUpdate{At: r.clock.now(), Sidecar: sidecar, Server: server, Out: is})
		}
	}
}

// sidecarRestarted takes that a sidecar begins anew: its configuration has all servers ready.
func (r *roster) sidecarRestarted(sidecar int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int]bool)
	for server := range r.knownOut[sidecar] {
		out[server] = false
	}
	r.recordKnown(sidecar, out)
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
			InstanceID: serverName(e.Server), HostPort: r.servers.address(sidecar, e.Server),
			Zone: zoneName(r.scene.zoneOf(e.Server)), MachineType: "one-core", Cell: e.Server / 4, Lifecycle: string(e.Lifecycle), Weight: 1,
		}
		if e.StartedAt > 0 {
			i.StartedAtMs = r.clock.timeAt(e.StartedAt).UnixMilli()
		}
		l.Instances = append(l.Instances, i)
	}
	return l
}
