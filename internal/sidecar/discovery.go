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
	minWatchWait   = 10 * time.Second // how long discovery may hold a watch, at least
	maxWatchWait   = 20 * time.Second // and at most: each draws its own, or watches that fall silent together would all be opened anew together
	firstWatchWait = time.Millisecond // and the first after a start or a failure: the module waits for word

	// Limits of calls. What a silent one misses counts as told 2 s after its wait, or 6 s after it fell silent, 4 s after a SIGHUP, and 6 s
	// after discovery could be reached, whatever failed before: by then the next one has to be answered, and in turn after other sidecars'
	// (docs/list.md).
	watchAnswerTimeout  = 750 * time.Millisecond  // for the answer of a watch, behind its wait
	callTimeout         = 2500 * time.Millisecond // for that of another call,
	retryCallTimeout    = 4 * time.Second         // where two before were silent: discovery may have a long queue
	longListTimeout     = 6 * time.Second         // where two before were, and the last had begun to answer: lists may be long
	connectTimeout      = 400 * time.Millisecond  // for the connection: a lost packet or a machine that is off costs no more,
	maxConnectDoublings = 2                       // doubled so often at most, after each that did not come up

	minRetryDelay  = 200 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond // with jitter and a call within 1 s: what was pushed meanwhile counts once discovery is back
	staleListDelay = 2 * time.Second        // and between whole lists, or to wait for changes, where its word is older than what is held
	maxListBytes   = 8 << 20                // bytes of one answer; far above any real list
)

// errSilent says that a call got no answer within its limit, errCut that it got the beginning of one.
var (
	errNoAnswer         = errors.New("discovery gave no answer")
	errAnswerIncomplete = errors.New("the answer had begun")
)

// unknownVersion is no version: the whole list is needed.
const unknownVersion = int64(-1)

// listing is one answer of discovery.
type listing struct {
	version    int64
	whole      bool
	servers    []balance.Server
	addresses  map[balance.ServerID]string
	rawEntries map[balance.ServerID]json.RawMessage // the entries as they came
}

// serverID names a server by a hash of its instanceId: the same at every sidecar and after a
// restart, as the module spreads the sidecars over the servers by the order of their ids.
func serverID(instance string) balance.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // a hash takes everything
	return balance.ServerID(h.Sum64())
}

