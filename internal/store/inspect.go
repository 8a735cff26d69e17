package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"
)

// Inspection is the content of a state folder, which "state export" prints as JSON.
type Inspection struct {
	Files       []FileReport `json:"files"`
	Values      []Value      `json:"values"`
	Damage      []string     `json:"damage,omitempty"`      // found by this inspection
	Unconfirmed string       `json:"unconfirmed,omitempty"` // found by a process earlier, and not confirmed by an operator
	Unreadable  []string     `json:"refused,omitempty"`     // files of a newer program, and files that could not be read
}

// FileReport describes one file. Bytes is the length of its intact part.
type FileReport struct {
	Name      string `json:"name"`
	Records   int    `json:"records"`
	Bytes     int    `json:"bytes"`
	Committed uint64 `json:"committed"`
	Damage    string `json:"damage,omitempty"`
}

// Value is the valid entry of a section and a key.
type Value struct {
	Section string    `json:"section"`
	Key     string    `json:"key"`
	Version uint64    `json:"version"`
	Origin  uint64    `json:"by"` // number of the process that wrote it
	At      time.Time `json:"at"`
	Bytes   []byte    `json:"value"`
}

// Inspect reads a folder and changes nothing. Processes may be using the folder meanwhile.
func Inspect(fsys FS, dir string) (*Inspection, error) {
	names, err := fsys.List(dir)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(names, func(n string) bool { _, ok := parseFileRef(n); return ok }) {
		return nil, fmt.Errorf("%s holds no state", filepath.Clean(dir))
	}
	contents, unread, err := readDir(fsys, dir)
	if err != nil && len(unread) == 0 {
		return nil, err
	}
	in := &Inspection{Unreadable: unread}
	s := &Store{entries: make(map[entryID]entry)}
	for _, c := range contents {
		in.Files = append(in.Files, FileReport{c.ref.fileName(), len(c.records), c.intactBytes, c.slot.length, c.damage})
		if c.damage != "" {
			in.Damage = append(in.Damage, c.ref.fileName()+": "+c.damage)
		}
		for _, r := range c.records {
			s.merge(r.entryID, r.entry)
		}
	}
	in.Damage = append(in.Damage, missingSuccessors(contents)...)
	for i, e := range s.entries {
		switch {
		case e.deleted:
		case i.section == ownSection:
			in.Unconfirmed = string(e.value)
		default:
			in.Values = append(in.Values, Value{i.section, i.key, e.version, e.origin, time.UnixMilli(e.putAtMs).UTC(), e.value})
		}
	}
	slices.SortFunc(in.Values, func(a, b Value) int { return compareIDs(entryID{a.Section, a.Key}, entryID{b.Section, b.Key}) })
	return in, nil
}
