// Package balance defines the vocabulary that the decision module (package policy) shares with the programs that
// embed it: the settings that a Balancer starts with, the events it receives and the actions it requests. The package
// makes no decisions itself.
package balance

import "time"

// RequestID identifies a request. The host chooses it and never uses one twice.
type RequestID uint64

// ServerID identifies a server. It stays the same when the server restarts.
type ServerID uint64

// Idempotency states whether the requests of a class may be repeated.
type Idempotency int

// The kinds of idempotency.
const (
	Safe   Idempotency = iota // may be repeated and refused at will
	Keyed                     // servers of one Scope drop repeats for the time of Class.DedupWindow
	Unsafe                    // must never run twice
)

// Scope is the group of servers within which repeats of a keyed request are dropped.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	Aim         time.Duration // latency target: answers within it earn the full worth
	AimStretch  float64       // the aim grows by this multiple of the request's expected work
	Deadline    time.Duration // total time that the client waits, over all its tries
	LateShare   float64       // share of the worth that an answer after the aim still earns
	Worth       float64       // value of a timely answer, relative to the other classes
	Idempotency Idempotency
	Scope       Scope         // keyed classes only
	DedupWindow time.Duration // keyed classes only: how long after the first send servers drop repeats
	InOrder     bool          // requests with the same Request.Key run one at a time, in order of arrival
}

// Tenant is one customer of the service.
type Tenant struct {
	Share float64 // share of the service, relative to the other tenants' shares
	Quota float64 // requests per second that its share allows over all balancers; 0: unknown
}

// RetryBudget limits the retries, that is attempts after the first one of a request. Within any period of
// length Span there are at most Free retries plus Share for each request received in that period.
type RetryBudget struct {
	Span  time.Duration // 0: no limit
	Free  float64
	Share float64
}

// Config holds the settings that a Balancer starts with. The Balancer does not change them.
type Config struct {
	Balancers int // balancers that send to the same servers, including this one; Balancer.SetFleet updates the number
	Index     int // this balancer's number among them, from 0
	Zone      int // the zone that this balancer runs in
	Classes   []Class
	Tenants   []Tenant // empty: a single compartment holds all requests

	Slots int // slots of this balancer over all compartments; 0: derived from the other settings

	MaxAttempts        int           // maximum number of attempts for one request
	MayCancel          bool          // Host.Cancel may be used
	MayProbe           bool          // Host.Probe may be used
	MaxRetryAfter      time.Duration // longest retry delay that clients respect
	ClientsMarkRetries bool          // clients mark their own retries, see Request.ClientRetry

	Budget      RetryBudget   // the zero value: no limit
	OrderSettle time.Duration // a key's next request waits this long after an attempt that may still be running
	CloseWithin time.Duration // idle connections to a draining server are closed within this time; 0: left open

	Tick time.Duration // the host delivers events at most this often

	AskList   bool          // the host sends the server list only after Host.WatchList
	AskWithin time.Duration // without a call of Host.WatchList for this long, list changes count as received; 0: unknown

	ColdFrom     float64       // share of its capacity that a server has at least when it starts
	ColdTime     time.Duration // time from its start until a server has its full capacity
	ColdMultiple float64       // multiple of its present capacity above which a starting server is overloaded

	Reports LoadFields // the fields that servers' load reports contain

	CrossZonePrice float64 // price of an attempt that leaves the zone, relative to a worth of 1
}

// State is a server's state in the server list.
type State int

// The states of a server.
const (
	Gone State = iota
	Draining
	Ready
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    int
	Cell    int // servers of one cell share the idempotency keys they have seen
	State   State
	Weight  float64       // nominal capacity, relative to the other servers' weights
	Started time.Duration // time of the last start; 0: long ago
}

// ListKind states how the entries of a server list event apply.
type ListKind int

// The kinds of server list events.
const (
	ListFull   ListKind = iota // all servers; a server that is absent is gone
	ListDelta                  // only the entries that changed
	ListCached                 // all servers as last known; the list may be outdated
	ListFailed                 // the call failed or the subscription broke; there are no entries
)

// Request is one client request.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64        // the object that the request concerns, for ordered classes; 0: none
	TimeLeft    time.Duration // time until the client's deadline
	Work        time.Duration // expected work; 0: unknown
	ClientRetry bool          // known to be the client's own retry of an earlier request
	BodyPending bool          // the body is still being received; TimeLeft starts with Balancer.BodyEnded
}

// Ending states how an attempt ended.
type Ending int

// The endings of an attempt. TurnedAway, NoConnection and NotSent prove that the request never ran on the server.
// Any other ending except Served means that it may have run, and so does a value not listed here.
const (
	Served Ending = iota
	Errored
	TurnedAway
	TimedOut
	NoConnection
	Broken
	Cancelled
	NotSent
)

