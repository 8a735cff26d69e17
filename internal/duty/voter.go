package duty

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	electing   = 600 * time.Millisecond // without word of a leader, a voter stands for election after so long, and up to twice that
	leading    = 400 * time.Millisecond // without a majority's word, a leader steps back after so long
	applyTime  = 2 * time.Second
	askVoters  = 2 * time.Second // how often the leader looks whether voters are still who they were
	endTime    = time.Second     // the library's end may wait for a disk
	idsMost    = 255             // bytes of a voter's id
	timeAtOnce = 24              // bits of a token for places in the log, below the time at which the table began
)

// voter is a process's part in keeping the table.
type voter struct {
	g     *Group
	id    raft.ServerID
	raft  *raft.Raft
	table *table
	disk  *disk
	layer *layer

	mu      sync.Mutex
	epoch   uint64                   // the term in which this process leads and has all that was decided before; 0: it does not
	given   map[string]time.Duration // by duty: when a lease was last given, or its holder chosen
	passing map[string]bool          // a new holder is being entered, and what comes of that is not known yet
	ending  map[string]bool          // no lease is given any more: it is to go to another
	want    map[string]string        // who is to have it then
	told    map[string]bool          // its holder is being told
	asked   time.Duration            // when the voters were last looked at
	telling sync.WaitGroup
}

const (
	sectionVoter = "duty-voter"
	keyBirth     = "birth"
)

// newVoter starts the library with what the disk has. A voter that has lost its disk is another voter: the word that it gave under
// the old id can't be taken back by somebody who does not remember it.
func newVoter(g *Group) (*voter, error) {
	birth, ok := g.cfg.Storage.Get(sectionVoter, keyBirth)
	if !ok || g.cfg.StorageDamaged {
		if err := clearDisk(g.cfg.Storage); err != nil {
			return nil, err
		}
		birth = fmt.Appendf(nil, "%x", g.cfg.Start)
		if err := g.cfg.Storage.Put(sectionVoter, keyBirth, birth); err != nil {
			return nil, err
		}
	}
	v := &voter{told: make(map[string]bool), g: g, id: raft.ServerID(g.cfg.Name + "#" + string(birth)), table: newTable()}
	if len(v.id) > idsMost {
		return nil, fmt.Errorf("duty: the id %q is too long", v.id)
	}
	var err error
	if v.disk, err = readDisk(g.cfg.Storage); err != nil {
		return nil, err
	}
	v.layer = newLayer(g.cfg.Transport, v.id)
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: &libraryLog{g}})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = v.id, quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = electing, electing, leading
	c.CommitTimeout, c.MaxAppendEntries = 25*time.Millisecond, 16
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = time.Minute, 128, 64
	c.ShutdownOnRemove = false
	net := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: v.layer, MaxPool: 2, Timeout: callTime, Logger: quiet, MaxRPCsInFlight: 2,
	})
	if v.raft, err = raft.NewRaft(c, v.table, v.disk, v.disk, v.disk, net); err != nil {
		return nil, errors.Join(err, net.Close())
	}
	return v, nil
}

// libraryLog takes the library's warnings to the log, for people who look for a fault in it.
type libraryLog struct{ g *Group }

