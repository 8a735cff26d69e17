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
	electionTimeout    = 600 * time.Millisecond // a voter without contact to a leader starts an election after a random time from this to twice this
	leaderLeaseTimeout = 400 * time.Millisecond // a leader without contact to a majority for this long steps down
	applyTimeout       = 2 * time.Second        // for one change of the raft log
	voterCheckInterval = time.Second            // between two checks of the voters by the leader
	shutdownTimeout    = time.Second            // raft's shutdown may wait for a disk
	maxVoterIDBytes    = 255                    // the length of an id is one byte on the wire
	tokenIndexBits     = 24                     // low bits of a token, for indexes of the log; the bits above have the Unix time at which the table was created
)

// voter is the part of a process in the replicated table. While it leads, it assigns the duties and grants
// their leases.
type voter struct {
	group   *Group
	id      raft.ServerID
	raft    *raft.Raft
	table   *table
	storage *raftStorage
	streams *streamLayer

	mu             sync.Mutex
	leadTerm       uint64                   // the term in which this process leads and has applied all earlier entries; 0: it does not lead
	leasedAt       map[string]time.Duration // by duty: when a lease was last granted, or the holder chosen
	reassigning    map[string]bool          // by duty: a new holder was submitted to the log, with the result not known yet
	revoked        map[string]bool          // by duty: no lease is granted any more, as the duty goes to another process
	wantedHolder   map[string]string        // by duty: the holder that a Move has named
	notifying      map[string]bool          // by duty: a call that informs the holder is under way
	lastVoterCheck time.Duration            // when the voters were last checked
	notifications  sync.WaitGroup
}

const (
	sectionVoter   = "duty-voter"
	keyIncarnation = "birth"
)

// newVoter starts raft with the stored log. A voter that has lost its disk joins under a new id: it can't keep
// the promises, such as votes, that it made under the old one.
func newVoter(g *Group) (*voter, error) {
	incarnation, ok := g.cfg.Storage.Get(sectionVoter, keyIncarnation)
	if !ok || g.cfg.StorageDamaged {
		if err := clearRaftStorage(g.cfg.Storage); err != nil {
			return nil, err
		}
		incarnation = fmt.Appendf(nil, "%x", g.cfg.Start)
		if err := g.cfg.Storage.Put(sectionVoter, keyIncarnation, incarnation); err != nil {
			return nil, err
		}
	}
	v := &voter{notifying: make(map[string]bool), group: g, id: raft.ServerID(g.cfg.Name + "#" + string(incarnation)), table: newTable()}
	if len(v.id) > maxVoterIDBytes {
		return nil, fmt.Errorf("duty: the voter id %q is longer than 255 bytes", v.id)
	}
	var err error
	if v.storage, err = readRaftStorage(g.cfg.Storage); err != nil {
		return nil, err
	}
	v.streams = newStreamLayer(g.cfg.Transport, v.id)
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: &raftLog{g}})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = v.id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = electionTimeout, electionTimeout, leaderLeaseTimeout
	c.CommitTimeout, c.MaxAppendEntries = 25*time.Millisecond, 16
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = time.Minute, 128, 64
	c.ShutdownOnRemove = false
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: v.streams, MaxPool: 2, Timeout: callTimeout, Logger: logger, MaxRPCsInFlight: 2,
	})
	if v.raft, err = raft.NewRaft(c, v.table, v.storage, v.storage, v.storage, transport); err != nil {
		return nil, errors.Join(err, transport.Close())
	}
	return v, nil
}

// raftLog writes the warnings of raft to the log at debug level.
type raftLog struct{ group *Group }

