// Package wire reads and writes the simulator's binary protocol: frames, records, server lists and the settings of each
// instance.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Event codes.
const (
	EvCheckResult  = 1000
	EvManifest     = 1010
	EvCrashNow     = 1020
	EvHeaders      = 1030
	EvHeard        = 1040
	EvFleet        = 1050
	EvFinished     = 1060
	EvWake         = 1070
	EvAsk          = 1080
	EvClientLeft   = 1090
	EvOpenInstance = 1100
)

// Action codes.
const (
	ActCallOut  = 1000
	ActPushBack = 1010
	ActLose     = 1020
	ActRecall   = 1030
	ActSetAlarm = 1040
	ActInspect  = 1050
	ActRelease  = 1060
	ActWriteLog = 1080
	ActDie      = 1090
	ActTail     = 1100
)

// Outcome codes.
const (
	EndServed       = 100
	EndErrored      = 301
	EndTurnedAway   = 302
	EndTimedOut     = 303
	EndNoConnection = 304
	EndBroken       = 305
	EndCancelled    = 306
	EndNotSent      = 307
)

// Kinds of a Fleet event.
const (
	FleetFull   = 1
	FleetDelta  = 2
	FleetCached = 3
	FleetFailed = 4
)

// Bits of an Ask event.
const (
	BitHint   = 1 // the request has a hint about its work
	BitRepeat = 2 // the client marks the request as a retry
)

// States of a list entry.
const (
	StateGone     = 0
	StateReady    = 1
	StateDraining = 2
)

const (
	batchHeaderLen = 20
	replyHeaderLen = 12
	recordHeadLen  = 6
	entryLen       = 23
	// maxBodyLen limits the length that a frame may announce. Real batches reach megabytes; a larger length means that the
	// stream is broken.
	maxBodyLen = 1 << 28
	// readChunkLen is how much of an announced length is allocated before its bytes have arrived.
	readChunkLen = 1 << 20
)

// FromMillis converts milliseconds on the wire to a duration. Values out of a duration's range are limited to it, and NaN
// is 0.
func FromMillis(ms float64) time.Duration {
	const limit = 1 << 62
	ns := math.Round(ms * 1e6)
	switch {
	case ns != ns:
		return 0
	case ns > limit:
		return limit
	case ns < -limit:
		return -limit
	}
	return time.Duration(ns)
}

// ToMillis converts a duration to milliseconds on the wire.
func ToMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// Batch is a frame of events.
type Batch struct {
	Number  uint32
	Records uint32        // number of records in Body
	Clock   time.Duration // the simulator's time
	Body    []byte        // valid until the next ReadBatch
}

// Reader reads batches from a stream. Each ReadBatch reuses its buffer.
type Reader struct {
	r    io.Reader
	head [batchHeaderLen]byte
	buf  []byte
}

// NewReader returns a Reader of r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next frame. It returns io.EOF at a clean end of input.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	le := binary.LittleEndian
	b := Batch{Number: le.Uint32(r.head[0:]), Records: le.Uint32(r.head[4:])}
	size := le.Uint32(r.head[8:])
	clock := math.Float64frombits(le.Uint64(r.head[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is not a number", b.Number)
	}
	b.Clock = FromMillis(clock)
	if size > maxBodyLen {
		return Batch{}, fmt.Errorf("batch %d: body of %d bytes exceeds the limit of %d", b.Number, size, maxBodyLen)
	}
	if uint64(b.Records)*recordHeadLen > uint64(size) {
		return Batch{}, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.Number, b.Records, size)
	}
	// The buffer grows only as bytes arrive, so that a wrong length in a short stream causes no large allocation.
	r.buf = r.buf[:0]
	for left := int(size); left > 0; {
		n := min(left, max(readChunkLen, cap(r.buf)-len(r.buf)))
		end := len(r.buf)
		if cap(r.buf)-end < n {
			r.buf = append(r.buf, make([]byte, n)...)
		} else {
			r.buf = r.buf[:end+n]
		}
		if _, err := io.ReadFull(r.r, r.buf[end:end+n]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Batch{}, fmt.Errorf("batch %d: read body: %w", b.Number, err)
		}
		left -= n
	}
	b.Body = r.buf
	return b, nil
}

// Record is a record of a batch: its code and its undecoded fields.
type Record struct {
	Code   uint16
	Fields []byte
}

// Next splits the first record off body and returns it with the rest.
func Next(body []byte) (Record, []byte, error) {
	if len(body) < recordHeadLen {
		return Record{}, nil, fmt.Errorf("record header truncated: %d bytes left", len(body))
	}
	n := binary.LittleEndian.Uint32(body[2:])
	rec := Record{Code: binary.LittleEndian.Uint16(body)}
	body = body[recordHeadLen:]
	if uint64(n) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: length is %d bytes, only %d left", rec.Code, n, len(body))
	}
	rec.Fields = body[:n]
	return rec, body[n:], nil
}

