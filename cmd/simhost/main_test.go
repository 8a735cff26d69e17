package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
)

const testSettings = `balancers=2
caps.may_cancel=true
caps.most_tries=3
classes.count=1
classes.0.aim_ms=500
classes.0.hard_limit_ms=1000
classes.0.semantics=free
discovery=ask
rules.ask_within_ms=10000
period_ms=5
`

// encodeRecord encodes an event record with the given fields.
func encodeRecord(code uint16, fields ...any) []byte {
	var f bytes.Buffer
	for _, v := range fields {
		if s, ok := v.(string); ok {
			v = []byte(s)
		}
		if err := binary.Write(&f, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(f.Len()))
	return append(b, f.Bytes()...)
}

// openRecord encodes the start of an instance with testSettings.
func openRecord(inst uint32, seed uint64) []byte {
	return encodeRecord(wire.EvOpenInstance, inst, seed, uint32(len(testSettings)), testSettings)
}

// manifestRecord encodes a server list of ready servers, given the last byte of each IPv4 address.
func manifestRecord(page uint16, addrs ...byte) []byte {
	fields := []any{page, uint32(len(addrs))}
	for _, a := range addrs {
		fields = append(fields, []byte{10, 0, 0, a, 80, 0}, uint8(0), uint8(0), uint16(0), uint8(wire.StateReady),
			float32(1), float64(0))
	}
	return encodeRecord(wire.EvManifest, fields...)
}

// fleetRecord encodes the event that gives an instance the server list of a page.
func fleetRecord(inst uint32, kind uint8, page uint16) []byte {
	return encodeRecord(wire.EvFleet, inst, kind, uint32(1), page)
}

// askRecord encodes the arrival of a request.
func askRecord(inst, job uint32) []byte {
	return encodeRecord(wire.EvAsk, inst, job, uint16(0), uint64(0), uint32(0), float64(800), float64(0), uint8(0))
}

// encodeBatch encodes a batch of records at a time in milliseconds.
func encodeBatch(number uint32, clock float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(b, body...)
}

// action is one action of a reply: its code, its instance and the remaining fields.
type action struct {
	code uint16
	inst uint32
	rest string
}

// serveActions serves an input stream and returns the actions of all replies.
func serveActions(t *testing.T, in []byte) []action {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var all []action
	for b := out.Bytes(); len(b) > 0; {
		size := binary.LittleEndian.Uint32(b[4:])
		body := b[12 : 12+size]
		b = b[12+size:]
		for len(body) > 0 {
			rec, rest, err := wire.Next(body)
			if err != nil {
				t.Fatal(err)
			}
			inst, _ := rec.Instance()
			all = append(all, action{rec.Code, inst, string(rec.Fields[4:])})
			body = rest
		}
	}
	return all
}

// actionsOf returns the actions of one code and instance.
func actionsOf(all []action, code uint16, inst uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool { return a.code != code || a.inst != inst })
}

func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(slices.Concat(encodeBatch(1, 0), encodeBatch(2, 5))), &out); err != nil || out.Len() != 24 {
		t.Fatalf("%d bytes, error %v; want two empty replies", out.Len(), err)
	}
}

// Settings, server lists and keys must reach the policy: the connections of a draining server are closed, and the requests of
// one key are sent one at a time.
func TestSettingsListsAndKeysReachThePolicy(t *testing.T) {
	info := testSettings + "classes.0.fifo_by_key=true\nrules.order_settle_ms=0\nrules.let_go_in_ms=300\n"
	inst := encodeRecord(wire.EvOpenInstance, uint32(1), uint64(5), uint32(len(info)), info)
	drained := manifestRecord(4, 77)
	drained[6+2+4+6+1+1+2] = wire.StateDraining
	keyed := func(job uint32) []byte {
		return encodeRecord(wire.EvAsk, uint32(1), job, uint16(0), uint64(9), uint32(0), float64(800), float64(0), uint8(0))
	}
	all := serveActions(t, slices.Concat(
		encodeBatch(1, 0, inst, manifestRecord(3, 77, 78), fleetRecord(1, wire.FleetCached, 3), keyed(100), keyed(101)),
		encodeBatch(2, 5, drained, fleetRecord(1, wire.FleetDelta, 4))))
	if sends := actionsOf(all, wire.ActCallOut, 1); len(sends) != 1 {
		t.Errorf("%d sends for two requests of one key, want 1", len(sends))
	}
	if closed := actionsOf(all, wire.ActRelease, 1); len(closed) != 1 || closed[0].rest[3] != 77 {
		t.Errorf("closed %v, want .77", closed)
	}
}