// Write implements io.Writer.
func (l *raftLog) Write(line []byte) (int, error) {
	l.group.log.Debug("raft", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// processOf returns the process name in a voter's id.
func processOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// run does a leader's work while this voter leads, until ctx ends.
func (v *voter) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	defer v.notifications.Wait()
	for {
		select {
		case <-ctx.Done():
			v.shutDown()
			return
		case <-tick.C:
		}
		switch {
		case v.raft.State() != raft.Leader:
			v.stepDown()
			if v.raft.LastIndex() == 0 {
				v.bootstrap()
			}
		case v.leadingTerm() == 0:
			v.startLeading()
		default:
			v.assignDuties()
		}
	}
}

// shutDown passes the leadership on and ends raft.
func (v *voter) shutDown() {
	v.stepDown()
	if v.raft.State() == raft.Leader {
		_ = v.raft.LeadershipTransfer().Error() // if this fails, the others elect a leader
	}
	done := make(chan struct{})
	go func() {
		_ = v.raft.Shutdown().Error()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
		v.group.log.Warn("duties", "error", "raft did not shut down within 1 s")
	}
	v.streams.Close()
}

// bootstrap creates the raft cluster if there has never been one. Only the first configured voter does so, once
// all others report that their logs are empty too. If it has only lost its own disk, the others have entries,
// and it waits until the leader adds it again.
func (v *voter) bootstrap() {
	if v.group.cfg.Voters[0] != v.group.cfg.Name || !v.voterCheckDue() {
		return
	}
	c := raft.Configuration{Servers: []raft.Server{{ID: v.id, Address: raft.ServerAddress(v.id)}}}
	for _, name := range v.group.cfg.Voters[1:] {
		var status VoterStatus
		if err := v.group.call(name, "Who", struct{}{}, &status); err != nil || !status.Fresh {
			return
		}
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(status.ID), Address: raft.ServerAddress(status.ID)})
	}
	if err := v.raft.BootstrapCluster(c).Error(); err != nil {
		v.group.log.Warn("duties", "error", err)
	}
}

// voterCheckDue reports whether it is time to check the voters again, and starts the next interval if so.
func (v *voter) voterCheckDue() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.group.now(); v.lastVoterCheck == 0 || now-v.lastVoterCheck >= voterCheckInterval {
		v.lastVoterCheck = max(1, now)
		return true
	}
	return false
}

// leadingTerm returns leadTerm.
func (v *voter) leadingTerm() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leadTerm
}

// stepDown records that this voter does not lead, or no longer knows what was decided.
func (v *voter) stepDown() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leadTerm = 0
}

// startLeading begins to lead once all earlier entries are applied. An earlier leader may have granted leases
// up to the moment of the election, so all leases count as granted now.
func (v *voter) startLeading() {
	term := v.raft.CurrentTerm()
	if v.raft.Barrier(applyTimeout).Error() != nil || v.raft.State() != raft.Leader || v.raft.CurrentTerm() != term {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.group.now()
	v.leadTerm = term
	v.leasedAt, v.reassigning = make(map[string]time.Duration), make(map[string]bool)
	v.revoked, v.wantedHolder = make(map[string]bool), make(map[string]string)
	for _, h := range v.table.sortedHoldings() {
		v.leasedAt[h.Duty] = now
	}
	v.group.log.Info("duties", "leads", v.group.cfg.Name, "term", term)
}

// leads reports whether this voter leads, and otherwise returns the name of the leader if it is known.
func (v *voter) leads() (leader string, ok bool) {
	if v.raft.State() == raft.Leader && v.leadingTerm() != 0 {
		return "", true
	}
	_, id := v.raft.LeaderWithID()
	return processOf(id), false
}

// hasUnassigned reports whether this voter leads and has not yet reassigned some of the given holdings.
func (v *voter) hasUnassigned(given []Holding) bool {
	if _, leads := v.leads(); !leads {
		return false
	}
	return slices.ContainsFunc(given, func(r Holding) bool {
		h, ok := v.table.holding(r.Duty)
		return ok && h == r
	})
}

// renewLeases grants leases. It first makes sure that no other voter leads: a leader elected later counts all
// leases from its election, which is after the caller sent the request from which it counts.
func (v *voter) renewLeases(args RenewArgs) (granted []string, err error) {
	if err := v.raft.VerifyLeader().Error(); err != nil {
		hint, _ := v.leads()
		return nil, errors.New(errNotLeader + hint)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leadTerm == 0 {
		return nil, errors.New(errNotLeader)
	}
	for duty, token := range args.Tokens {
		h, ok := v.table.holding(duty)
		if ok && h.Token == token && h.Holder == args.Name && h.Start == args.Start && !v.reassigning[duty] && !v.revoked[duty] {
			v.leasedAt[duty] = v.group.now()
			granted = append(granted, duty)
		}
	}
	slices.Sort(granted)
	return granted, nil
}

// commitEntry appends an entry to the raft log and returns the result, or the reason for a refusal.
func (v *voter) commitEntry(args EnterArgs) (reply EnterReply, err error) {
	term := v.leadingTerm()
	if term == 0 {
		return reply, errors.New(errNotLeader)
	}
	raw, err := json.Marshal(command{Term: term, Enter: &args})
	if err != nil {
		return reply, err
	}
	f := v.raft.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		return reply, fmt.Errorf("it is not known whether the entry was made: %w", err)
	}
	reply, ok := f.Response().(EnterReply)
	if !ok {
		return reply, errors.New("the term has changed: the entry was not made")
	}
	return reply, nil
}

// lastEntry returns a duty's entry, after it has made sure that no other voter leads.
func (v *voter) lastEntry(duty string) (Entry, error) {
	if v.leadingTerm() == 0 || v.raft.VerifyLeader().Error() != nil {
		hint, _ := v.leads()
		return Entry{}, errors.New(errNotLeader + hint)
	}
	return v.table.entry(duty), nil
}

// release makes duties that their holder has released free to be reassigned.
func (v *voter) release(given []Holding) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leadTerm == 0 {
		return errors.New(errNotLeader)
	}
	for _, r := range given {
		if h, ok := v.table.holding(r.Duty); ok && h == r {
			v.expireLease(r.Duty)
		}
	}
	return nil
}