// parseListing reads an answer. One malformed entry makes the whole answer unusable.
func parseListing(raw []byte, zones map[string]int) (listing, error) {
	var answer struct {
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
	if err := json.Unmarshal(raw, &answer); err != nil {
		return listing{}, err
	}
	if answer.Generation == nil {
		return listing{}, errors.New("no generation")
	}
	l := listing{version: *answer.Generation, whole: answer.Reset, addresses: make(map[balance.ServerID]string)}
	l.rawEntries = make(map[balance.ServerID]json.RawMessage, len(answer.Instances))
	for i, raw := range answer.Instances {
		var e instance
		if err := json.Unmarshal(raw, &e); err != nil {
			return listing{}, fmt.Errorf("instance %d: %w", i, err)
		}
		if e.InstanceID == "" {
			return listing{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := balance.Server{ID: serverID(e.InstanceID), Cell: e.Cell, Weight: e.Weight}
		var known bool
		if s.Zone, known = zones[e.Zone]; !known { // below 0, and each its own: a repeat may be bound to a zone
			s.Zone = -1 - int(serverID(e.Zone)>>2)
		}
		if e.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // no time of this clock
			return listing{}, fmt.Errorf("instance %s: startedAtMs is %v", e.InstanceID, e.StartedAtMs)
		}
		s.Started = time.Duration(max(0, e.StartedAtMs) * float64(time.Millisecond))
		switch e.Lifecycle {
		case "ready":
			s.State = balance.Ready
		case "gone":
			s.State = balance.Gone
		default:
			s.State = balance.Draining // nothing new, whatever it is
		}
		if _, _, err := net.SplitHostPort(e.HostPort); err == nil {
			l.addresses[s.ID] = e.HostPort
		} else if s.State != balance.Gone {
			return listing{}, fmt.Errorf("instance %s: hostPort: %w", e.InstanceID, err)
		}
		l.servers = append(l.servers, s)
		l.rawEntries[s.ID] = raw
	}
	return l, nil
}

// discovery follows the list of servers and hands what it learns to the loop.
type discovery struct {
	zones             map[string]int
	subscribeRequests chan struct{} // where the list must be asked for: the module did
	onListing         func(listing)
	onFailure         func()
	client            http.Client

	applyMu            sync.Mutex  // held while news go on to the loop, so that they do so in order
	list               *serverList // of the list that the loop holds; changed only with taking held
	now                func() time.Duration
	random             func() float64 // from 0 to 1: a watch's part between the shortest and the longest
	sleep              func(context.Context, time.Duration)
	saveList           func(v *serverList, durable bool)
	dial               func(ctx context.Context, network, address string) (net.Conn, error)
	timeouts           int  // calls other than watches that got no answer in time, one after the other
	lastTimeoutPartial bool // the last of them had begun to answer

	connectTimeout, minRetryDelay, maxRetryDelay time.Duration

	mu              sync.Mutex
	address         string
	cancelCalls     context.CancelFunc // ends what is under way at that address
	counts          callCounts
	connectTimeouts int // connections that did not come up in time, one after the other
}

// callCounts count what discovery was asked, for the log: all sidecars share its one capacity.
type callCounts struct {
	wholeLists   int // calls for the whole list
	wholeAnswers int // answers that were whole lists
	watches      int // and for changes
	failed       int // of both
	entries      int // entries that the answers held
}

func newDiscovery(cfg *Config, heard func(listing), failed func()) *discovery {
	d := &discovery{address: cfg.Discovery, zones: cfg.Zones, onListing: heard, onFailure: failed, now: newClock().now, sleep: sleepJittered}
	d.list, d.saveList = restoreServerList(cfg, savedList{}, time.Time{}, d.now()), func(*serverList, bool) {}
	d.random, d.dial = rand.Float64, new(net.Dialer).DialContext
	d.connectTimeout, d.minRetryDelay, d.maxRetryDelay = connectTimeout, minRetryDelay, maxRetryDelay
	if cfg.Policy.AskList {
		d.subscribeRequests = make(chan struct{}, 1)
	} else if grace := cfg.DrainGrace; grace > 0 { // what is pushed counts at once, with or without a watch
		d.connectTimeout, d.minRetryDelay, d.maxRetryDelay = min(connectTimeout, grace/3), min(minRetryDelay, grace/6), min(maxRetryDelay, grace/3)
	}
	// Calls to discovery change nothing there, so the standard client may repeat one on a new connection.
	d.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true, DialContext: d.connect}
	return d
}

// connect opens a connection to discovery, with a limit of its own.
func (d *discovery) connect(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	limit := d.connectTimeout << d.connectTimeouts
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.connectTimeouts = 0
	} else if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.connectTimeouts = min(d.connectTimeouts+1, maxConnectDoublings)
	}
	return conn, err
}

