package conform

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
)

// simhostSubject runs rows against the simhost program over the simulator's wire. It opens one instance, and sends one
// batch for each event.
type simhostSubject struct {
	cmd          *exec.Cmd
	in           io.WriteCloser
	out          *bufio.Reader
	batchNumber  uint32
	manifestPage uint16
}

// newSimhost starts the simhost program at a path.
func newSimhost(program string) (*simhostSubject, error) {
	s := &simhostSubject{cmd: exec.Command(program)}
	var err error
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	s.out = bufio.NewReader(out)
	return s, s.cmd.Start()
}

// close closes the program's input, upon which the program exits.
func (s *simhostSubject) close() error {
	s.in.Close()
	return s.cmd.Wait()
}

// encodeRecord encodes one record of a batch. The fields must be values of fixed size or byte slices.
func encodeRecord(code uint16, fields ...any) []byte {
	var f []byte
	for _, v := range fields {
		f, _ = binary.Append(f, binary.LittleEndian, v) // fails only for types without a fixed size
	}
	head := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint16(nil, code), uint32(len(f)))
	return append(head, f...)
}

// serverAddress returns the address that represents a server number on the wire.
func serverAddress(server int) []byte { return []byte{10, 0, byte(server >> 8), byte(server), 80, 0} }

// serverNumber is the inverse of serverAddress.
func serverNumber(b []byte) int { return int(b[2])<<8 | int(b[3]) }

// settingLines converts settings to sorted key=value lines as on the wire.
func settingLines(path string, v any) (all []string) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			all = append(all, settingLines(strings.TrimPrefix(path+"."+key, "."), item)...)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				all = append(all, settingLines(path+"."+strconv.Itoa(i), item)...)
				continue
			}
			plain = append(plain, fmt.Sprint(item))
		}
		all = append(all, fmt.Sprintf("%s.count=%d", path, len(v)), path+"="+strings.Join(plain, ","))
	default:
		all = append(all, fmt.Sprintf("%s=%v", path, v))
	}
	slices.Sort(all)
	return all
}

// start implements virtualSubject. It opens the instance with the cached server list.
func (s *simhostSubject) start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error) {
	settingsText := []byte(strings.Join(settingLines("", settings), "\n"))
	return s.exchange(now, append([][]byte{encodeRecord(wire.EvOpenInstance, uint32(1), seed, uint32(len(settingsText)), settingsText)},
		s.listRecords(wire.FleetCached, known)...)...)
}

// listRecords returns the records of a server list update: a manifest with the entries, and the event that refers to it.
func (s *simhostSubject) listRecords(kind uint8, servers []balance.Server) [][]byte {
	s.manifestPage = (s.manifestPage + 1) % 16
	fields := []any{s.manifestPage, uint32(len(servers))}
	for _, e := range servers {
		status := map[balance.State]uint8{balance.Gone: wire.StateGone, balance.Ready: wire.StateReady, balance.Draining: wire.StateDraining}[e.State]
		fields = append(fields, serverAddress(int(e.ID)), uint8(e.Zone), uint8(0), uint16(e.Cell), status, float32(e.Weight), wire.ToMillis(e.Started))
	}
	return [][]byte{encodeRecord(wire.EvManifest, fields...), encodeRecord(wire.EvFleet, uint32(1), kind, uint32(s.batchNumber+1), s.manifestPage)}
}

// handle implements virtualSubject. It sends the event as one batch.
func (s *simhostSubject) handle(now time.Duration, e event) ([]action, error) {
	id := uint32(e.request.ID)
	switch e.kind {
	case eventRequest:
		q := e.request
		return s.exchange(now, encodeRecord(wire.EvAsk, uint32(1), id, uint16(0), q.Key, uint32(q.Tenant), wire.ToMillis(q.TimeLeft), float64(0), uint8(q.Class)))
	case eventOutcome:
		o := e.outcome
		code := map[balance.Ending]uint16{
			balance.Served: wire.EndServed, balance.Errored: wire.EndErrored, balance.TurnedAway: wire.EndTurnedAway,
			balance.TimedOut: wire.EndTimedOut, balance.NoConnection: wire.EndNoConnection, balance.Broken: wire.EndBroken,
		}[o.Ending]
		return s.exchange(now, encodeRecord(wire.EvFinished, uint32(1), uint32(o.ID), uint8(o.Attempt), serverAddress(e.server), code,
			wire.ToMillis(e.duration), o.Settled, uint8(0)))
	case eventList:
		if e.list == balance.ListFailed {
			return s.exchange(now, encodeRecord(wire.EvFleet, uint32(1), uint8(wire.FleetFailed), uint32(0), uint16(0)))
		}
		kind := map[balance.ListKind]uint8{balance.ListFull: wire.FleetFull, balance.ListDelta: wire.FleetDelta}[e.list]
		return s.exchange(now, s.listRecords(kind, e.servers)...)
	case eventClientGone:
		return s.exchange(now, encodeRecord(wire.EvClientLeft, uint32(1), id))
	}
	return s.exchange(now, encodeRecord(wire.EvWake, uint32(1), uint64(0)))
}

// exchange sends a batch, reads the reply and decodes the actions in it.
func (s *simhostSubject) exchange(now time.Duration, records ...[]byte) (actions []action, err error) {
	s.batchNumber++
	body := slices.Concat(records...)
	head, _ := binary.Append(nil, binary.LittleEndian, []uint32{s.batchNumber, uint32(len(records)), uint32(len(body))})
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(wire.ToMillis(now)))
	if _, err := s.in.Write(append(head, body...)); err != nil {
		return nil, err
	}
	reply := make([]byte, 12)
	if _, err := io.ReadFull(s.out, reply); err != nil {
		return nil, err
	}
	le := binary.LittleEndian
	if n := le.Uint32(reply); n != s.batchNumber {
		return nil, fmt.Errorf("sent batch %d, got a reply to batch %d", s.batchNumber, n)
	}
	body = make([]byte, le.Uint32(reply[4:]))
	if _, err := io.ReadFull(s.out, body); err != nil {
		return nil, err
	}
	for len(body) > 0 {
		var rec wire.Record
		if rec, body, err = wire.Next(body); err != nil {
			return nil, err
		}
		fields := rec.Fields[4:] // skips the instance number
		durationAt := func(offset int) time.Duration {
			return wire.FromMillis(math.Float64frombits(le.Uint64(fields[offset:])))
		}
		switch rec.Code {
		case wire.ActCallOut:
			actions = append(actions, action{kind: actionSend, id: int(le.Uint32(fields)), server: serverNumber(fields[4:]), duration: durationAt(10)})
		case wire.ActPushBack:
			actions = append(actions, action{kind: actionRefuse, id: int(le.Uint32(fields)), duration: durationAt(4)})
		case wire.ActLose:
			actions = append(actions, action{kind: actionFail, id: int(le.Uint32(fields))})
		case wire.ActSetAlarm:
			actions = append(actions, action{kind: actionTimer, duration: durationAt(0)})
		case wire.ActTail:
			actions = append(actions, action{kind: actionWatchList})
		case wire.ActDie:
			return nil, fmt.Errorf("the decision module failed: %s", fields[2:])
		case wire.ActRecall:
			actions = append(actions, action{kind: actionCancel, id: int(le.Uint32(fields))})
		case wire.ActWriteLog, wire.ActInspect, wire.ActRelease:
		default:
			return nil, fmt.Errorf("unexpected action code %d", rec.Code)
		}
	}
	return actions, nil
}