// expireLease makes a duty due for reassignment at the next poll. The caller holds mu.
func (v *voter) expireLease(duty string) {
	v.revoked[duty] = true
	v.leasedAt[duty] = v.group.now() - v.group.reassignDelay()
}

// move reassigns a duty: at once if its holder confirms that it has ended it, and otherwise when its lease has
// run out.
func (v *voter) move(duty, to string) error {
	i := slices.IndexFunc(v.group.cfg.Duties, func(d Duty) bool { return d.Name == duty })
	if i < 0 {
		return fmt.Errorf("there is no duty %q", duty)
	}
	if to != "" && !slices.ContainsFunc(v.eligible(v.group.cfg.Duties[i]), func(c Candidate) bool { return c.Name == to }) {
		return fmt.Errorf("%q is not a candidate for duty %s", to, duty)
	}
	h, ok := v.table.holding(duty)
	if !ok {
		return fmt.Errorf("no process holds %s yet", duty)
	}
	if h.Holder == to {
		return nil
	}
	v.mu.Lock()
	if v.leadTerm == 0 {
		v.mu.Unlock()
		return errors.New(errNotLeader)
	}
	v.revoked[duty], v.wantedHolder[duty] = true, to
	v.mu.Unlock()
	if err := v.group.call(h.Holder, "Taken", h, &struct{}{}); err != nil {
		return nil // it is reassigned when the lease runs out
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if now, ok := v.table.holding(duty); ok && now == h && v.leadTerm != 0 {
		v.expireLease(duty)
	}
	return nil
}

// assignDuties makes sure that each duty has a holder that renews its lease, and checks the voters.
func (v *voter) assignDuties() {
	for _, d := range v.group.cfg.Duties {
		h, ok := v.table.holding(d.Name)
		v.mu.Lock()
		since := v.group.now() - v.leasedAt[d.Name]
		busy := v.reassigning[d.Name] || v.leadTerm == 0
		v.mu.Unlock()
		switch {
		case busy:
		case !ok || since >= v.group.reassignDelay():
			if h, ok := v.reassign(d, h); ok {
				v.notifyHolder(h)
			}
		case since > v.group.cfg.Lease/4:
			v.notifyHolder(h) // the first call may have failed
		}
	}
	if v.voterCheckDue() {
		v.reconcileVoters()
	}
}

// eligible returns the candidates that may hold a duty.
func (v *voter) eligible(d Duty) (all []Candidate) {
	for _, c := range v.group.cfg.Candidates() {
		if d.Zone == "" || d.Zone == c.Zone {
			all = append(all, c)
		}
	}
	return all
}

// reassign commits a new holder for a duty: the one named by a Move, or else the candidate with the fewest
// duties. The previous holder is chosen only if there is no other.
func (v *voter) reassign(d Duty, previous Holding) (h Holding, ok bool) {
	dutyCounts := make(map[string]int)
	for _, h := range v.table.sortedHoldings() {
		dutyCounts[h.Holder]++
	}
	v.mu.Lock()
	want, term := v.wantedHolder[d.Name], v.leadTerm
	v.mu.Unlock()
	rank := func(c Candidate) int {
		switch {
		case c.Name == want && want != "":
			return -1
		case c.Name == previous.Holder:
			return maxDuties + 1
		}
		return dutyCounts[c.Name]
	}
	candidates := v.eligible(d)
	if len(candidates) == 0 {
		return h, false
	}
	to := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a.Name, b.Name)) })
	raw, err := json.Marshal(command{Term: term, Duty: d.Name, Holder: to.Name, Start: to.Start, Base: uint64(time.Now().Unix()) << tokenIndexBits})
	if err != nil {
		panic(err) // can't happen: the fields are plain values
	}
	v.mu.Lock()
	now, _ := v.table.holding(d.Name)
	if v.leadTerm != term || term == 0 || now != previous {
		v.mu.Unlock()
		return h, false
	}
	v.reassigning[d.Name] = true // no lease is granted from here on
	v.mu.Unlock()
	f := v.raft.Apply(raw, applyTimeout)
	err = f.Error()
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil || v.leadTerm != term {
		v.leadTerm = 0 // it may have been entered or not: start leading again, after all entries are applied
		return h, false
	}
	if h, ok = f.Response().(Holding); !ok {
		v.leadTerm = 0
		return h, false
	}
	delete(v.reassigning, d.Name)
	delete(v.revoked, d.Name)
	delete(v.wantedHolder, d.Name)
	v.leasedAt[d.Name] = v.group.now()
	v.group.log.Info("duty", "goesTo", h.Holder, "duty", h.Duty, "token", h.Token, "from", previous.Holder)
	return h, true
}