func (l *libraryLog) Write(line []byte) (int, error) {
	l.g.log.Debug("raft", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// nameOf is the process of a voter's id.
func nameOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// run leads while this voter is the leader, until ctx ends.
func (v *voter) run(ctx context.Context) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	defer v.telling.Wait()
	for {
		select {
		case <-ctx.Done():
			v.end()
			return
		case <-tick.C:
		}
		switch {
		case v.raft.State() != raft.Leader:
			v.stepBack()
			if v.raft.LastIndex() == 0 {
				v.found()
			}
		case v.current() == 0:
			v.takeUp()
		default:
			v.manage()
		}
	}
}

func (v *voter) end() {
	v.stepBack()
	if v.raft.State() == raft.Leader {
		_ = v.raft.LeadershipTransfer().Error() // or the others elect one
	}
	done := make(chan struct{})
	go func() {
		_ = v.raft.Shutdown().Error()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(endTime):
		v.g.log.Warn("duties", "error", "the vote ends slowly")
	}
	v.layer.Close()
}

// found begins a table where there never was one: the first voter does, once all others say that they have none either. One that has
// lost its disk finds that they have, and waits to be taken in again.
func (v *voter) found() {
	if v.g.cfg.Voters[0] != v.g.cfg.Name || !v.due() {
		return
	}
	c := raft.Configuration{Servers: []raft.Server{{ID: v.id, Address: raft.ServerAddress(v.id)}}}
	for _, name := range v.g.cfg.Voters[1:] {
		var w Standing
		if err := v.g.call(name, "Who", struct{}{}, &w); err != nil || !w.Fresh {
			return
		}
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(w.ID), Address: raft.ServerAddress(w.ID)})
	}
	if err := v.raft.BootstrapCluster(c).Error(); err != nil {
		v.g.log.Warn("duties", "error", err)
	}
}

// due says, now and then, that voters are to be looked at.
func (v *voter) due() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.g.now(); v.asked == 0 || now-v.asked >= askVoters/2 {
		v.asked = max(1, now)
		return true
	}
	return false
}

func (v *voter) current() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch
}

// stepBack takes that this voter leads no more, or no longer knows what was decided.
func (v *voter) stepBack() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.epoch = 0
}

