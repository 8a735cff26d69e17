// Simhost runs the policy module against the simulator. It speaks the
// simulator's binary protocol on standard input and output, and hosts many
// instances, each with its own policy.Balancer. It makes no decisions itself.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
	"arrowgw/policy"
)

func main() {
	// Batches are answered one at a time, so more threads only add cost. The
	// heap is small, so rare collections are cheap and keep the time per batch even.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers the batches read from in until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := newHost()
	r := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		b, err := r.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Begin(b.Number)
		if err := h.handleBatch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host holds the instances of this process and what they share: the server
// lists by page number, and the reply being built.
type host struct {
	reply       wire.Reply
	serverLists map[uint16][]balance.Server
	instances   map[uint32]*instance
}

func newHost() *host {
	return &host{serverLists: make(map[uint16][]balance.Server), instances: make(map[uint32]*instance)}
}

// instance is one simulated sidecar. It implements the policy's host interface
// by writing actions to the reply.
type instance struct {
	host        *host
	number      uint32
	loadColumns wire.Columns
	balancer    *policy.Balancer
	nextLogAt   time.Duration // when the counters are next written to the log
}

// counterLogInterval is the interval at which an instance logs its counters.
const counterLogInterval = 10 * time.Second

// Send writes a CallOut. In this protocol an attempt counts as sent as soon as its CallOut is written, before its
// connection is established, so the limit on the time until the attempt is sent is always met and is ignored here. The CallOut's
// patience_ms could not express that limit, as it also ends the wait for the answer.
func (i *instance) Send(id balance.RequestID, to balance.ServerID, timeout, _ time.Duration) {
	i.host.reply.CallOut(i.number, uint32(id), wire.Upstream(to), timeout)
}

// Refuse writes a PushBack. The protocol has no field for the reason.
func (i *instance) Refuse(id balance.RequestID, pause time.Duration, _ balance.Reason) {
	i.host.reply.PushBack(i.number, uint32(id), pause)
}

// Fail writes a Lose. The protocol has no field for the reason.
func (i *instance) Fail(id balance.RequestID, _ balance.Reason) {
	i.host.reply.Lose(i.number, uint32(id))
}

// Cancel writes a Recall.
func (i *instance) Cancel(id balance.RequestID, attempt int) {
	i.host.reply.Recall(i.number, uint32(id), uint8(attempt))
}

// Withdraw does nothing: an attempt counts as sent once its CallOut is written, so it can't be withdrawn.
func (i *instance) Withdraw(balance.RequestID, int) {}

// Wake, Probe, CloseIdle, WatchList and Log write the action that matches the call.

func (i *instance) Wake(d time.Duration)          { i.host.reply.SetAlarm(i.number, d, 0) }
func (i *instance) Probe(to balance.ServerID)     { i.host.reply.Inspect(i.number, wire.Upstream(to)) }
func (i *instance) CloseIdle(to balance.ServerID) { i.host.reply.Release(i.number, wire.Upstream(to)) }
func (i *instance) WatchList()                    { i.host.reply.Tail(i.number, true) }
func (i *instance) Log(line string)               { i.host.reply.WriteLog(i.number, line) }

// handleBatch passes the events of a batch to their instances, in order.
func (h *host) handleBatch(b wire.Batch) error {
	body := b.Body
	for range b.Records {
		rec, rest, err := wire.Next(body)
		if err != nil {
			return err
		}
		body = rest
		if err := h.handleRecord(b.Clock, rec); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d bytes left after the last record", len(body))
	}
	return nil
}

// handleRecord handles one event at the time now. It ignores unknown events and events for instances that do not run.
func (h *host) handleRecord(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvManifest:
		page, entries, err := rec.Manifest()
		if err != nil {
			return err
		}
		h.serverLists[page] = serversFrom(entries)
		return nil
	case wire.EvOpenInstance, wire.EvCrashNow, wire.EvFleet, wire.EvAsk, wire.EvFinished, wire.EvWake,
		wire.EvClientLeft, wire.EvHeaders, wire.EvCheckResult:
	default:
		return nil // a code of a later protocol version, or one that the policy does not use
	}
	number, err := rec.Instance()
	if err != nil {
		return err
	}
	switch rec.Code {
	case wire.EvOpenInstance:
		return h.openInstance(now, number, rec)
	case wire.EvCrashNow:
		delete(h.instances, number)
		return nil
	}
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil // not running
	}
	return i.handleEvent(now, rec)
}

