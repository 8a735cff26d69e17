package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// A file has a header, two slots, and records. The header never changes. A slot has the length up to which the
// file is committed. The two slots are written in turn, so that one is intact when a write of the other fails.
// The header and each slot have a sector of their own, which a disk writes as a whole or not at all.
// Integers of fixed size are little endian, those in the body of a record are varints.
//
//	header  magic, format version, process number, generation, zeros, checksum
//	slot    sequence, committed length, the file that succeeds this one, zeros, checksum
//	record  length, checksum, then: version, origin, time, flags, section, key, value
const (
	sectorSize       = 512
	recordsOffset    = 3 * sectorSize // offset of the first record
	magic            = "EDGESTAT"
	formatVersion    = 1
	recordHeaderSize = 8       // length and checksum
	maxRecordBytes   = 1 << 20 // length of a record

	filePrefix = "state-"
)

var (
	crcTable       = crc32.MakeTable(crc32.Castagnoli)
	checksum       = func(sum uint32, b []byte) uint32 { return crc32.Update(sum, crcTable, b) } // a variable, as a test disables it
	byteOrder      = binary.LittleEndian
	errNewerFormat = errors.New("it was written by a newer program")
)

// fileRef identifies a file by the number of the process that writes it and a generation, which counts the
// files of that process.
type fileRef struct{ process, generation uint64 }

// fileName returns the file's name, from which parseFileRef restores r.
func (r fileRef) fileName() string {
	return fmt.Sprintf("%s%016x-%08x", filePrefix, r.process, r.generation)
}

// compareAge orders files from the oldest to the newest.
func compareAge(a, b fileRef) int {
	return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.generation, b.generation))
}

// isNewer reports whether r is newer than o.
func (r fileRef) isNewer(o fileRef) bool {
	return compareAge(r, o) > 0
}

// parseFileRef parses a file's name. ok is false if it is not a name of a state file.
func parseFileRef(name string) (r fileRef, ok bool) {
	n, err := fmt.Sscanf(name, filePrefix+"%016x-%08x", &r.process, &r.generation)
	return r, err == nil && n == 2 && r.fileName() == name
}

// sealSector writes the checksum at the end of a sector.
func sealSector(s []byte) []byte {
	byteOrder.PutUint32(s[sectorSize-4:], checksum(0, s[:sectorSize-4]))
	return s
}

// isSealed reports whether a sector has the right checksum.
func isSealed(s []byte) bool {
	return len(s) == sectorSize && byteOrder.Uint32(s[sectorSize-4:]) == checksum(0, s[:sectorSize-4])
}

// encodeHeader returns the header sector of a file.
func encodeHeader(r fileRef) []byte {
	s := make([]byte, sectorSize)
	copy(s, magic)
	byteOrder.PutUint64(s[8:], formatVersion)
	byteOrder.PutUint64(s[16:], r.process)
	byteOrder.PutUint64(s[24:], r.generation)
	return sealSector(s)
}

// slot is the state of a file at one commit.
type slot struct {
	sequence  uint64  // number of the commit
	length    uint64  // committed bytes of the file
	successor fileRef // the file that replaced this one; zero: none has
}

// encode returns the sector of a slot.
func (s slot) encode() []byte {
	b := make([]byte, sectorSize)
	for i, v := range []uint64{s.sequence, s.length, s.successor.process, s.successor.generation} {
		byteOrder.PutUint64(b[8*i:], v)
	}
	return sealSector(b)
}

// offset returns the position of a slot in its file, which alternates with the sequence.
func (s slot) offset() int64 { return sectorSize * int64(1+s.sequence%2) }

// decodeSlot reads a slot from a sector whose checksum was verified.
func decodeSlot(b []byte) slot {
	v := func(i int) uint64 { return byteOrder.Uint64(b[8*i:]) }
	return slot{v(0), v(1), fileRef{v(2), v(3)}}
}

// entry is the value of a section and a key. Of several entries the one with the highest version is valid; of
// two with the same version, that of the process with the higher number.
type entry struct {
	version, origin uint64 // Lamport time, and number of the process that wrote it
	putAtMs         int64  // wall clock, Unix ms
	deleted         bool
	value           []byte
}

// supersedes reports whether e is valid instead of other.
func (e entry) supersedes(other entry) bool {
	return e.version > other.version || e.version == other.version && e.origin > other.origin
}