// takeUp begins to lead: once all that was decided before is known. Leases that an earlier leader gave may be as young as this
// election, so that all are counted from now.
func (v *voter) takeUp() {
	term := v.raft.CurrentTerm()
	if v.raft.Barrier(applyTime).Error() != nil || v.raft.State() != raft.Leader || v.raft.CurrentTerm() != term {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.g.now()
	v.epoch = term
	v.given, v.passing = make(map[string]time.Duration), make(map[string]bool)
	v.ending, v.want = make(map[string]bool), make(map[string]string)
	for _, h := range v.table.all() {
		v.given[h.Duty] = now
	}
	v.g.log.Info("duties", "leads", v.g.cfg.Name, "term", term)
}

// leads says whether this voter leads, or who may.
func (v *voter) leads() (hint string, yes bool) {
	if v.raft.State() == raft.Leader && v.current() != 0 {
		return "", true
	}
	_, id := v.raft.LeaderWithID()
	return nameOf(id), false
}

// leadsStill says whether this voter leads and has yet to pass on some of what was given up.
func (v *voter) leadsStill(given []Holding) bool {
	if _, leads := v.leads(); !leads {
		return false
	}
	return slices.ContainsFunc(given, func(r Holding) bool {
		h, ok := v.table.get(r.Duty)
		return ok && h == r
	})
}

// grant gives leases. It first makes sure that no other leads: whoever is elected after that counts from later on than the caller,
// who counts from before it asked.
func (v *voter) grant(args RenewArgs) (granted []string, err error) {
	if err := v.raft.VerifyLeader().Error(); err != nil {
		hint, _ := v.leads()
		return nil, errors.New(errNotLeader + hint)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.epoch == 0 {
		return nil, errors.New(errNotLeader)
	}
	for duty, token := range args.Tokens {
		h, ok := v.table.get(duty)
		if ok && h.Token == token && h.Holder == args.Name && h.Start == args.Start && !v.passing[duty] && !v.ending[duty] {
			v.given[duty] = v.g.now()
			granted = append(granted, duty)
		}
	}
	slices.Sort(granted)
	return granted, nil
}

// enter has the log take an entry, or say why not.
func (v *voter) enter(args EnterArgs) (reply EnterReply, err error) {
	term := v.current()
	if term == 0 {
		return reply, errors.New(errNotLeader)
	}
	raw, err := json.Marshal(command{Term: term, Enter: &args})
	if err != nil {
		return reply, err
	}
	f := v.raft.Apply(raw, applyTime)
	if err := f.Error(); err != nil {
		return reply, fmt.Errorf("it may have been entered or not: %w", err)
	}
	reply, ok := f.Response().(EnterReply)
	if !ok {
		return reply, errors.New("decided in another term: it was not entered")
	}
	return reply, nil
}

// entered reads a duty's entry, once it is sure that no other leads.
func (v *voter) entered(duty string) (Entry, error) {
	if v.current() == 0 || v.raft.VerifyLeader().Error() != nil {
		hint, _ := v.leads()
		return Entry{}, errors.New(errNotLeader + hint)
	}
	return v.table.entry(duty), nil
}

// release frees duties that their holder holds no more.
func (v *voter) release(given []Holding) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.epoch == 0 {
		return errors.New(errNotLeader)
	}
	for _, r := range given {
		if h, ok := v.table.get(r.Duty); ok && h == r {
			v.freeNow(r.Duty)
		}
	}
	return nil
}

// freeNow has a duty go to another with the next beat. mu is held.
func (v *voter) freeNow(duty string) {
	v.ending[duty] = true
	v.given[duty] = v.g.now() - v.g.free()
}

// move has a duty go to another: at once if its holder says that it has ended it, or else when its lease is over.
func (v *voter) move(duty, to string) error {
	i := slices.IndexFunc(v.g.cfg.Duties, func(d Duty) bool { return d.Name == duty })
	if i < 0 {
		return fmt.Errorf("there is no duty %q", duty)
	}
	if to != "" && !slices.ContainsFunc(v.fit(v.g.cfg.Duties[i]), func(c Candidate) bool { return c.Name == to }) {
		return fmt.Errorf("%q is not fit to hold %s", to, duty)
	}
	h, ok := v.table.get(duty)
	if !ok {
		return fmt.Errorf("nobody holds %s yet", duty)
	}
	if h.Holder == to {
		return nil
	}
	v.mu.Lock()
	if v.epoch == 0 {
		v.mu.Unlock()
		return errors.New(errNotLeader)
	}
	v.ending[duty], v.want[duty] = true, to
	v.mu.Unlock()
	if err := v.g.call(h.Holder, "Taken", h, &struct{}{}); err != nil {
		return nil // it goes over when the lease ends
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if now, ok := v.table.get(duty); ok && now == h && v.epoch != 0 {
		v.freeNow(duty)
	}
	return nil
}

// manage sees that each duty has a holder that renews its lease.
func (v *voter) manage() {
	for _, d := range v.g.cfg.Duties {
		h, ok := v.table.get(d.Name)
		v.mu.Lock()
		since := v.g.now() - v.given[d.Name]
		busy := v.passing[d.Name] || v.epoch == 0
		v.mu.Unlock()
		switch {
		case busy:
		case !ok || since >= v.g.free():
			if h, ok := v.pass(d, h); ok {
				v.tellHolder(h)
			}
		case since > v.g.cfg.Lease/4:
			v.tellHolder(h) // again
		}
	}
	if v.due() {
		v.voters()
	}
}

// fit are those that may hold a duty.
func (v *voter) fit(d Duty) (all []Candidate) {
	for _, c := range v.g.cfg.Candidates() {
		if d.Zone == "" || d.Zone == c.Zone {
			all = append(all, c)
		}
	}
	return all
}

// pass enters a new holder: who is wanted, or who holds least; the one that had it only where there is no other.
func (v *voter) pass(d Duty, before Holding) (h Holding, ok bool) {
	load := make(map[string]int)
	for _, h := range v.table.all() {
		load[h.Holder]++
	}
	v.mu.Lock()
	want, term := v.want[d.Name], v.epoch
	v.mu.Unlock()
	rank := func(c Candidate) int {
		switch {
		case c.Name == want && want != "":
			return -1
		case c.Name == before.Holder:
			return dutyMost + 1
		}
		return load[c.Name]
	}
	all := v.fit(d)
	if len(all) == 0 {
		return h, false
	}
	to := slices.MinFunc(all, func(a, b Candidate) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a.Name, b.Name)) })
	raw, err := json.Marshal(command{Term: term, Duty: d.Name, Holder: to.Name, Start: to.Start, Base: uint64(time.Now().Unix()) << timeAtOnce})
	if err != nil {
		panic(err) // of plain fields
	}
	v.mu.Lock()
	now, _ := v.table.get(d.Name)
	if v.epoch != term || term == 0 || now != before {
		v.mu.Unlock()
		return h, false
	}
	v.passing[d.Name] = true // no lease is given from here on
	v.mu.Unlock()
	f := v.raft.Apply(raw, applyTime)
	err = f.Error()
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil || v.epoch != term {
		v.epoch = 0 // it may have been entered or not: begin again behind it
		return h, false
	}
	if h, ok = f.Response().(Holding); !ok {
		v.epoch = 0
		return h, false
	}
	delete(v.passing, d.Name)
	delete(v.ending, d.Name)
	delete(v.want, d.Name)
	v.given[d.Name] = v.g.now()
	v.g.log.Info("duty", "goesTo", h.Holder, "duty", h.Duty, "token", h.Token, "from", before.Holder)
	return h, true
}

