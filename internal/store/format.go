package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// A file has a head, two slots, and records. The head never changes. A slot tells up to where the file is committed;
// the two are written in turn, so that one is whole whatever happens to the other. Head and slots have a sector each, which
// a disk writes whole or not at all.
//
//	head    magic, form, the process's number, generation, zeros, checksum
//	slot    sequence, committed length, the file that came after this one, zeros, checksum
//	record  length, checksum, then: version, origin, time, flags, section, key, value
const (
	sector  = 512
	first   = 3 * sector // where records begin
	magic   = "EDGESTAT"
	form    = 1
	recHead = 8
	recMost = 1 << 20 // bytes of a record

	prefix = "state-"
)

var (
	table   = crc32.MakeTable(crc32.Castagnoli)
	sum32   = func(sum uint32, b []byte) uint32 { return crc32.Update(sum, table, b) } // a test takes it out
	order   = binary.LittleEndian
	errForm = errors.New("it was written by a newer program")
)

// ref names a file: by the number of the process that writes it, and its generation.
type ref struct{ number, generation uint64 }

func (r ref) name() string { return fmt.Sprintf("%s%016x-%08x", prefix, r.number, r.generation) }

// byAge orders files by their age.
func byAge(a, b ref) int {
	return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.generation, b.generation))
}

func (r ref) after(o ref) bool {
	return byAge(r, o) > 0
}

// parseRef reads a file's name; false: it is none of the store's.
func parseRef(name string) (r ref, ok bool) {
	n, err := fmt.Sscanf(name, prefix+"%016x-%08x", &r.number, &r.generation)
	return r, err == nil && n == 2 && r.name() == name
}

// seal ends a sector with its checksum.
func seal(s []byte) []byte {
	order.PutUint32(s[sector-4:], sum32(0, s[:sector-4]))
	return s
}

func sealed(s []byte) bool {
	return len(s) == sector && order.Uint32(s[sector-4:]) == sum32(0, s[:sector-4])
}

func headOf(r ref) []byte {
	s := make([]byte, sector)
	copy(s, magic)
	order.PutUint64(s[8:], form)
	order.PutUint64(s[16:], r.number)
	order.PutUint64(s[24:], r.generation)
	return seal(s)
}

// slot is a file's state as it was committed last.
type slot struct {
	sequence uint64
	length   uint64
	next     ref // the file that came after this one; its zero value: none did
}

func (s slot) encode() []byte {
	b := make([]byte, sector)
	for i, v := range []uint64{s.sequence, s.length, s.next.number, s.next.generation} {
		order.PutUint64(b[8*i:], v)
	}
	return seal(b)
}

// at is where a slot goes in its file.
func (s slot) at() int64 { return sector * int64(1+s.sequence%2) }

func decodeSlot(b []byte) slot {
	v := func(i int) uint64 { return order.Uint64(b[8*i:]) }
	return slot{v(0), v(1), ref{v(2), v(3)}}
}

// entry is what the store has under a section and a key. The newest version counts, of equals the one of the
// younger process.
type entry struct {
	version, origin uint64
	at              int64 // wall clock, ms
	gone            bool
	value           []byte
}

func (e entry) newer(than entry) bool {
	return e.version > than.version || e.version == than.version && e.origin > than.origin
}

// id is a section and a key.
type id struct{ section, key string }

func byName(a, b id) int { return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(a.key, b.key)) }

func appendRecord(to []byte, i id, e entry) []byte {
	start := len(to)
	to = append(to, make([]byte, recHead)...)
	to = binary.AppendUvarint(to, e.version)
	to = binary.AppendUvarint(to, e.origin)
	to = binary.AppendVarint(to, e.at)
	flags := byte(0)
	if e.gone {
		flags = 1
	}
	to = append(to, flags)
	for _, text := range []string{i.section, i.key} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = append(to, e.value...)
	body := to[start+recHead:]
	order.PutUint32(to[start:], uint32(len(body)))
	sum := sum32(sum32(0, to[start:start+4]), body)
	order.PutUint32(to[start+4:], sum)
	return to
}

// nextRecord reads the record at the start of b, and returns its length; 0: there is no sound one.
func nextRecord(b []byte) (id, entry, int) {
	if len(b) < recHead {
		return id{}, entry{}, 0
	}
	n := int(order.Uint32(b))
	if n > recMost || n > len(b)-recHead {
		return id{}, entry{}, 0
	}
	body := b[recHead : recHead+n]
	if sum32(sum32(0, b[:4]), body) != order.Uint32(b[4:]) {
		return id{}, entry{}, 0
	}
	var e entry
	var texts [2]string
	ok := true
	uvarint := func() uint64 {
		v, k := binary.Uvarint(body)
		if k <= 0 {
			ok = false
			return 0
		}
		body = body[k:]
		return v
	}
	e.version, e.origin = uvarint(), uvarint()
	at, k := binary.Varint(body)
	if k <= 0 || len(body) <= k || !ok {
		return id{}, entry{}, 0
	}
	e.at, e.gone, body = at, body[k] == 1, body[k+1:]
	for i := range texts {
		size := uvarint()
		if !ok || size > uint64(len(body)) {
			return id{}, entry{}, 0
		}
		texts[i], body = strings.Clone(string(body[:size])), body[size:]
	}
	e.value = append([]byte(nil), body...)
	return id{texts[0], texts[1]}, e, recHead + n
}

// content is what a file holds, as far as it is sound.
type content struct {
	ref     ref
	slot    slot // the newest that is sound
	records []record
	end     int    // of the sound part
	damage  string // what is wrong, and where; empty: nothing is
}

type record struct {
	id
	entry
}

// decode reads a file. What is not sound is told in damage; what lies behind the committed part and is not whole was
// under way when its process ended, and is no damage.
func decode(name string, raw []byte) (c content, err error) {
	named, ok := parseRef(name)
	if !ok {
		return c, fmt.Errorf("%q is no name of a state file", name)
	}
	c.ref = named
	hurt := func(format string, args ...any) {
		if c.damage == "" {
			c.damage = fmt.Sprintf(format, args...)
		}
	}
	if len(raw) < first {
		hurt("offset %d: the file ends within its head", len(raw))
		return c, nil
	}
	switch head := raw[:sector]; {
	case !sealed(head) || string(head[:8]) != magic:
		hurt("offset 0: the head's checksum is wrong")
	case order.Uint64(head[8:]) > form:
		return c, errForm
	case (ref{order.Uint64(head[16:]), order.Uint64(head[24:])}) != named:
		hurt("offset 0: the head is that of another file")
	}
	found := false
	for i := 1; i <= 2; i++ {
		b := raw[i*sector : (i+1)*sector]
		if !sealed(b) {
			hurt("offset %d: a slot's checksum is wrong", i*sector)
			continue
		}
		if s := decodeSlot(b); !found || s.sequence > c.slot.sequence {
			c.slot, found = s, true
		}
	}
	c.end = first
	for c.end < len(raw) {
		i, e, n := nextRecord(raw[c.end:])
		if n == 0 {
			break
		}
		c.records = append(c.records, record{i, e})
		c.end += n
	}
	if uint64(c.end) < c.slot.length {
		hurt("offset %d: a record is damaged or missing; %d bytes were committed", c.end, c.slot.length)
	}
	return c, nil
}