// openInstance starts an instance, in place of any earlier one of the same number.
func (h *host) openInstance(now time.Duration, number uint32, rec wire.Record) error {
	seed, info, err := rec.OpenInstance()
	if err != nil {
		return err
	}
	s, err := wire.ParseSettings(info)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.Config()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, loadColumns: s.Columns()}
	h.instances[number] = i
	return i.recoverPanic(func() error {
		b, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.balancer = b
		b.Start(now)
		return nil
	})
}

// recoverPanic runs f. If f panics it reports that with a Die action, and the instance stops running.
func (i *instance) recoverPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.host.reply.Die(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// handleEvent passes one event to the instance's Balancer, and logs the counters when they are due.
func (i *instance) handleEvent(now time.Duration, rec wire.Record) error {
	if now >= i.nextLogAt {
		if i.nextLogAt > 0 { // at the first event all counters are zero
			i.Log(fmt.Sprintf("counters %+v", i.balancer.Counters()))
		}
		i.nextLogAt = now + counterLogInterval
	}
	return i.recoverPanic(func() error { return i.dispatch(now, rec) })
}

// dispatch decodes an event and calls the Balancer's method for it.
func (i *instance) dispatch(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvAsk:
		a, err := rec.Ask()
		if err != nil {
			return err
		}
		r := balance.Request{ID: balance.RequestID(a.Job), Class: int(a.Kind), Tenant: int(a.Tenant), TimeLeft: a.Left}
		r.Key = a.Key
		r.ClientRetry = a.Bits&wire.BitRepeat != 0
		if a.Bits&wire.BitHint != 0 {
			r.Work = a.Hint
		}
		i.balancer.Request(now, r)
	case wire.EvFinished:
		f, err := rec.Finished()
		if err != nil {
			return err
		}
		i.balancer.Outcome(now, balance.Outcome{
			ID: balance.RequestID(f.Job), Attempt: int(f.Hop), Ending: endingFor(f.Ending), Settled: f.Settled,
			Load: i.loadColumns.Load(f.Pressure),
		})
	case wire.EvWake:
		i.balancer.Wake(now)
	case wire.EvClientLeft:
		job, err := rec.Job()
		if err != nil {
			return err
		}
		i.balancer.ClientGone(now, balance.RequestID(job))
	case wire.EvHeaders:
		job, hop, err := rec.Headers()
		if err != nil {
			return err
		}
		i.balancer.StreamStarted(now, balance.RequestID(job), int(hop))
	case wire.EvCheckResult:
		up, end, report, err := rec.CheckResult()
		if err != nil {
			return err
		}
		i.balancer.Probed(now, balance.ServerID(up), end == wire.EndServed, i.loadColumns.Load(report))
	case wire.EvFleet:
		kind, _, page, err := rec.Fleet()
		if err != nil {
			return err
		}
		return i.updateList(now, kind, page)
	}
	return nil
}

// updateList passes a Fleet event to the Balancer: the server list of a page, or that discovery failed.
func (i *instance) updateList(now time.Duration, kind uint8, page uint16) error {
	var k balance.ListKind
	switch kind {
	case wire.FleetFull:
		k = balance.ListFull
	case wire.FleetDelta:
		k = balance.ListDelta
	case wire.FleetCached:
		k = balance.ListCached
	case wire.FleetFailed:
		i.balancer.UpdateServers(now, balance.ListFailed, nil)
		return nil
	default:
		return nil // a kind of a later version
	}
	list, ok := i.host.serverLists[page]
	if !ok {
		return fmt.Errorf("instance %d: unknown server list %d", i.number, page)
	}
	i.balancer.UpdateServers(now, k, list)
	return nil
}

// endingFor converts a protocol outcome code.
func endingFor(code uint16) balance.Ending {
	switch code {
	case wire.EndServed:
		return balance.Served
	case wire.EndTurnedAway:
		return balance.TurnedAway
	case wire.EndTimedOut:
		return balance.TimedOut
	case wire.EndNoConnection:
		return balance.NoConnection
	case wire.EndBroken:
		return balance.Broken
	case wire.EndCancelled:
		return balance.Cancelled
	case wire.EndNotSent:
		return balance.NotSent
	}
	return balance.Errored // the request may have been executed; so may one with an unknown outcome
}

// serversFrom converts the entries of a server list.
func serversFrom(entries []wire.Entry) []balance.Server {
	list := make([]balance.Server, len(entries))
	for i, e := range entries {
		list[i] = balance.Server{
			ID: balance.ServerID(e.Upstream), Zone: int(e.Area), Cell: int(e.Cohort), Weight: e.Rating, Started: e.Boot,
		}
		switch e.Status {
		case wire.StateReady:
			list[i].State = balance.Ready
		case wire.StateGone:
			list[i].State = balance.Gone
		default:
			list[i].State = balance.Draining // an unknown state gets no new requests
		}
	}
	return list
}
