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

// firstVersion is the version of the server list at the start of a run.
const firstVersion = 1

// oldAddressGrace is how long discovery's old address keeps its open connections after a move.
const oldAddressGrace = 1500 * time.Millisecond

// maxWatch is the longest time for which discovery holds a watch open.
const maxWatch = time.Minute

// roster is the stand-in for discovery. It holds one server list and answers one call after the other (world.FIFOService).
// Each answer has the addresses at which the calling sidecar reaches the servers, as these differ between sidecars.
type roster struct {
	clock          clock
	history        *History
	net            *subnet
	scenario       *Scenario
	servers        *servers
	port           int           // of the current address
	pendingUpdates []*time.Timer // updates that scheduleUpdate has yet to make

	mu              sync.Mutex
	list            *world.ServerList
	desk            world.FIFOService
	changed         chan struct{}     // closed and replaced at each change of the list or of availability
	watchesSilenced chan struct{}     // closed and replaced by silenceWatches
	unavailable     bool              // calls fail
	stale           *world.ServerList // if not nil, calls are answered from this list instead
	knownOut        [][]bool          // by sidecar and server: whether the sidecar was informed that the server is out of service
	calls           int               // calls received
	lines           int               // list entries in all answers, including those of calls that failed
	failed          int               // calls that failed, because discovery was busy or unavailable

	httpServers []*http.Server     // one for each address so far; the last is the current one
	listeners   []*net.TCPListener // of the current address
}

// newRoster starts discovery with a list of all servers of the scenario, which it serves at a first address.
func newRoster(s *Scenario, c clock, h *History, n *subnet, servers *servers) (*roster, error) {
	r := &roster{
		clock: c, history: h, net: n, scenario: s, servers: servers, changed: make(chan struct{}), watchesSilenced: make(chan struct{}),
		list: world.NewServerList(s.Fleet.Servers, firstVersion),
		desk: world.NewFIFOService(s.Discovery.CallCost.Std(), s.Discovery.LineCost.Std(), s.Discovery.MaxWait.Std()),
	}
	r.list.Reserve(s.replacementServers())
	for range s.totalSidecars() {
		r.knownOut = append(r.knownOut, make([]bool, s.Fleet.Servers+s.replacementServers()))
	}
	return r, r.open()
}

// open starts to serve at a new address, which becomes the current one.
func (r *roster) open() error {
	port, err := r.net.allocatePort()
	if err != nil {
		return err
	}
	all, err := r.net.listen(port, r.scenario.totalSidecars(), "discovery")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	r.mu.Lock()
	r.httpServers, r.port, r.listeners = append(r.httpServers, server), port, all
	r.mu.Unlock()
	for _, l := range all {
		go func() { _ = server.Serve(l) }() // ends when the server is closed
	}
	return nil
}

// close stops discovery: pending updates of the list are dropped and all addresses closed.
func (r *roster) close() {
	r.mu.Lock()
	for _, t := range r.pendingUpdates {
		t.Stop()
	}
	r.mu.Unlock()
	for _, server := range r.httpServers {
		server.Close()
	}
}

// move opens another address. The old one accepts no new connections, and closes the open ones after oldAddressGrace.
func (r *roster) move() error {
	old, oldListeners := r.httpServers[len(r.httpServers)-1], r.listeners
	if err := r.open(); err != nil {
		return err
	}
	for _, l := range oldListeners {
		closeListener(l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), oldAddressGrace)
	go func() {
		defer cancel()
		_ = old.Shutdown(ctx) // open watches are cut off after the grace period
		old.Close()
	}()
	return nil
}

// address returns the address at which a sidecar reaches discovery.
func (r *roster) address(sidecar int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.net.address(sidecar, r.port)
}

// scheduleUpdate enters the new state of a server in the list once lag has passed.
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

// setOutage starts or ends an outage of discovery, in which calls and open watches fail.
func (r *roster) setOutage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = on
	close(r.changed)
	r.changed = make(chan struct{})
}

// setStale makes discovery answer from a copy of the present list, without later changes, or from the live list again.
func (r *roster) setStale(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = nil
	if on {
		r.stale = r.list.Clone()
	}
}

