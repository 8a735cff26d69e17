package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"arrowgw/internal/balance"
)

const (
	minWatchWait   = 10 * time.Second // shortest time for which discovery is asked to hold a watch
	maxWatchWait   = 20 * time.Second // longest; the wait of each watch is random, so that watches that time out together are not reopened together
	firstWatchWait = time.Millisecond // for the first watch after a start or a failure: the module waits for an answer

	// Limits of calls. A change that an unanswered call misses must be known 2 s after the end of that watch's wait, or 6 s
	// after the call stopped answering, 4 s after a SIGHUP, or 6 s after discovery became reachable again, regardless of
	// earlier failures. The next call has to be answered by then, although other sidecars' calls may come first (docs/list.md).
	watchAnswerTimeout  = 750 * time.Millisecond  // for the answer to a watch, after its wait
	callTimeout         = 2500 * time.Millisecond // for the answer to any other call
	retryCallTimeout    = 4 * time.Second         // instead of callTimeout after two unanswered calls: discovery may have a long queue
	longListTimeout     = 6 * time.Second         // instead of callTimeout after two, if the second answer had begun: the list may be long
	connectTimeout      = 400 * time.Millisecond  // for a connection; bounds the cost of a lost packet or of a machine that is off
	maxConnectDoublings = 2                       // how often connectTimeout is doubled at most, once after each connection that timed out

	minRetryDelay  = 200 * time.Millisecond // first delay after a failed call
	maxRetryDelay  = 500 * time.Millisecond // a call within 1 s, jitter included: pushed changes count as soon as discovery is back
	staleListDelay = 2 * time.Second        // between calls for whole lists while answers are older than the list held, and the wait of watches then
	maxListBytes   = 8 << 20                // bytes of one answer; far above any real list
)

// errNoAnswer means that a call was not answered within its limit, errAnswerIncomplete that the answer had begun.
var (
	errNoAnswer         = errors.New("no answer from discovery")
	errAnswerIncomplete = errors.New("the answer is incomplete")
)

// unknownVersion is the version before any list has been applied: the whole list is needed.
const unknownVersion = int64(-1)

// listing is an answer of discovery: the whole list, or the changes since an earlier version.
type listing struct {
	version    int64
	whole      bool
	servers    []balance.Server
	addresses  map[balance.ServerID]string
	rawEntries map[balance.ServerID]json.RawMessage // the entries as received
}

// serverID derives a server's ID from its instanceId by a hash. The ID is the same at every sidecar and after a restart, as
// the module distributes the sidecars over the servers by the order of their IDs.
func serverID(instance string) balance.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // a hash never returns an error
	return balance.ServerID(h.Sum64())
}

// parseListing parses an answer of discovery. A single malformed entry makes the whole answer unusable.
func parseListing(raw []byte, zones map[string]int) (listing, error) {
	var parsed struct {
		Generation *int64
		Reset      bool
		Instances  []json.RawMessage
	}
	type instance struct {
		InstanceID  string
		HostPort    string
		Zone        string
		Cell        int
		Lifecycle   string
		Weight      float64
		StartedAtMs float64
	}
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return listing{}, err
	}
	if parsed.Generation == nil {
		return listing{}, errors.New("the answer has no generation")
	}
	l := listing{version: *parsed.Generation, whole: parsed.Reset, addresses: make(map[balance.ServerID]string)}
	l.rawEntries = make(map[balance.ServerID]json.RawMessage, len(parsed.Instances))
	for i, raw := range parsed.Instances {
		var entry instance
		if err := json.Unmarshal(raw, &entry); err != nil {
			return listing{}, fmt.Errorf("instance %d: %w", i, err)
		}
		if entry.InstanceID == "" {
			return listing{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := balance.Server{ID: serverID(entry.InstanceID), Cell: entry.Cell, Weight: entry.Weight}
		var known bool
		if s.Zone, known = zones[entry.Zone]; !known { // a negative number for each unknown zone, as a retry may be restricted to a zone
			s.Zone = -1 - int(serverID(entry.Zone)>>2)
		}
		if entry.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // out of the clock's range
			return listing{}, fmt.Errorf("instance %s: startedAtMs %v is out of range", entry.InstanceID, entry.StartedAtMs)
		}
		s.Started = time.Duration(max(0, entry.StartedAtMs) * float64(time.Millisecond))
		switch entry.Lifecycle {
		case "ready":
			s.State = balance.Ready
		case "gone":
			s.State = balance.Gone
		default:
			s.State = balance.Draining // an unknown lifecycle: send nothing new
		}
		if _, _, err := net.SplitHostPort(entry.HostPort); err == nil {
			l.addresses[s.ID] = entry.HostPort
		} else if s.State != balance.Gone {
			return listing{}, fmt.Errorf("instance %s: hostPort: %w", entry.InstanceID, err)
		}
		l.servers = append(l.servers, s)
		l.rawEntries[s.ID] = raw
	}
	return l, nil
}

