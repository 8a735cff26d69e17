package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"
)

// Inspection is what a folder holds, as a reader finds it that changes nothing.
type Inspection struct {
	Files       []FileReport `json:"files"`
	Values      []Value      `json:"values"`
	Damage      []string     `json:"damage,omitempty"`      // found now
	Unconfirmed string       `json:"unconfirmed,omitempty"` // found before, and not confirmed yet
	Unreadable  []string     `json:"refused,omitempty"`     // files of a newer program
}

// FileReport is one file.
type FileReport struct {
	Name      string `json:"name"`
	Records   int    `json:"records"`
	Bytes     int    `json:"bytes"`
	Committed uint64 `json:"committed"`
	Damage    string `json:"damage,omitempty"`
}

// Value is what holds under a section and a key.
type Value struct {
	Section string    `json:"section"`
	Key     string    `json:"key"`
	Version uint64    `json:"version"`
	Origin  uint64    `json:"by"` // the number of the process that put it
	At      time.Time `json:"at"`
	Bytes   []byte    `json:"value"`
}

// Inspect reads a folder, also one that a process is at work in, and changes nothing.
func Inspect(disk FS, dir string) (*Inspection, error) {
	names, err := disk.List(dir)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(names, func(n string) bool { _, ok := parseRef(n); return ok }) {
		return nil, fmt.Errorf("%s holds no state", filepath.Clean(dir))
	}
	contents, unread, err := readFolder(disk, dir)
	if err != nil && len(unread) == 0 {
		return nil, err
	}
	in := &Inspection{Unreadable: unread}
	s := &Store{entries: make(map[id]entry)}
	for _, c := range contents {
		in.Files = append(in.Files, FileReport{c.ref.name(), len(c.records), c.end, c.slot.length, c.damage})
		if c.damage != "" {
			in.Damage = append(in.Damage, c.ref.name()+": "+c.damage)
		}
		for _, r := range c.records {
			s.merge(r.id, r.entry)
		}
	}
	in.Damage = append(in.Damage, missing(contents)...)
	for i, e := range s.entries {
		switch {
		case e.gone:
		case i.section == internal:
			in.Unconfirmed = string(e.value)
		default:
			in.Values = append(in.Values, Value{i.section, i.key, e.version, e.origin, time.UnixMilli(e.at).UTC(), e.value})
		}
	}
	slices.SortFunc(in.Values, func(a, b Value) int { return byName(id{a.Section, a.Key}, id{b.Section, b.Key}) })
	return in, nil
}