// notifyHolder informs a holder in the background that it has a duty, unless such a call is under way.
// assignDuties repeats it until the holder renews its lease.
func (v *voter) notifyHolder(h Holding) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.notifying[h.Duty] {
		return
	}
	v.notifying[h.Duty] = true
	v.notifications.Go(func() {
		_ = v.group.call(h.Holder, "Given", h, &struct{}{})
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.notifying, h.Duty)
	})
}

// reconcileVoters adds voters that have a new id or whose name is new in the configuration, and removes those
// that it no longer names. It changes one voter at a time, so that a majority remains throughout.
func (v *voter) reconcileVoters() {
	f := v.raft.GetConfiguration()
	if f.Error() != nil {
		return
	}
	present := make(map[string]raft.ServerID)
	for _, s := range f.Configuration().Servers {
		present[processOf(s.ID)] = s.ID
		if !slices.Contains(v.group.cfg.Voters, processOf(s.ID)) {
			v.group.log.Warn("duties", "voterLeaves", s.ID)
			_ = v.raft.RemoveServer(s.ID, 0, applyTimeout).Error() // if it fails, the next check tries again
			return
		}
	}
	for _, name := range v.group.cfg.Voters {
		var status VoterStatus
		if name == v.group.cfg.Name || v.group.call(name, "Who", struct{}{}, &status) != nil || present[name] == raft.ServerID(status.ID) || !status.Fresh {
			continue
		}
		if old := present[name]; old != "" {
			v.group.log.Warn("duties", "voterLostDisk", name, "before", old, "now", status.ID)
			if v.raft.RemoveServer(old, 0, applyTimeout).Error() != nil {
				return
			}
		}
		_ = v.raft.AddVoter(raft.ServerID(status.ID), raft.ServerAddress(status.ID), 0, applyTimeout).Error() // if it fails, the next check tries again
		return
	}
}

// status returns what Who answers.
func (v *voter) status() VoterStatus { return VoterStatus{string(v.id), v.raft.LastIndex() == 0} }

// describe returns the table for Group.Table.
func (v *voter) describe() (Table, error) {
	t := Table{Leader: v.group.cfg.Name, Holdings: v.table.sortedHoldings(), Ages: make(map[string]time.Duration)}
	f := v.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return t, err
	}
	for _, s := range f.Configuration().Servers {
		t.Voters = append(t.Voters, string(s.ID))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for duty, at := range v.leasedAt {
		t.Ages[duty] = v.group.now() - at
	}
	return t, nil
}