// discovery is the client of the discovery service. It follows the server list and passes what it learns to the loop.
type discovery struct {
	zones             map[string]int // zone by name
	subscribeRequests chan struct{}  // the module's requests to subscribe; nil where lists are pushed
	onListing         func(listing)  // called with each list or change to apply
	onFailure         func()         // called after each failed call
	client            http.Client

	applyMu            sync.Mutex  // held while a list is applied and passed on, which keeps the order
	list               *serverList // the list that the loop has; changed only with applyMu held
	now                func() time.Duration
	random             func() float64                       // from 0 to 1; places a watch's wait between minWatchWait and maxWatchWait
	sleep              func(context.Context, time.Duration) // sleepJittered, replaced in tests
	saveList           func(v *serverList, durable bool)    // stores the list; durable means at once
	dial               func(ctx context.Context, network, address string) (net.Conn, error)
	timeouts           int  // unanswered calls in a row, without watches
	lastTimeoutPartial bool // the last of them had begun to be answered

	connectTimeout, minRetryDelay, maxRetryDelay time.Duration

	mu              sync.Mutex
	address         string
	cancelCalls     context.CancelFunc // ends the calls to the current address
	counts          callCounts
	connectTimeouts int // connections in a row that timed out
}

// callCounts counts the calls to discovery, for the log: all sidecars share its capacity.
type callCounts struct {
	wholeLists   int // calls for the whole list
	wholeAnswers int // answers with the whole list
	watches      int // calls for changes
	failed       int // calls of either kind that failed
	entries      int // entries in the answers
}

// newDiscovery returns a discovery client that starts from the configuration's list.
func newDiscovery(cfg *Config, onListing func(listing), onFailure func()) *discovery {
	d := &discovery{address: cfg.Discovery, zones: cfg.Zones, onListing: onListing, onFailure: onFailure, now: newClock().now, sleep: sleepJittered}
	d.list, d.saveList = restoreServerList(cfg, savedList{}, time.Time{}, d.now()), func(*serverList, bool) {}
	d.random, d.dial = rand.Float64, new(net.Dialer).DialContext
	d.connectTimeout, d.minRetryDelay, d.maxRetryDelay = connectTimeout, minRetryDelay, maxRetryDelay
	if cfg.Policy.AskList {
		d.subscribeRequests = make(chan struct{}, 1)
	} else if grace := cfg.DrainGrace; grace > 0 { // pushed changes count as soon as discovery can be reached
		d.connectTimeout, d.minRetryDelay, d.maxRetryDelay = min(connectTimeout, grace/3), min(minRetryDelay, grace/6), min(maxRetryDelay, grace/3)
	}
	// Calls change nothing at discovery, so http.Transport may resend one on a new connection.
	d.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true, DialContext: d.connect}
	return d
}

// connect opens a connection to discovery with connectTimeout, doubled after connections that timed out.
func (d *discovery) connect(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	limit := d.connectTimeout << d.connectTimeouts
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.connectTimeouts = 0
		return newRetryingConn(conn), nil // an answer counts as known once discovery has written it
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.connectTimeouts = min(d.connectTimeouts+1, maxConnectDoublings)
	}
	return nil, err
}

