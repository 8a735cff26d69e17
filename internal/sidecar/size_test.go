package sidecar

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/world"
	"arrowgw/policy"
)

// listSizes are the numbers of servers of one service, of a small fleet, and of the whole fleet at its planned size
// and at twice that size.
var listSizes = []int{world.PlannedFleet.Sidecars / world.PlannedFleet.Services, 200, world.PlannedFleet.Sidecars, 2 * world.PlannedFleet.Sidecars}

// wholeList returns a whole list in discovery's JSON.
func wholeList(tb testing.TB, servers int) []byte {
	type entry struct {
		InstanceID  string  `json:"instanceId"`
		HostPort    string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		MachineType string  `json:"machineType"`
		Cell        int     `json:"cell"`
		Lifecycle   string  `json:"lifecycle"`
		Weight      float64 `json:"weight"`
		StartedAtMs int64   `json:"startedAtMs"`
	}
	all := make([]entry, servers)
	for i := range all {
		all[i] = entry{fmt.Sprintf("s-%08x", 0x5be2a07c+i), fmt.Sprintf("10.%d.%d.%d:8080", 1+i/16384, i/128%128, 1+i%128), fmt.Sprintf("z%d", i%world.PlannedFleet.Zones),
			"m2", i / 34, "ready", 1, 1_790_000_000_000 + int64(i)}
	}
	raw, err := json.Marshal(map[string]any{"generation": 41, "reset": true, "instances": all})
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// heapGrowth returns how many bytes of heap the result of build occupies.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkWholeList measures the parsing of a whole list, the list's size, and the memory that its result takes per
// server.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range listSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := wholeList(b, n)
			kept := heapGrowth(func() any {
				l, err := parseListing(raw, nil)
				if err != nil || len(l.servers) != n {
					b.Fatal(len(l.servers), err)
				}
				return l
			})
			for b.Loop() {
				if _, err := parseListing(raw, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes")
			b.ReportMetric(kept/float64(n), "kept-bytes/server")
		})
	}
}

// countingHost is a policy host that only counts the attempts it is asked to send.
type countingHost struct{ sent int }

// Send implements balance.Host; the other methods do nothing.
func (s *countingHost) Send(balance.RequestID, balance.ServerID, time.Duration, time.Duration) {
	s.sent++
}
func (*countingHost) Refuse(balance.RequestID, time.Duration, balance.Reason) {}
func (*countingHost) Fail(balance.RequestID, balance.Reason)                  {}
func (*countingHost) Cancel(balance.RequestID, int)                           {}
func (*countingHost) Withdraw(balance.RequestID, int)                         {}
func (*countingHost) Wake(time.Duration)                                      {}
func (*countingHost) CloseIdle(balance.ServerID)                              {}
func (*countingHost) Probe(balance.ServerID)                                  {}
func (*countingHost) WatchList()                                              {}
func (*countingHost) Log(string)                                              {}

// BenchmarkModuleBySize measures how the decision module handles a whole list, a change of one server, and requests
// at the planned rate.
func BenchmarkModuleBySize(b *testing.B) {
	cfg := balance.Config{
		Balancers: world.PlannedFleet.Sidecars, MaxAttempts: 3, MaxRetryAfter: time.Second, ColdFrom: 0.2, ColdTime: 10 * time.Second, ColdMultiple: 4,
		Classes: []balance.Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}},
	}
	for _, n := range listSizes {
		l, err := parseListing(wholeList(b, n), nil)
		if err != nil {
			b.Fatal(err)
		}
		begin := func() (*policy.Balancer, *countingHost) {
			host := new(countingHost)
			m, err := policy.New(cfg, 1, host)
			if err != nil {
				b.Fatal(err)
			}
			m.Start(0)
			m.UpdateServers(0, balance.ListFull, l.servers)
			return m, host
		}
		b.Run(fmt.Sprintf("%d/list", n), func(b *testing.B) {
			kept := heapGrowth(func() any { m, _ := begin(); return m })
			m, _ := begin()
			for b.Loop() {
				m.UpdateServers(0, balance.ListFull, l.servers)
			}
			b.ReportMetric(kept/float64(n), "kept-bytes/server")
		})
		b.Run(fmt.Sprintf("%d/change", n), func(b *testing.B) {
			m, _ := begin()
			for i := 0; b.Loop(); i++ {
				s := l.servers[i/2%n]
				s.State = []balance.State{balance.Draining, balance.Ready}[i%2]
				m.UpdateServers(0, balance.ListDelta, []balance.Server{s})
			}
		})
		b.Run(fmt.Sprintf("%d/request", n), func(b *testing.B) {
			m, host := begin()
			gap, now, id := time.Duration(float64(time.Second)*float64(world.PlannedFleet.Sidecars)/world.PlannedFleet.CallsPerSec), time.Duration(0), balance.RequestID(0)
			for b.Loop() {
				now += gap
				id++
				m.Request(now, balance.Request{ID: id, TimeLeft: 3 * time.Second})
				m.Outcome(now+time.Millisecond, balance.Outcome{ID: id, Ending: balance.Served, Settled: true})
				m.Wake(now + 2*time.Millisecond)
			}
			if host.sent == 0 {
				b.Fatal("nothing was sent")
			}
		})
	}
}