// command is an entry of the raft log, as JSON.
type command struct {
	Term   uint64 `json:"term"` // the term in which it was decided; raft may append it in a later one, in which it has no effect
	Base   uint64 `json:"base"` // base of all tokens; only that of the first command counts
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`

	Enter *EnterArgs `json:"enter,omitempty"` // an entry to be made, instead of a new holder; programs that know no entries ignore such a command
}

// table is the state machine of the raft log.
type table struct {
	mu        sync.Mutex
	tokenBase uint64 // tokens are this plus the index of their log entry; 0: no duty was assigned yet
	holdings  map[string]Holding
	entries   map[string]Entry
}

func newTable() *table {
	return &table{holdings: make(map[string]Holding), entries: make(map[string]Entry)}
}

// Apply implements raft.FSM. It returns the new Holding or the EnterReply, or nil for a command that has no
// effect.
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
	if t.tokenBase == 0 {
		t.tokenBase = c.Base
	}
	if _, ok := t.holdings[c.Duty]; !ok && len(t.holdings) >= maxDuties {
		return nil
	}
	h := Holding{Duty: c.Duty, Holder: c.Holder, Start: c.Start, Token: t.tokenBase + l.Index}
	t.holdings[c.Duty] = h
	return h
}

// holding returns the row of a duty, if it has been assigned.
func (t *table) holding(duty string) (Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.holdings[duty]
	return h, ok
}

// entry returns the last entry under a duty.
func (t *table) entry(duty string) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[duty]
}

// sortedHoldings returns the holdings in order of their duties' names.
func (t *table) sortedHoldings() (all []Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holdings {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Holding) int { return cmp.Compare(a.Duty, b.Duty) })
	return all
}

// tableSnapshot is the stored form of the table in a snapshot.
type tableSnapshot struct {
	Base     uint64           `json:"base"`
	Holdings []Holding        `json:"holdings"`
	Entries  map[string]Entry `json:"entries,omitempty"`
}

// Snapshot implements raft.FSM.
func (t *table) Snapshot() (raft.FSMSnapshot, error) {
	s := &tableSnapshot{Holdings: t.sortedHoldings()}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Base, s.Entries = t.tokenBase, maps.Clone(t.entries)
	return s, nil
}

// Persist implements raft.FSMSnapshot.
func (s *tableSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s *tableSnapshot) Release() {}

// Restore implements raft.FSM.
func (t *table) Restore(r io.ReadCloser) error {
	defer r.Close()
	var s tableSnapshot
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokenBase, t.holdings = s.Base, make(map[string]Holding)
	for _, h := range s.Holdings {
		t.holdings[h.Duty] = h
	}
	t.entries = make(map[string]Entry)
	maps.Copy(t.entries, s.Entries)
	return nil
}

// streamLayer is the raft.StreamLayer between voters. Each stream begins with the id of the voter that it is
// for: a process that has lost its disk has a new id and must not be mistaken for the voter that it was before.
type streamLayer struct {
	transport Transport
	id        raft.ServerID
	inner     net.Listener
	accepted  chan net.Conn // streams that begin with this voter's id
	done      chan struct{}
	once      sync.Once
}

// newStreamLayer starts to accept streams for the voter of that id.
func newStreamLayer(w Transport, id raft.ServerID) *streamLayer {
	l := &streamLayer{transport: w, id: id, inner: w.Listen(RaftStream), accepted: make(chan net.Conn), done: make(chan struct{})}
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

// admit reads the id at the start of a stream and passes the stream to Accept if the id is this voter's.
func (l *streamLayer) admit(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(callTimeout)) // an error means that c is closed, which reading reports too
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
	case l.accepted <- c:
	case <-l.done:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamLayer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.inner.Close()
}

// Addr implements net.Listener. The address of a voter is its id.
func (l *streamLayer) Addr() net.Addr { return voterAddr(l.id) }

// voterAddr is a voter's id as a net.Addr.
type voterAddr string

func (a voterAddr) Network() string { return "voter" }
func (a voterAddr) String() string  { return string(a) }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := l.transport.Dial(processOf(raft.ServerID(to)), RaftStream, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout)) // an error means that c is closed, which writing reports too
	if _, err := c.Write(append([]byte{byte(len(to))}, to...)); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}