// cursor decodes the fields of a record one after another. If fields are missing it sets short, and every further field
// is zero. Extra bytes are ignored, as later versions may add fields.
type cursor struct {
	rest  []byte
	short bool
}

// next returns the next n bytes, or nil if there are fewer.
func (c *cursor) next(n int) []byte {
	if c.short || n < 0 || n > len(c.rest) {
		c.short = true
		return nil
	}
	f := c.rest[:n]
	c.rest = c.rest[n:]
	return f
}

func (c *cursor) u8() uint8 {
	if f := c.next(1); f != nil {
		return f[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if f := c.next(2); f != nil {
		return binary.LittleEndian.Uint16(f)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if f := c.next(4); f != nil {
		return binary.LittleEndian.Uint32(f)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if f := c.next(8); f != nil {
		return binary.LittleEndian.Uint64(f)
	}
	return 0
}

func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

// addr decodes an address and port.
func (c *cursor) addr() Upstream {
	f := c.next(6)
	if f == nil {
		return 0
	}
	var b [8]byte
	copy(b[:], f)
	return Upstream(binary.LittleEndian.Uint64(b[:]))
}

// report decodes a load report. Values beyond the fourth are skipped.
func (c *cursor) report() Report {
	var r Report
	n := int(c.u8())
	f := c.next(4 * n)
	if f == nil {
		return r
	}
	r.N = min(n, len(r.Values))
	for i := range r.N {
		r.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(f[4*i:]))
	}
	return r
}

// err returns an error if fields were missing.
func (c *cursor) err(code uint16) error {
	if c.short {
		return fmt.Errorf("record %d: fields truncated", code)
	}
	return nil
}

// Upstream is an address and port: the six bytes on the wire, with the first byte lowest.
type Upstream uint64

// Report is a load report: up to four values in the order of the setting telemetry.columns.
type Report struct {
	N      int // number of valid Values
	Values [4]float32
}

// Entry is an entry of a server list.
type Entry struct {
	Upstream Upstream
	Area     uint8         // zone
	Family   uint8         // not used by the decision code
	Cohort   uint16        // cell
	Status   uint8         // StateGone, StateReady or StateDraining
	Rating   float64       // weight
	Boot     time.Duration // when the server started
}

// Instance decodes the instance that a record is for; a Manifest has none.
func (r Record) Instance() (uint32, error) {
	c := cursor{rest: r.Fields}
	i := c.u32()
	return i, c.err(r.Code)
}

// Manifest decodes a numbered server list.
func (r Record) Manifest() (page uint16, entries []Entry, err error) {
	c := cursor{rest: r.Fields}
	page = c.u16()
	n := c.u32()
	if c.short || uint64(n)*entryLen > uint64(len(c.rest)) {
		return 0, nil, fmt.Errorf("record %d: %d list entries do not fit into the %d bytes left", r.Code, n, len(c.rest))
	}
	entries = make([]Entry, n)
	for i := range entries {
		e := Entry{Upstream: c.addr(), Area: c.u8(), Family: c.u8(), Cohort: c.u16(), Status: c.u8()}
		e.Rating = float64(math.Float32frombits(c.u32()))
		e.Boot = FromMillis(c.f64())
		entries[i] = e
	}
	return page, entries, c.err(r.Code)
}

// OpenInstance decodes the start of an instance with its settings, which are valid only as long as the batch.
func (r Record) OpenInstance() (seed uint64, info []byte, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	seed = c.u64()
	info = c.next(int(c.u32()))
	return seed, info, c.err(r.Code)
}

// Fleet decodes the announcement of a server list: its kind, its version and the page of the Manifest that holds it.
func (r Record) Fleet() (kind uint8, version uint32, page uint16, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	kind, version, page = c.u8(), c.u32(), c.u16()
	return kind, version, page, c.err(r.Code)
}

// Ask is a client request.
type Ask struct {
	Job    uint32 // number of the request
	Bits   uint16 // BitHint and BitRepeat
	Key    uint64 // routing key; 0 if there is none
	Tenant uint32
	Left   time.Duration // until the client's deadline
	Hint   time.Duration // expected work; valid with BitHint
	Kind   uint8         // class
}

// Ask decodes a client request.
func (r Record) Ask() (Ask, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	a := Ask{Job: c.u32(), Bits: c.u16(), Key: c.u64(), Tenant: c.u32()}
	a.Left, a.Hint, a.Kind = FromMillis(c.f64()), FromMillis(c.f64()), c.u8()
	return a, c.err(r.Code)
}

// Finished is the outcome of an attempt.
type Finished struct {
	Job      uint32 // number of the request
	Hop      uint8  // number of the attempt
	Upstream Upstream
	Ending   uint16        // outcome code, such as EndServed
	Took     time.Duration // from the start of the attempt
	Settled  bool          // the request already had its final answer
	Pressure Report        // load report that came with the answer
}

// Finished decodes the outcome of an attempt.
func (r Record) Finished() (Finished, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	f := Finished{Job: c.u32(), Hop: c.u8(), Upstream: c.addr(), Ending: c.u16()}
	f.Took, f.Settled, f.Pressure = FromMillis(c.f64()), c.u8() != 0, c.report()
	return f, c.err(r.Code)
}

// CheckResult decodes the result of a probe.
func (r Record) CheckResult() (up Upstream, ending uint16, report Report, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	up, ending = c.addr(), c.u16()
	c.f64()
	report = c.report()
	return up, ending, report, c.err(r.Code)
}

// Headers decodes the event that an answer has begun: the number of the request, and hop, the number of the attempt.
func (r Record) Headers() (job uint32, hop uint8, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	job = c.u32()
	c.f64()
	hop = c.u8()
	c.addr()
	return job, hop, c.err(r.Code)
}

// Job decodes the request that a ClientLeft record refers to.
func (r Record) Job() (uint32, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	job := c.u32()
	return job, c.err(r.Code)
}

// Cookie decodes the cookie of a Wake record.
func (r Record) Cookie() (uint64, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	v := c.u64()
	return v, c.err(r.Code)
}

// Reply encodes the actions that answer a batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin discards the actions so far and starts the reply to the batch with the given number.
func (p *Reply) Begin(number uint32) {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderLen)...)
	binary.LittleEndian.PutUint32(p.buf, number)
	p.count = 0
}

// Bytes completes the frame and returns it. It is valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeaderLen))
	binary.LittleEndian.PutUint32(p.buf[8:], p.count)
	return p.buf
}