// subscribe handles the module's request to subscribe to the list.
func (d *discovery) subscribe() {
	select {
	case d.subscribeRequests <- struct{}{}:
	default: // already requested, or the list is pushed
	}
}

// setAddress switches to another address of discovery at once: calls to the old one are cancelled.
func (d *discovery) setAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	slog.Info("discovery moved", "from", d.address, "to", address)
	d.address, d.connectTimeouts = address, 0
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
}

// enterAddress returns the current address, and a context that ends when the address changes.
func (d *discovery) enterAddress(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancelCalls = context.WithCancel(ctx)
	return ctx, d.address
}

// run follows the list until ctx ends, at one address after another.
func (d *discovery) run(ctx context.Context) {
	for moved := false; ctx.Err() == nil; moved = true {
		addressCtx, address := d.enterAddress(ctx)
		d.applyMu.Lock()
		d.list.setSource(address, d.now()) // versions of another address need not be comparable
		d.timeouts = 0
		d.applyMu.Unlock()
		d.followAddress(addressCtx, address, moved)
		d.client.CloseIdleConnections()
	}
}

// followAddress follows the list at an address until ctx ends. After a failure it retries after a delay if lists are
// pushed; otherwise the module decides when to subscribe again, except right after a change of address, when the module
// still considers itself subscribed.
func (d *discovery) followAddress(ctx context.Context, address string, afterMove bool) {
	delay := d.minRetryDelay
	for ctx.Err() == nil {
		if d.subscribeRequests != nil && !afterMove {
			select {
			case <-d.subscribeRequests:
			case <-ctx.Done():
				return
			}
		}
		afterMove = false
		anySuccess, err := d.watchUntilError(ctx, address)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("discovery failed", "error", err)
		select {
		case <-d.subscribeRequests: // requested during the call: the failure answers this request too, and the module decides again
		default:
		}
		d.onFailure()
		if d.subscribeRequests != nil {
			continue
		}
		if anySuccess {
			delay = d.minRetryDelay
		}
		d.sleep(ctx, delay)
		delay = min(2*delay, d.maxRetryDelay)
	}
}

// sleepJittered waits for 0.5 to 1.5 times d. All sidecars lose discovery at the same moment, and the jitter keeps them from
// reconnecting at the same moment.
func sleepJittered(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(time.Duration(float64(d) * (0.5 + rand.Float64()))):
	case <-ctx.Done():
	}
}

// watchUntilError calls discovery until a call fails, and reports whether any call succeeded. It opens one watch after
// another from the version held, or asks for the whole list first if there is none; a failure does not change the list.
// Whole lists are asked for only when needed, as the service is shared by all sidecars and many of them may start or
// fail at once. After an answer older than the list held, whole lists are requested at intervals until it is clear
// whether that answer was stale or discovery has restarted with new versions. A call that times out is repeated at once,
// because the time until its changes count is short.
func (d *discovery) watchUntilError(ctx context.Context, address string) (anySuccess bool, err error) {
	for wait := firstWatchWait; ; {
		query, limit := d.nextQuery(wait)
		watch := query != "" && wait != firstWatchWait
		l, err := d.call(ctx, address, query, limit)
		switch {
		case errors.Is(err, errNoAnswer):
			slog.Warn("discovery is silent", "query", query, "limit", limit)
			if !watch {
				d.timeouts, d.lastTimeoutPartial = d.timeouts+1, errors.Is(err, errAnswerIncomplete)
			}
			wait = firstWatchWait
			continue
		case err != nil:
			return anySuccess, err
		}
		d.timeouts = 0
		l.whole = l.whole || query == ""
		anySuccess, wait = true, minWatchWait+time.Duration(d.random()*float64(maxWatchWait-minWatchWait))
		if delay := d.applyAnswer(l); delay > 0 {
			if d.sleep(ctx, delay); ctx.Err() != nil {
				return anySuccess, ctx.Err()
			}
		}
	}
}