// subscribe takes that the module wants to be subscribed to the list.
func (d *discovery) subscribe() {
	select {
	case d.subscribeRequests <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// setAddress goes on at another address, at once: what the old one is waited on for does not come there any more.
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

// enterAddress returns the address, and a context that ends with the stay there.
func (d *discovery) enterAddress(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancelCalls = context.WithCancel(ctx)
	return ctx, d.address
}

// run follows the list until ctx ends, at one address after the other.
func (d *discovery) run(ctx context.Context) {
	for moved := false; ctx.Err() == nil; moved = true {
		here, address := d.enterAddress(ctx)
		d.applyMu.Lock()
		d.list.setSource(address, d.now()) // whether versions are the same elsewhere is not told
		d.timeouts = 0
		d.applyMu.Unlock()
		d.followAddress(here, address, moved)
		d.client.CloseIdleConnections()
	}
}

// followAddress follows the list at an address until ctx ends, and again after a failure. Where lists are pushed
// it comes back by itself after a pause; where they are asked for, the module says when, but for the first
// time after a move: then the module holds itself for subscribed.
func (d *discovery) followAddress(ctx context.Context, address string, moved bool) {
	pause := d.minRetryDelay
	for ctx.Err() == nil {
		if d.subscribeRequests != nil && !moved {
			select {
			case <-d.subscribeRequests:
			case <-ctx.Done():
				return
			}
		}
		moved = false
		heard, err := d.callUntilFailure(ctx, address)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("discovery failed", "error", err)
		select {
		case <-d.subscribeRequests: // meanwhile: what the module makes of this failure goes before it
		default:
		}
		d.onFailure()
		if d.subscribeRequests != nil {
			continue
		}
		if heard {
			pause = d.minRetryDelay
		}
		d.sleep(ctx, pause)
		pause = min(2*pause, d.maxRetryDelay)
	}
}

// sleepJittered waits for about d. Jitter: all sidecars lose discovery at the same moment and must not come back as one.
func sleepJittered(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(time.Duration(float64(d) * (0.5 + rand.Float64()))):
	case <-ctx.Done():
	}
}

// callUntilFailure calls discovery until a call fails: watch after watch from the version that the loop holds, or
// the whole list first where there is none. A call that fails takes nothing away from what is held, and
// discovery is one for all sidecars: when many start or fail at once, whole lists keep it from the others. After an
// answer older than what is held it asks for whole lists, now and then, until it knows whether that was stale or
// discovery has begun anew. A call that has fallen silent is made anew at once: it took its time, and the time until
// its news count as told is short. It tells whether any call went well.
func (d *discovery) callUntilFailure(ctx context.Context, address string) (heard bool, err error) {
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
			return heard, err
		}
		d.timeouts = 0
		l.whole = l.whole || query == ""
		heard, wait = true, minWatchWait+time.Duration(d.random()*float64(maxWatchWait-minWatchWait))
		if again := d.applyAnswer(l); again > 0 {
			if d.sleep(ctx, again); ctx.Err() != nil {
				return heard, ctx.Err()
			}
		}
	}
}

// applyAnswer acts on an answer, and returns a pause until the next call, where that is not a watch from it.
func (d *discovery) applyAnswer(l listing) (pause time.Duration) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	held := d.list.version
	news, older := d.list.apply(l, d.now())
	d.onListing(news)
	if l.whole || len(news.servers) > 0 {
		d.saveList(d.list, l.whole || !allReady(news))
	}
	if older {
		slog.Warn("discovery is older than what is held", "version", l.version, "held", held, "whole", l.whole, "out", len(news.servers))
	}
	_, doubted := d.list.resetWatchVersion(d.now())
	switch {
	case d.list.canWatch():
		return 0
	case l.whole && !doubted: // and the next is whole too
		return staleListDelay
	}
	return maxRetryDelay
}

// applyOtherProcessList acts on what another process of this sidecar goes by.
func (d *discovery) applyOtherProcessList(k savedList, l listing) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if news := d.list.applyOtherProcess(k, l); len(news.servers) > 0 {
		slog.Info("out by the other process", "version", l.version, "held", d.list.version, "out", len(news.servers))
		d.onListing(news)
	}
}

// nextQuery is what is asked next: changes, for so long, or the whole list.
func (d *discovery) nextQuery(wait time.Duration) (query string, limit time.Duration) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	since, older := d.list.resetWatchVersion(d.now())
	first := callTimeout
	if d.timeouts > 1 {
		first = retryCallTimeout
		if d.lastTimeoutPartial {
			first = longListTimeout
		}
	}
	switch {
	case d.list.canWatch():
		since = d.list.version
	case older:
		wait = staleListDelay
	default:
		return "", first
	}
	limit = wait + watchAnswerTimeout
	if wait == firstWatchWait {
		limit = wait + first
	}
	return fmt.Sprintf("?index=%d&wait=%d", since, wait.Milliseconds()), limit
}

// allReady says that a list takes no server away.
func allReady(l listing) bool {
	return !slices.ContainsFunc(l.servers, func(s balance.Server) bool { return s.State != balance.Ready })
}

// counters are for the log.
func (d *discovery) counters() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]int{
		"whole": d.counts.wholeLists, "watches": d.counts.watches, "failed": d.counts.failed, "lines": d.counts.entries,
	}
}

// call asks discovery, and counts that it did.
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
		return listing{}, fmt.Errorf("answered %s", res.Status)
	case len(body) > maxListBytes:
		return listing{}, errors.New("the answer is too long")
	}
	return parseListing(body, d.zones)
}