// tellHolder tells a holder that it has a duty, unless it is being told already. Where that fails it is told again.
func (v *voter) tellHolder(h Holding) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.told[h.Duty] {
		return
	}
	v.told[h.Duty] = true
	v.telling.Go(func() {
		_ = v.g.call(h.Holder, "Given", h, &struct{}{})
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.told, h.Duty)
	})
}

// voters takes in voters that have come with another id, or under a name that is new, and leaves out those that are named no more.
// One at a time, so that a majority stands throughout.
func (v *voter) voters() {
	f := v.raft.GetConfiguration()
	if f.Error() != nil {
		return
	}
	have := make(map[string]raft.ServerID)
	for _, s := range f.Configuration().Servers {
		have[nameOf(s.ID)] = s.ID
		if !slices.Contains(v.g.cfg.Voters, nameOf(s.ID)) {
			v.g.log.Warn("duties", "voterLeaves", s.ID)
			_ = v.raft.RemoveServer(s.ID, 0, applyTime).Error() // again next time, if it fails
			return
		}
	}
	for _, name := range v.g.cfg.Voters {
		var w Standing
		if name == v.g.cfg.Name || v.g.call(name, "Who", struct{}{}, &w) != nil || have[name] == raft.ServerID(w.ID) || !w.Fresh {
			continue
		}
		if old := have[name]; old != "" {
			v.g.log.Warn("duties", "voterLostDisk", name, "before", old, "now", w.ID)
			if v.raft.RemoveServer(old, 0, applyTime).Error() != nil {
				return
			}
		}
		_ = v.raft.AddVoter(raft.ServerID(w.ID), raft.ServerAddress(w.ID), 0, applyTime).Error() // as above
		return
	}
}

func (v *voter) who() Standing { return Standing{string(v.id), v.raft.LastIndex() == 0} }

// tell is the table for people.
func (v *voter) tell() (Table, error) {
	t := Table{Leader: v.g.cfg.Name, Holdings: v.table.all(), Ages: make(map[string]time.Duration)}
	f := v.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return t, err
	}
	for _, s := range f.Configuration().Servers {
		t.Voters = append(t.Voters, string(s.ID))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for duty, at := range v.given {
		t.Ages[duty] = v.g.now() - at
	}
	return t, nil
}