// An invalid setting must end simhost with one line that names its field.
func TestInvalidSettingIsNamed(t *testing.T) {
	for setting, field := range map[string]string{
		"rules.further_ratio=-1\nrules.budget_span_ms=1000\n": "Budget",
		"rules.further_ratio=0.2\n":                           "Budget",
		"rules.let_go_in_ms=-5\n":                             "CloseWithin",
		"rules.order_settle_ms=x\n":                           "rules.order_settle_ms",
		"rules.cold_from=2\n":                                 "ColdFrom",
	} {
		info := testSettings + setting
		err := serve(bytes.NewReader(encodeBatch(1, 0, encodeRecord(wire.EvOpenInstance, uint32(1), uint64(5),
			uint32(len(info)), info))), io.Discard)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line that names %s", setting, err, field)
		}
	}
}

func TestServerListIsResolvedInEventOrder(t *testing.T) {
	all := serveActions(t, encodeBatch(1, 0,
		openRecord(1, 5), manifestRecord(3, 77), fleetRecord(1, wire.FleetCached, 3), askRecord(1, 100),
		openRecord(2, 6), manifestRecord(3, 88), fleetRecord(2, wire.FleetCached, 3), askRecord(2, 200)))
	for inst, want := range map[uint32]byte{1: 77, 2: 88} {
		sends := actionsOf(all, wire.ActCallOut, inst)
		if len(sends) != 1 || sends[0].rest[7] != want {
			t.Errorf("instance %d: sends %v, want one to .%d", inst, sends, want)
		}
		if len(actionsOf(all, wire.ActTail, inst)) != 1 {
			t.Errorf("instance %d did not ask for the server list", inst)
		}
	}
}