// Outcome is the result of one attempt.
type Outcome struct {
	ID        RequestID
	Attempt   int // numbered from 0, in the order of the calls of Host.Send for this request
	Ending    Ending
	Settled   bool // the client has its answer or has left; the request needs no further attempt
	BodySpent bool // part of the request body is no longer held, so the request can't be sent again
	Load      Load // the load report in the response, if any
}

// LoadFields is a set of fields of Load.
type LoadFields uint8

// The fields of a Load.
const (
	HasInFlight LoadFields = 1 << iota
	HasQueued
	HasBusy
	HasService
	HasServed
	HasErrors
)

// Load is a load report of a server. The zero value means that there is none.
type Load struct {
	Has      LoadFields    // the fields that are set; the others are unknown
	InFlight float64       // requests that the server holds
	Queued   float64       // how many of these are waiting
	Busy     float64       // share of its cores that is busy
	Service  time.Duration // recent typical service time of its requests, without time in queues
	Served   float64       // requests served per second
	Errors   float64       // errors per second
}

// Learned is what a Balancer has measured, kept for its successor when the process restarts.
type Learned struct {
	At      time.Duration // time of the measurement
	Rate    float64       // recent requests per second
	Servers []LearnedServer
}

// LearnedServer is the measured health of one server that has failed, is slow or is still cold.
type LearnedServer struct {
	ID           ServerID
	Failures     int           // recent failed attempts
	SilentSince  time.Duration // it has not answered since this time; 0: it is not silent
	WarmAt       time.Duration // time at which its cold start ends
	LatencyRatio float64       // ratio of its latency to the typical one; failures raise it too
}

// Fleet describes the balancers that send to the same servers, as far as membership knows them.
type Fleet struct {
	Present int  // balancers that are present, including this one
	Silent  int  // members that went silent without leaving: they may have ended, or be partitioned and still sending
	Agreed  bool // all reachable members have the same view

	// Sharers are the balancers that have announced their traffic, including this one, in the same order at all of
	// them. A balancer that is not among them sizes its server subset by its own traffic only. The Balancer owns the
	// slice after the call.
	Sharers []Sharer
}

// Sharer is the announced traffic of one of the balancers that send to the same servers.
type Sharer struct {
	Index int     // its Config.Index
	Zone  int     // its Config.Zone
	Rate  float64 // requests per second; a value that is not a number above 0 is ignored
}

// Host carries out what the Balancer decides. Its methods must not call the Balancer.
type Host interface {
	// Send starts the next attempt of a request, which times out after timeout. No byte of it may be written later
	// than sendWithin from now, even if its connection takes longer; an attempt that can't comply ends as one that
	// never ran. A sendWithin of 0 sets no limit other than timeout.
	Send(id RequestID, to ServerID, timeout, sendWithin time.Duration)
	// Refuse ends a request that its client may safely retry, preferably after retryAfter. The reason is for the log.
	Refuse(id RequestID, retryAfter time.Duration, reason Reason)
	// Fail ends a request that may have had an effect. The reason is for the log.
	Fail(id RequestID, reason Reason)
	// Cancel cancels one attempt, if Config.MayCancel is set. Its Outcome is still delivered.
	Cancel(id RequestID, attempt int)
	// Withdraw cancels an attempt of which nothing has been written yet; its Outcome is NotSent. An attempt that has
	// been written, even in part, continues. No server loses work that it has begun, so Config.MayCancel does not apply.
	Withdraw(id RequestID, attempt int)
	// Wake requests a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(to ServerID)
	// Probe requests a load report from a server. Balancer.Probed receives the result.
	Probe(to ServerID)
	// WatchList subscribes to the server list. Balancer.UpdateServers receives the changes.
	WatchList()
	// Log writes a line for the operators.
	Log(line string)
}

// Counters count what a Balancer has done since it was created.
type Counters struct {
	Ordinary  uint64 // first attempts that went to the server whose round-robin turn it was
	Walled    uint64 // attempts that skipped the server whose turn it was, as it had reached its concurrency limit
	Held      uint64 // times that a request was held back by the limit over all attempts, as servers were congested
	NoSlot    uint64 // times that all slots of a request's tenant were in use
	NoServer  uint64 // times that a slot was free but no server was eligible (limits, ejections, cold servers)
	Throttled uint64 // requests refused on arrival by the admission throttle
	Crossed   uint64 // attempts of any kind sent to another zone, if that has a price
	Retries   uint64 // attempts after the first one of a request
	Late      uint64 // clients' retries refused because their aim could no longer be met
	Queued    uint64 // requests that had to wait for a slot or a server
	Refused   uint64
	Failed    uint64
	Slow      uint64 // client-paced attempts: a long request body or a long response
	SlowFull  uint64 // client-paced attempts that held a slot, as all client-paced places were taken
}
