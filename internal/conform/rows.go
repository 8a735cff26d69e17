// Package conform plays tables of conformance: rows of what is given, what happens and what is expected, each with
// the sentences of the operators' pages that it stands for. One runner plays the same rows on the module, on simhost
// by the wire, and on a real caperarch between stand-ins. It serves tests alone; docs/conformance.md tells how rows
// are written and read.
package conform

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"arrowgw/internal/conf"
)

// Subjects are what rows are played on.
var Subjects = []string{"module", "simhost", "caperarch"}

// Server is a server as the list has it, or a change of it.
type Server struct {
	ID              string        `toml:"id"`
	Zone            int           `toml:"zone"`
	State           string        `toml:"state"`
	Weight          float64       `toml:"weight"`
	Started         conf.Duration `toml:"started"` // before the row begins (below 0) or in it; 0: long ago
	Unreachable     bool          `toml:"dead"`    // nobody listens at its address
	HoldConnections bool          `toml:"late"`    // connections to it do not come up before a step says so
}

// Flow is many requests, one after the other.
type Flow struct {
	FirstID     int               `toml:"from"`
	Count       int               `toml:"count"`
	Interval    conf.Duration     `toml:"every"`
	ServiceTime conf.Duration     `toml:"took"`    // by servers, for each
	Tenants     []string          `toml:"tenants"` // in turn
	Endings     map[string]string `toml:"answers"` // by server: how its attempts end, if not served
}

// Want is what is expected of a step: exactly these requests are sent, refused and so on. With a flow, only the counts.
type Want struct {
	Sent             []int            `toml:"sent"`
	Served           []int            `toml:"served"`
	Refused          []int            `toml:"refused"`
	Failed           []int            `toml:"failed"`
	Broken           []int            `toml:"broken"` // caperarch: passed on not whole, and the client can tell
	OnlyServers      []string         `toml:"only"`   // all that is sent goes to these servers
	RetryAfter       string           `toml:"advice"` // yes: each refusal says when to come back; no: none does
	DiscoveryAsked   bool             `toml:"asks"`   // discovery is asked
	RetryAfterVaries bool             `toml:"apart"`  // advices differ from one refusal to the next; on caperarch, with its few decimals, not all are alike
	CountRanges      map[string][]int `toml:"counts"` // least and most of sent, served, refused, failed, or sent to a server by its id
	StatusRange      []int            `toml:"status"` // raw: least and most of the answer's status; 0: closed with none
	ProcessExits     bool             `toml:"ends"`   // the process ends, with exit code 0
}

// Step is one thing that happens, and what is expected of it.
type Step struct {
	At           conf.Duration `toml:"at"` // since the row began, in virtual time; a real process knows only the order
	Requests     []int         `toml:"ask"`
	Class        string        `toml:"class"`
	Tenant       string        `toml:"tenant"`
	TimeLeft     conf.Duration `toml:"left"`
	EndAttempts  []int         `toml:"end"` // their latest attempts end
	Ending       string        `toml:"as"`
	ClientsLeave []int         `toml:"leave"` // their clients quit
	List         string        `toml:"list"`
	Servers      []Server      `toml:"servers"`
	Flow         *Flow         `toml:"flow"`
	Connect      []string      `toml:"up"`        // connections to these late servers come up
	Raw          string        `toml:"raw"`       // caperarch: bytes on a new connection
	Dial         []int         `toml:"dial"`      // caperarch: connections for these come up; they are asked later
	AwaitClosed  bool          `toml:"shut"`      // caperarch: first it has to take no more connections
	Pause        conf.Duration `toml:"pause"`     // caperarch: so much real time passes at least, for a rule that allows no more
	StrayAnswers []int         `toml:"stray"`     // caperarch: a second answer comes on the connections of these requests
	Signal       string        `toml:"signal"`    // caperarch: TERM or HUP
	Discovery    string        `toml:"discovery"` // caperarch: silent, moved, down, up, or stale: it has the list of the row's start again
	Restart      bool          `toml:"restart"`   // caperarch: it is killed, and starts with the state that it has left
	Want         *Want         `toml:"want"`
}

// Row is one line of a table.
type Row struct {
	ID            string            `toml:"id" need:"yes"`
	Sentences     []string          `toml:"for"` // sentences
	Subjects      []string          `toml:"on"`
	Excluded      map[string]string `toml:"not"`  // why a subject is left out
	KnownFailures map[string]string `toml:"open"` // by subject: known to fail, and why
	Settings      map[string]any    `toml:"settings"`
	Servers       []Server          `toml:"servers"`
	CachedServers []Server          `toml:"known"`    // what it is told at its start of the list, where that is old
	IndentedJSON  bool              `toml:"indented"` // discovery's lists come indented
	Steps         []Step            `toml:"step"`
	file          string
}

// Entry is a sentence in the index, in words of our own.
type IndexEntry struct {
	ID          string `toml:"id" need:"yes"`
	Hash        string `toml:"hash" need:"yes"`
	Summary     string `toml:"words" need:"yes"`
	NoRowReason string `toml:"none"` // why it has no row
}

// Tables are all rows and the index.
type Tables struct {
	Settings  map[string]any
	Rows      []Row
	Sentences []IndexEntry
}