// applyAnswer applies an answer and passes the resulting changes on. It returns a delay before the next call, 0 if a watch
// can follow at once.
func (d *discovery) applyAnswer(l listing) (delay time.Duration) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	before := d.list.version
	changes, older := d.list.apply(l, d.now())
	d.onListing(changes)
	if l.whole || len(changes.servers) > 0 {
		d.saveList(d.list, l.whole || !allReady(changes))
	}
	if older {
		slog.Warn("discovery is older than what is held", "version", l.version, "held", before, "whole", l.whole, "out", len(changes.servers))
	}
	_, suspected := d.list.watchDuringReset(d.now())
	switch {
	case d.list.canWatch():
		return 0
	case l.whole && !suspected: // the next call asks for a whole list too
		return staleListDelay
	}
	return maxRetryDelay
}

// applyOtherProcessList applies the list that the other process of an upgrade has stored.
func (d *discovery) applyOtherProcessList(saved savedList, l listing) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if changes := d.list.applyOtherProcess(saved, l); len(changes.servers) > 0 {
		slog.Info("out by the other process", "version", l.version, "held", d.list.version, "out", len(changes.servers))
		d.onListing(changes)
	}
}

// nextQuery returns the query of the next call and its time limit: a watch from a known version that discovery holds for
// wait, or an empty query for the whole list.
func (d *discovery) nextQuery(wait time.Duration) (query string, limit time.Duration) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	since, suspected := d.list.watchDuringReset(d.now())
	timeout := callTimeout
	if d.timeouts > 1 {
		timeout = retryCallTimeout
		if d.lastTimeoutPartial {
			timeout = longListTimeout
		}
	}
	switch {
	case d.list.canWatch():
		since = d.list.version
	case suspected:
		wait = staleListDelay
	default:
		return "", timeout
	}
	limit = wait + watchAnswerTimeout
	if wait == firstWatchWait {
		limit = wait + timeout
	}
	return fmt.Sprintf("?index=%d&wait=%d", since, wait.Milliseconds()), limit
}

// allReady reports whether all servers of a list or change are ready. A change that takes servers out of use has to be
// stored at once.
func allReady(l listing) bool {
	return !slices.ContainsFunc(l.servers, func(s balance.Server) bool { return s.State != balance.Ready })
}

// counters returns the counts of calls for the log, by name.
func (d *discovery) counters() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]int{
		"whole": d.counts.wholeLists, "watches": d.counts.watches, "failed": d.counts.failed, "lines": d.counts.entries,
	}
}

// call makes a call to discovery and counts it.
func (d *discovery) call(ctx context.Context, address, query string, limit time.Duration) (listing, error) {
	l, err := d.fetch(ctx, address, query, limit)
	d.mu.Lock()
	defer d.mu.Unlock()
	if query == "" {
		d.counts.wholeLists++
	} else {
		d.counts.watches++
	}
	if err != nil {
		d.counts.failed++
	} else if l.whole || query == "" {
		d.counts.wholeAnswers++
	}
	d.counts.entries += len(l.servers)
	return l, err
}

// fetch makes a call to discovery and parses the answer. If the limit passes first the error is an errNoAnswer.
func (d *discovery) fetch(ctx context.Context, address, query string, limit time.Duration) (l listing, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errNoAnswer)
	defer cancel()
	defer func() {
		if err != nil && context.Cause(ctx) == errNoAnswer {
			err = fmt.Errorf("%w within %v: %w", errNoAnswer, limit, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/discovery/hosts"+query, nil)
	if err != nil {
		return listing{}, err
	}
	res, err := d.client.Do(req)
	if err != nil {
		return listing{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	switch {
	case err != nil:
		return listing{}, fmt.Errorf("%w: %w", errAnswerIncomplete, err)
	case res.StatusCode != http.StatusOK:
		return listing{}, fmt.Errorf("discovery answered %s", res.Status)
	case len(body) > maxListBytes:
		return listing{}, fmt.Errorf("the answer exceeds %d bytes", maxListBytes)
	}
	return parseListing(body, d.zones)
}