// command is an entry of the log.
type command struct {
	Term   uint64 `json:"term"` // in which it was decided: under another it counts for nothing
	Base   uint64 `json:"base"` // of all tokens, if this is the first entry
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`

	Enter *EnterArgs `json:"enter,omitempty"` // in place of a holder; a program that knows of no entries passes such a command over
}

// table is the library's state machine.
type table struct {
	mu       sync.Mutex
	base     uint64
	holdings map[string]Holding
	entries  map[string]Entry
}

func newTable() *table {
	return &table{holdings: make(map[string]Holding), entries: make(map[string]Entry)}
}

// Apply implements raft.FSM. It returns the Holding or the EnterReply, or nil for an entry that counts for nothing.
func (t *table) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil || c.Term != l.Term || c.Duty == "" && c.Enter == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Enter != nil {
		e, err := t.entries[c.Enter.Duty].Apply(t.holdings[c.Enter.Duty].Token, c.Enter.Entry)
		if err != nil {
			return EnterReply{e, err.Error()}
		}
		t.entries[c.Enter.Duty] = e
		return EnterReply{Entry: e}
	}
	if t.base == 0 {
		t.base = c.Base
	}
	if _, ok := t.holdings[c.Duty]; !ok && len(t.holdings) >= dutyMost {
		return nil
	}
	h := Holding{Duty: c.Duty, Holder: c.Holder, Start: c.Start, Token: t.base + l.Index}
	t.holdings[c.Duty] = h
	return h
}

func (t *table) get(duty string) (Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.holdings[duty]
	return h, ok
}

func (t *table) entry(duty string) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[duty]
}

// all are the holdings, by duty.
func (t *table) all() (all []Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holdings {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Holding) int { return cmp.Compare(a.Duty, b.Duty) })
	return all
}

// saved is the table as a snapshot has it.
type saved struct {
	Base     uint64           `json:"base"`
	Holdings []Holding        `json:"holdings"`
	Entries  map[string]Entry `json:"entries,omitempty"`
}

// Snapshot implements raft.FSM.
func (t *table) Snapshot() (raft.FSMSnapshot, error) {
	s := &saved{Holdings: t.all()}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Base, s.Entries = t.base, maps.Clone(t.entries)
	return s, nil
}

// Persist implements raft.FSMSnapshot.
func (s *saved) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s *saved) Release() {}

// Restore implements raft.FSM.
func (t *table) Restore(r io.ReadCloser) error {
	defer r.Close()
	var s saved
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.base, t.holdings = s.Base, make(map[string]Holding)
	for _, h := range s.Holdings {
		t.holdings[h.Duty] = h
	}
	t.entries = make(map[string]Entry)
	maps.Copy(t.entries, s.Entries)
	return nil
}

// layer is the library's way to the other voters. Each stream begins with the id of the voter that it is for: a process that has
// lost its disk is not the voter that it was, and must not be taken for it.
type layer struct {
	wire  Transport
	id    raft.ServerID
	inner net.Listener
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newLayer(w Transport, id raft.ServerID) *layer {
	l := &layer{wire: w, id: id, inner: w.Listen(RaftStream), ready: make(chan net.Conn), done: make(chan struct{})}
	go func() {
		for {
			c, err := l.inner.Accept()
			if err != nil {
				return
			}
			go l.admit(c)
		}
	}()
	return l
}

func (l *layer) admit(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(callTime)) // it fails on a closed one, as reading does
	var n [1]byte
	if _, err := io.ReadFull(c, n[:]); err != nil {
		c.Close()
		return
	}
	id := make([]byte, n[0])
	if _, err := io.ReadFull(c, id); err != nil || raft.ServerID(id) != l.id || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	select {
	case l.ready <- c:
	case <-l.done:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *layer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.inner.Close()
}

// Addr implements net.Listener: voters are addressed by their ids.
func (l *layer) Addr() net.Addr { return address(l.id) }

type address string

func (a address) Network() string { return "voter" }
func (a address) String() string  { return string(a) }

// Dial implements raft.StreamLayer.
func (l *layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := l.wire.Dial(nameOf(raft.ServerID(to)), RaftStream, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout)) // it fails on a closed one, as writing does
	if _, err := c.Write(append([]byte{byte(len(to))}, to...)); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}