// beginRecord appends a record's header and its first field, the instance. size counts the fields in bytes.
func (p *Reply) beginRecord(code uint16, size int, inst uint32) {
	p.count++
	p.buf = binary.LittleEndian.AppendUint16(p.buf, code)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, uint32(size))
	p.u32(inst)
}

func (p *Reply) u32(v uint32)  { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }
func (p *Reply) u64(v uint64)  { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

// addr appends an address and port.
func (p *Reply) addr(u Upstream) {
	for range 6 {
		p.buf = append(p.buf, byte(u))
		u >>= 8
	}
}

// text appends a record with a text, which is cut to math.MaxUint16 bytes, the maximum of its length field.
func (p *Reply) text(code uint16, inst uint32, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	p.beginRecord(code, 6+len(s), inst)
	p.buf = binary.LittleEndian.AppendUint16(p.buf, uint16(len(s)))
	p.buf = append(p.buf, s...)
}

// CallOut starts an attempt of a request, with a timeout.
func (p *Reply) CallOut(inst, job uint32, to Upstream, timeout time.Duration) {
	p.beginRecord(ActCallOut, 22, inst)
	p.u32(job)
	p.addr(to)
	p.f64(ToMillis(timeout))
}

// SetAlarm requests a Wake event after a delay. The event carries the cookie.
func (p *Reply) SetAlarm(inst uint32, after time.Duration, cookie uint64) {
	p.beginRecord(ActSetAlarm, 20, inst)
	p.f64(ToMillis(after))
	p.u64(cookie)
}

// Inspect probes an upstream.
func (p *Reply) Inspect(inst uint32, to Upstream) {
	p.beginRecord(ActInspect, 10, inst)
	p.addr(to)
}

// Release closes the idle connections to an upstream.
func (p *Reply) Release(inst uint32, to Upstream) {
	p.beginRecord(ActRelease, 10, inst)
	p.addr(to)
}

// PushBack refuses a request. pause is the advice on when to retry.
func (p *Reply) PushBack(inst, job uint32, pause time.Duration) {
	p.beginRecord(ActPushBack, 16, inst)
	p.u32(job)
	p.f64(ToMillis(pause))
}

// Lose fails a request.
func (p *Reply) Lose(inst, job uint32) {
	p.beginRecord(ActLose, 8, inst)
	p.u32(job)
}

// Recall cancels an attempt.
func (p *Reply) Recall(inst, job uint32, attempt uint8) {
	p.beginRecord(ActRecall, 9, inst)
	p.u32(job)
	p.buf = append(p.buf, attempt)
}

// Tail subscribes to the server list, or ends the subscription.
func (p *Reply) Tail(inst uint32, on bool) {
	p.beginRecord(ActTail, 5, inst)
	b := byte(0)
	if on {
		b = 1
	}
	p.buf = append(p.buf, b)
}

// WriteLog writes a line to the simulator's report.
func (p *Reply) WriteLog(inst uint32, line string) { p.text(ActWriteLog, inst, line) }

// Die reports that the decision code has failed.
func (p *Reply) Die(inst uint32, note string) { p.text(ActDie, inst, note) }