// Load reads the folder's files.
func Load(dir string) (*Tables, error) {
	var base struct {
		Settings map[string]any `toml:"settings"`
	}
	var index struct {
		Sentences []IndexEntry `toml:"sentence"`
	}
	err := errors.Join(conf.Read(filepath.Join(dir, "base.toml"), &base), conf.Read(filepath.Join(dir, "sentences.toml"), &index))
	t := &Tables{Settings: base.Settings, Sentences: index.Sentences}
	files, globbed := filepath.Glob(filepath.Join(dir, "rows-*.toml"))
	if err = errors.Join(err, globbed); err != nil {
		return nil, err
	}
	for _, path := range files {
		var f struct {
			Rows []Row `toml:"row"`
		}
		if err := conf.Read(path, &f); err != nil {
			return nil, err
		}
		for i := range f.Rows {
			f.Rows[i].file = filepath.Base(path)
			if err := f.Rows[i].normalize(); err != nil {
				return nil, fmt.Errorf("%s: row %s: %w", path, f.Rows[i].ID, err)
			}
		}
		t.Rows = append(t.Rows, f.Rows...)
	}
	return t, nil
}

// complete fills in what a row may leave out, and says which word of it means nothing.
func (r *Row) normalize() error {
	var errs []error
	word := func(given string, allowed ...string) {
		if !slices.Contains(allowed, given) {
			errs = append(errs, fmt.Errorf("%q is none of %q", given, allowed))
		}
	}
	servers := func(all []Server) {
		for i := range all {
			s := &all[i]
			s.State, s.Weight = cmp.Or(s.State, "ready"), cmp.Or(s.Weight, 1)
			word(s.State, "ready", "draining", "gone")
		}
	}
	for _, on := range r.Subjects {
		word(on, Subjects...)
	}
	servers(r.Servers)
	servers(r.CachedServers)
	for i := range r.Steps {
		s := &r.Steps[i]
		servers(s.Servers)
		s.Class, s.Tenant, s.Ending = cmp.Or(s.Class, "look"), cmp.Or(s.Tenant, "a"), cmp.Or(s.Ending, "served")
		s.TimeLeft = cmp.Or(s.TimeLeft, conf.Duration(20*time.Second))
		word(s.Ending, "served", "error", "full", "timeout", "noconn", "reset", "spoilt", "cut", "twice", "trailed", "halved", "unsaid", "unsaid429", "over", "unproved", "elsewhere", "chunked", "chunked-cut", "closing", "unframed", "stalled", "stuck")
		word(s.List, "", "full", "delta", "failed")
		word(s.Signal, "", "TERM", "HUP")
		word(s.Discovery, "", "silent", "moved", "down", "up", "stale")
		if s.Want != nil {
			word(s.Want.RetryAfter, "", "yes", "no")
			for name, bounds := range s.Want.CountRanges {
				if len(bounds) != 2 {
					errs = append(errs, fmt.Errorf("counts of %s: %v, least and most are needed", name, bounds))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// Check says which row has no sentence, which sentence no row and no reason, and which row does not say of each subject
// whether it is played there.
func (t *Tables) Check() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	rows, known, hashes := make(map[string]bool), make(map[string]bool), make(map[string]string)
	served := make(map[string][]string)
	for _, s := range t.Sentences {
		if known[s.ID] || hashes[s.Hash] != "" {
			fail("sentences: %s stands there twice, or with the hash of %s", s.ID, hashes[s.Hash])
		}
		known[s.ID], hashes[s.Hash] = true, s.ID
	}
	for _, r := range t.Rows {
		if rows[r.ID] {
			fail("%s: row %s stands there twice", r.file, r.ID)
		}
		rows[r.ID] = true
		if len(r.Sentences) == 0 {
			fail("%s: row %s stands for no sentence", r.file, r.ID)
		}
		for _, id := range r.Sentences {
			if !known[id] {
				fail("%s: row %s stands for %s, which is in no page", r.file, r.ID, id)
			}
			served[id] = append(served[id], r.ID)
		}
		for _, s := range Subjects {
			on := slices.Contains(r.Subjects, s)
			if on == (r.Excluded[s] != "") {
				fail("%s: row %s: %s is neither played nor is it said why not, or both", r.file, r.ID, s)
			}
			if !on && r.KnownFailures[s] != "" {
				fail("%s: row %s: open on %s, where it is not played", r.file, r.ID, s)
			}
		}
		if len(r.Subjects) == 0 || !slices.ContainsFunc(r.Steps, func(s Step) bool { return s.Want != nil }) {
			fail("%s: row %s is played nowhere or expects nothing", r.file, r.ID)
		}
	}
	for _, s := range t.Sentences {
		if (len(served[s.ID]) > 0) == (s.NoRowReason != "") {
			fail("sentence %s: rows %v and the reason %q for none: one of them is needed", s.ID, served[s.ID], s.NoRowReason)
		}
	}
	return errors.Join(errs...)
}

// settings are a row's: the base's with its own over them.
func (t *Tables) settingsOf(r Row) map[string]any { return mergeSettings(t.Settings, r.Settings) }

// merge lays one tree over another; lists are taken whole.
func mergeSettings(under, over map[string]any) map[string]any {
	all := maps.Clone(under)
	for key, v := range over {
		a, isA := all[key].(map[string]any)
		b, isB := v.(map[string]any)
		if isA && isB {
			v = mergeSettings(a, b)
		}
		all[key] = v
	}
	return all
}