func TestRestartInOneBatch(t *testing.T) {
	all := serveActions(t, slices.Concat(
		encodeBatch(1, 0, openRecord(1, 5), manifestRecord(0, 7), fleetRecord(1, wire.FleetCached, 0), askRecord(1, 100)),
		encodeBatch(2, 5, encodeRecord(wire.EvCrashNow, uint32(1)), askRecord(1, 101), openRecord(1, 6), fleetRecord(1, wire.FleetCached, 0), askRecord(1, 102)),
		encodeBatch(3, 10, encodeRecord(wire.EvFinished, uint32(1), uint32(100), uint8(0), []byte{10, 0, 0, 7, 80, 0}, uint16(wire.EndServed),
			float64(5), uint8(1), uint8(0))),
		encodeBatch(4, 15, encodeRecord(wire.EvCrashNow, uint32(1)), askRecord(1, 103))))
	sends := actionsOf(all, wire.ActCallOut, 1)
	if len(sends) != 2 {
		t.Fatalf("%d sends, want 2: one before and one after the restart, none while the instance was down", len(sends))
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	build := func(insts ...uint32) []byte {
		var in []byte
		for n := range uint32(60) {
			var recs [][]byte
			for _, i := range insts {
				if n == 0 {
					recs = append(recs, openRecord(i, uint64(i)), manifestRecord(uint16(i), 1, 2, 3, 4), fleetRecord(i, wire.FleetFull, uint16(i)))
				}
				recs = append(recs, askRecord(i, 1000*i+n), encodeRecord(wire.EvWake, i, uint64(0)))
				if n > 4 {
					recs = append(recs, encodeRecord(wire.EvClientLeft, i, 1000*i+n-4))
				}
			}
			in = append(in, encodeBatch(n, float64(10*n), recs...)...)
		}
		return in
	}
	together := serveActions(t, build(1, 2))
	for _, i := range []uint32{1, 2} {
		apart := serveActions(t, build(i))
		mine := slices.DeleteFunc(slices.Clone(together), func(a action) bool { return a.inst != i })
		if !slices.Equal(apart, mine) || len(mine) < 60 {
			t.Fatalf("instance %d: %d actions when served together, %d alone, or they differ", i, len(mine), len(apart))
		}
	}
}

func TestUnknownRecordsAreIgnored(t *testing.T) {
	all := serveActions(t, encodeBatch(1, 0, encodeRecord(4711, uint32(9), "anything"), openRecord(1, 5), encodeRecord(wire.EvHeard, uint32(1), uint32(2), uint16(0)),
		manifestRecord(0, 7), fleetRecord(1, 99, 0), fleetRecord(1, wire.FleetCached, 0), askRecord(1, 100), askRecord(44, 100)))
	if len(actionsOf(all, wire.ActCallOut, 1)) != 1 || slices.ContainsFunc(all, func(a action) bool { return a.inst == 44 }) {
		t.Fatalf("actions %v", all)
	}
}

func TestMalformedInputEndsWithAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"cut off":               encodeBatch(1, 0, openRecord(1, 5))[:30],
		"list never sent":       encodeBatch(1, 0, openRecord(1, 5), fleetRecord(1, wire.FleetFull, 9)),
		"record shorter":        encodeBatch(1, 0, openRecord(1, 5), encodeRecord(wire.EvAsk, uint32(1), uint32(3))),
		"unusable settings":     encodeBatch(1, 0, encodeRecord(wire.EvOpenInstance, uint32(1), uint64(1), uint32(11), "balancers=0")),
		"settings without sign": encodeBatch(1, 0, encodeRecord(wire.EvOpenInstance, uint32(1), uint64(1), uint32(3), "abc")),
		"bytes left over":       append(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, 1), 3), 0, 0, 0, 0, 1, 2, 3),
	} {
		err := serve(bytes.NewReader(in), io.Discard)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want a one-line error", name, err)
		}
	}
}

func TestPanicIsReportedAsAFault(t *testing.T) {
	h := newHost()
	h.reply.Begin(1)
	i := &instance{host: h, number: 4}
	if err := i.recoverPanic(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	rec, _, err := wire.Next(h.reply.Bytes()[12:])
	if err != nil || rec.Code != wire.ActDie || !strings.Contains(string(rec.Fields), "index out of range") {
		t.Fatalf("record %+v, error %v", rec, err)
	}
}

func TestEndings(t *testing.T) {
	for code, want := range map[uint16]balance.Ending{
		wire.EndServed: balance.Served, wire.EndErrored: balance.Errored, wire.EndTurnedAway: balance.TurnedAway,
		wire.EndTimedOut: balance.TimedOut, wire.EndNoConnection: balance.NoConnection, wire.EndBroken: balance.Broken,
		wire.EndCancelled: balance.Cancelled, wire.EndNotSent: balance.NotSent, 999: balance.Errored,
	} {
		if got := endingFor(code); got != want {
			t.Errorf("ending %d becomes %v, want %v", code, got, want)
		}
	}
}

func TestServers(t *testing.T) {
	got := serversFrom([]wire.Entry{
		{Upstream: 9, Area: 1, Cohort: 3, Status: wire.StateReady, Rating: 2.5, Boot: time.Second},
		{Status: wire.StateGone}, {Status: wire.StateDraining}, {Status: 77},
	})
	if got[0] != (balance.Server{ID: 9, Zone: 1, Cell: 3, State: balance.Ready, Weight: 2.5, Started: time.Second}) ||
		got[1].State != balance.Gone || got[2].State != balance.Draining || got[3].State != balance.Draining {
		t.Fatalf("servers %+v", got)
	}
}
