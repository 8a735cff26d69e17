package balance

// Reason is why a Balancer refused or failed a request, for logs and counters.
type Reason int

// The reasons of refusals and failures.
const (
	Unusable       Reason = iota // it has no valid class or tenant, or no time left on arrival
	AdmissionLimit               // too few recent requests were answered in time
	QueueFull                    // all slots and queue places of its tenant are in use
	OutOfTime                    // no response can be in time any more
	NoAttemptLeft                // its attempts failed, and no retry is allowed
	BodySpent                    // its attempt failed, and its body can't be sent again
	reasonCount                  // the number of reasons
)

var reasonNames = [reasonCount]string{"unusable", "admission_limit", "queue_full", "out_of_time", "no_attempt_left", "body_spent"}

// String returns the reason's name in logs and counters.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns all reasons, in order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

var endingNames = [...]string{
	Served: "served", Errored: "errored", TurnedAway: "turned_away", TimedOut: "timed_out", NoConnection: "no_connection",
	Broken: "broken", Cancelled: "cancelled", NotSent: "not_sent",
}

// String returns the ending's name in logs and counters.
func (e Ending) String() string {
	if e < 0 || int(e) >= len(endingNames) {
		return "unknown"
	}
	return endingNames[e]
}
