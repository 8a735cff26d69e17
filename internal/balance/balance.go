// Package balance is the vocabulary that the decision module and the programs that embed it share: the settings a
// module starts with, the events that it is told, and the actions that it asks for. It decides nothing; package
// policy does.
package balance

import "time"

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// ServerID names a server; it stays the same when the server restarts.
type ServerID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects of a class.
const (
	Safe   Idempotency = iota // may be repeated and refused at will
	Keyed                     // repeats are dropped within a group of servers, for a while
	Unsafe                    // must never run twice
)

// Scope is the group of servers that drops repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim         time.Duration // answers within this earn full worth
	AimStretch  float64       // the aim grows by this multiple of the request's expected work
	Deadline    time.Duration // the client's whole wait, over all its tries
	LateShare   float64       // share of the worth that an answer after the aim still earns
	Worth       float64
	Idempotency Idempotency
	Scope       Scope         // keyed only
	DedupWindow time.Duration // keyed only: how long repeats are dropped, from the first send on
	InOrder     bool          // requests of such classes that share a Request.Key run one at a time, in order
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, set against the other tenants' shares
	Quota float64 // requests a second within its share over all balancers; 0 where unknown
}

// RetryBudget limits attempts after each request's first: within any Span they number at most
// Free plus Share for each request taken in that Span.
type RetryBudget struct {
	Span  time.Duration // 0: no limit
	Free  float64
	Share float64
}

// Config holds the settings a Balancer starts with; it does not change them.
type Config struct {
	Balancers int // balancers that send to the same servers, this one included; until Balancer.SetFleet tells otherwise
	Index     int // this balancer's number among them, from 0
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: then there is one compartment

	Slots int // slots of this balancer over all compartments; 0 derives them from the rest

	MaxAttempts        int           // attempts for one request at most
	MayCancel          bool          // Host.Cancel may be used
	MayProbe           bool          // Host.Probe may be used
	MaxRetryAfter      time.Duration // the longest pause that clients heed
	ClientsMarkRetries bool          // clients mark their own further tries: Request.ClientRetry

	Budget      RetryBudget   // the zero value: no limit
	OrderSettle time.Duration // a key rests this long after an attempt that may still be running
	CloseWithin time.Duration // idle connections to a draining server are closed this soon; 0: left alone

	Tick time.Duration // events come at most this often

	AskList   bool          // the server list must be asked for
	AskWithin time.Duration // without asking this long, a change counts as told; 0: not known

	ColdFrom     float64       // a server starts with at least this share of its capacity
	ColdTime     time.Duration // and has all of it after this
	ColdMultiple float64       // sent more than this multiple of what it can do at that moment, it falls over

	Reports LoadFields // what servers' load reports hold

	CrossZonePrice float64 // price of an attempt that leaves the zone, against a worth of 1
}

// State is what the server list says of a server.
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
	Cell    int // servers of one cell share the keys they have seen
	State   State
	Weight  float64       // nominal size, set against the other servers' weights
	Started time.Duration // time of its last start; 0 means long ago
}

// ListKind says how the entries of a list event apply.
type ListKind int

