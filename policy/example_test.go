package policy_test

import (
	"fmt"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/policy"
)

// sidecar is the host: it carries out the Balancer's decisions.
type sidecar struct{}

func (sidecar) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	fmt.Printf("send request %d, for at most %v\n", id, timeout)
}
func (sidecar) Refuse(id balance.RequestID, pause time.Duration, _ balance.Reason) {
	fmt.Printf("refuse request %d\n", id)
}
func (sidecar) Fail(id balance.RequestID, _ balance.Reason) { fmt.Printf("fail request %d\n", id) }
func (sidecar) Cancel(id balance.RequestID, attempt int)    {}
func (sidecar) Withdraw(id balance.RequestID, attempt int)  {}
func (sidecar) Wake(d time.Duration)                        {} // call b.Wake after d
func (sidecar) CloseIdle(to balance.ServerID)               {}
func (sidecar) Probe(to balance.ServerID)                   {}
func (sidecar) WatchList()                                  {}
func (sidecar) Log(line string)                             { fmt.Println(line) }

func Example() {
	b, err := policy.New(balance.Config{
		Balancers:   1,
		MaxAttempts: 2,
		Slots:       1,
		Classes:     []balance.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Idempotency: balance.Unsafe}},
	}, 42, sidecar{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // time since any fixed moment
	b.Start(now)
	b.UpdateServers(now, balance.ListFull, []balance.Server{{ID: 7, State: balance.Ready, Weight: 1}})
	for id := range balance.RequestID(3) { // one slot, one queue place: the third is refused
		b.Request(now, balance.Request{ID: id, TimeLeft: 2 * time.Second})
	}
	now += 80 * time.Millisecond
	b.Outcome(now, balance.Outcome{ID: 0, Attempt: 0, Ending: balance.Served, Settled: true})
	// Output:
	// send request 0, for at most 1s
	// refuse request 2
	// send request 1, for at most 920ms
}