// silenceWatches leaves all open watches without an answer. New ones are answered.
func (r *roster) silenceWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.watchesSilenced)
	r.watchesSilenced = make(chan struct{})
}

// setExtraDelay adds a delay to the time per call that the scenario sets; 0 removes it.
func (r *roster) setExtraDelay(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desk.CallTime = r.scenario.Discovery.CallCost.Std() + by
}

// ServeHTTP answers a call of a sidecar by the protocol of discovery: the whole list, or a watch where the query has an index.
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
		panic(err) // cannot happen: listingJSON has only plain fields
	}
	w.Header().Set("Content-Type", "application/json")
	out := r.entriesOut(sidecar, whole, entries)
	r.recordKnown(sidecar, out, false) // the sidecar may act on the answer before this goroutine runs on
	if _, err := w.Write(raw); err == nil && http.NewResponseController(w).Flush() == nil {
		r.recordKnown(sidecar, out, true)
	}
}

// awaitAnswer waits until a watch has something to report or its time is over, then for the call's turn at discovery.
// It returns the entries that changed since version since, or the whole list where since is negative or unknown. ok is
// false where the call fails.
func (r *roster) awaitAnswer(ctx context.Context, since int64, wait time.Duration) (entries []world.Entry, version int64, whole, ok bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	r.mu.Lock()
	muted := r.watchesSilenced
	r.mu.Unlock()
	for waiting := since >= 0; waiting; {
		r.mu.Lock()
		changed, unavailable := r.changed, r.unavailable
		waiting = r.servedList().Version() == since && !unavailable
		r.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-changed:
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

// servedList returns the list that calls are answered from. The caller holds the lock.
func (r *roster) servedList() *world.ServerList {
	if r.stale != nil {
		return r.stale
	}
	return r.list
}

// entriesOut returns by server whether an answer with the given entries tells a sidecar that the server is out of service.
func (r *roster) entriesOut(sidecar int, whole bool, entries []world.Entry) map[int]bool {
	out := make(map[int]bool)
	for server := range r.knownOut[sidecar] {
		if whole {
			out[server] = true // unless the whole list has an entry for it
		}
	}
	for _, e := range entries {
		out[e.Server] = e.Lifecycle != world.Ready
	}
	return out
}

// recordKnown records in the history which servers went out of service, or which came back into it, as far as a sidecar
// was informed.
func (r *roster) recordKnown(sidecar int, out map[int]bool, wentOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, isOut := range out {
		if isOut == wentOut && r.knownOut[sidecar][server] != isOut {
			r.knownOut[sidecar][server] = isOut
			r.history.recordServerUpdate(ServerUpdate{At: r.clock.now(), Sidecar: sidecar, Server: server, Out: isOut})
		}
	}
}

// sidecarRestarted records that a sidecar starts with its configuration, in which all servers are ready.
func (r *roster) sidecarRestarted(sidecar int) {
	out := make(map[int]bool)
	for server := range r.knownOut[sidecar] {
		out[server] = false
	}
	r.recordKnown(sidecar, out, false)
}

// serverName is a server's instanceId.
func serverName(i int) string { return fmt.Sprintf("s-%04x", 0x1000+i*37) }

// instance is an entry of discovery's JSON answer.
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

// listingJSON is discovery's JSON answer.
type listingJSON struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// listing returns the answer for a sidecar, with its addresses of the servers.
func (r *roster) listing(sidecar int, version int64, whole bool, entries []world.Entry) listingJSON {
	l := listingJSON{Generation: version, Reset: whole, Instances: []instance{}}
	for _, e := range entries {
		i := instance{
			InstanceID: serverName(e.Server), HostPort: r.servers.address(sidecar, e.Server),
			Zone: zoneName(r.scenario.zoneOf(e.Server)), MachineType: "one-core", Cell: e.Server / 4, Lifecycle: string(e.Lifecycle), Weight: 1,
		}
		if e.StartedAt > 0 {
			i.StartedAtMs = r.clock.timeAt(e.StartedAt).UnixMilli()
		}
		l.Instances = append(l.Instances, i)
	}
	return l
}