// The kinds of list events.
const (
	ListFull   ListKind = iota // all servers; one that is absent has left
	ListDelta                  // only changed entries
	ListCached                 // all servers as last known, maybe old
	ListFailed                 // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64        // what it is about; 0: nothing in particular
	TimeLeft    time.Duration // until the client gives up
	Work        time.Duration // expected work; 0 where unknown
	ClientRetry bool          // known to be a client's own further try
	BodyPending bool          // its body still comes: its time begins with BodyEnded
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt. TurnedAway, NoConnection and NotSent prove that
// it never ran; every other one but Served means that it may have run, and so
// does a value not listed here.
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

// Outcome is the end of one attempt.
type Outcome struct {
	ID        RequestID
	Attempt   int // numbered from 0 in the order of Host.Send for this request
	Ending    Ending
	Settled   bool // the request is over; nothing more is owed for it
	BodySpent bool // the request can't be sent again: part of its body is gone
	Load      Load // the server's report, where one came along
}

// LoadFields is a set of the fields of a Load.
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

// Load is what a server reports of itself. The zero value is no report at all.
type Load struct {
	Has      LoadFields    // the fields that hold; the others are unknown
	InFlight float64       // requests it holds
	Queued   float64       // of these, requests that wait
	Busy     float64       // share of its cores that is busy
	Service  time.Duration // its usual time for a request of late, without waiting
	Served   float64       // requests served a second
	Errors   float64       // errors a second
}

// Learned is what a Balancer has found out, for another that takes its place: a process that starts again.
type Learned struct {
	At      time.Duration // when it was so
	Rate    float64       // requests a second, lately
	Servers []LearnedServer
}

// LearnedServer is a server of which there is something to tell.
type LearnedServer struct {
	ID           ServerID
	Failures     int           // attempts that failed lately
	SilentSince  time.Duration // it has not answered since; 0: it has
	WarmAt       time.Duration // cold until then
	LatencyRatio float64       // time that its answers take, against the usual; failures count too
}

// Fleet is who else sends to the same servers, as far as that is known.
type Fleet struct {
	Present int  // balancers that are present, this one included
	Silent  int  // lost without a word: they may have ended, or be cut off and still send
	Agreed  bool // all that can be reached see the same

	// Sharers are those that have told their traffic, this one included, in an order that is the same at all of them.
	// Where it is not among them, it keeps to an arc of the servers that its own traffic gives. The slice is the
	// Balancer's from then on.
	Sharers []Sharer
}

// Sharer is one of the balancers that send to the same servers, as it has told the others.
type Sharer struct {
	Index int     // its Config.Index
	Zone  int     // and Config.Zone
	Rate  float64 // requests a second; one that is no number above 0 counts for nothing
}

// Host carries out what the Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout. Its last byte may go out within
	// unsent from now, and nothing of it later, however late its connection comes up: an attempt that can't keep to
	// that ends as one that never ran. 0: the time-out alone bounds it.
	Send(id RequestID, to ServerID, timeout, unsent time.Duration)
	// Refuse ends a request; trying again is harmless, best after the pause. why is for the log.
	Refuse(id RequestID, pause time.Duration, why Reason)
	// Fail ends a request with no promise about its effect. why is for the log.
	Fail(id RequestID, why Reason)
	// Cancel calls off one attempt, as far as Config.MayCancel allows; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Withdraw calls off an attempt of which nothing has been written yet: its Outcome is NotSent. One that is being
	// written, or was, goes on. It takes back no work from a server, so Config.MayCancel does not bind it.
	Withdraw(id RequestID, attempt int)
	// Wake asks for a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// Close closes the idle connections to a server.
	CloseIdle(to ServerID)
	// Probe asks a server for a load report; Balancer.Probed brings it.
	Probe(to ServerID)
	// WatchList subscribes to the server list; Balancer.UpdateServers brings changes.
	WatchList()
	// Log writes a line for the people on call.
	Log(line string)
}

// Counters tell what a Balancer did since it was made.
type Counters struct {
	Ordinary  uint64 // first sends by the ordinary path: a slot, and the server whose turn it was
	Walled    uint64 // sends moved on because a server held its portion
	Held      uint64 // times that a request with a slot free was held back, as all servers were crowded
	NoSlot    uint64 // times that one found its tenant's slots full
	NoServer  uint64 // times that one with a slot free found no server that may have it: portions, rests, cold ones
	Throttled uint64 // requests refused at once, as too few were lately answered in time
	Crossed   uint64 // sends of any kind to another zone, where that has a price
	Retries   uint64 // further attempts after one that failed
	Late      uint64 // clients' later tries refused as their aim was gone
	Queued    uint64 // requests that had to wait for a slot or a server
	Refused   uint64
	Failed    uint64
	Slow      uint64 // attempts that went at their client's pace: a long body, or a long answer
	SlowFull  uint64 // and those of them that held a slot, as no place beside was free
}