// entryID identifies an entry.
type entryID struct{ section, key string }

// compareIDs orders by section, then by key.
func compareIDs(a, b entryID) int {
	return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(a.key, b.key))
}

// appendRecord appends the encoded record of an entry.
func appendRecord(to []byte, i entryID, e entry) []byte {
	start := len(to)
	to = append(to, make([]byte, recordHeaderSize)...)
	to = binary.AppendUvarint(to, e.version)
	to = binary.AppendUvarint(to, e.origin)
	to = binary.AppendVarint(to, e.putAtMs)
	flags := byte(0)
	if e.deleted {
		flags = 1
	}
	to = append(to, flags)
	for _, text := range []string{i.section, i.key} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = append(to, e.value...)
	body := to[start+recordHeaderSize:]
	byteOrder.PutUint32(to[start:], uint32(len(body)))
	sum := checksum(checksum(0, to[start:start+4]), body)
	byteOrder.PutUint32(to[start+4:], sum)
	return to
}

// decodeRecord reads the record at the start of b and returns its length; 0: there is no intact record.
func decodeRecord(b []byte) (entryID, entry, int) {
	if len(b) < recordHeaderSize {
		return entryID{}, entry{}, 0
	}
	n := int(byteOrder.Uint32(b))
	if n > maxRecordBytes || n > len(b)-recordHeaderSize {
		return entryID{}, entry{}, 0
	}
	body := b[recordHeaderSize : recordHeaderSize+n]
	if checksum(checksum(0, b[:4]), body) != byteOrder.Uint32(b[4:]) {
		return entryID{}, entry{}, 0
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
		return entryID{}, entry{}, 0
	}
	e.putAtMs, e.deleted, body = at, body[k] == 1, body[k+1:]
	for i := range texts {
		size := uvarint()
		if !ok || size > uint64(len(body)) {
			return entryID{}, entry{}, 0
		}
		texts[i], body = strings.Clone(string(body[:size])), body[size:]
	}
	e.value = append([]byte(nil), body...)
	return entryID{texts[0], texts[1]}, e, recordHeaderSize + n
}

// fileContent is the intact part of a file.
type fileContent struct {
	ref         fileRef
	slot        slot // the newest intact slot
	records     []record
	intactBytes int    // length of the intact part
	damage      string // the first fault, with its offset; empty: the file is intact
}

// record is a decoded record.
type record struct {
	entryID
	entry
}

// decodeFile decodes a file and reports damage in the result. An incomplete record after the committed length
// is not damage: its write was in progress when the process ended. The error is errNewerFormat for a file of a
// newer format; a wrong name is an error too.
func decodeFile(name string, raw []byte) (c fileContent, err error) {
	named, ok := parseFileRef(name)
	if !ok {
		return c, fmt.Errorf("%q is not the name of a state file", name)
	}
	c.ref = named
	report := func(format string, args ...any) {
		if c.damage == "" {
			c.damage = fmt.Sprintf(format, args...)
		}
	}
	if len(raw) < recordsOffset {
		report("offset %d: the file ends within its header", len(raw))
		return c, nil
	}
	switch head := raw[:sectorSize]; {
	case !isSealed(head) || string(head[:8]) != magic:
		report("offset 0: the header's checksum is wrong")
	case byteOrder.Uint64(head[8:]) > formatVersion:
		return c, errNewerFormat
	case (fileRef{byteOrder.Uint64(head[16:]), byteOrder.Uint64(head[24:])}) != named:
		report("offset 0: the header is that of another file")
	}
	found := false
	for i := 1; i <= 2; i++ {
		b := raw[i*sectorSize : (i+1)*sectorSize]
		if !isSealed(b) {
			report("offset %d: a slot's checksum is wrong", i*sectorSize)
			continue
		}
		if s := decodeSlot(b); !found || s.sequence > c.slot.sequence {
			c.slot, found = s, true
		}
	}
	c.intactBytes = recordsOffset
	for c.intactBytes < len(raw) {
		i, e, n := decodeRecord(raw[c.intactBytes:])
		if n == 0 {
			break
		}
		c.records = append(c.records, record{i, e})
		c.intactBytes += n
	}
	if uint64(c.intactBytes) < c.slot.length {
		report("offset %d: a record is damaged or missing; %d bytes were committed", c.intactBytes, c.slot.length)
	}
	return c, nil
}
