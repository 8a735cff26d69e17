// Package conform runs conformance tables: each row gives a setup, steps and expected results, and names the sentences
// of the operators' specification that it checks. The same rows run against the decision module, against simhost over
// the simulator's wire, and against a real caperarch between stand-ins for servers and discovery. The package is used by
// tests only; docs/conformance.md describes how rows are written and read.
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

// Subjects are the implementations that rows can run against.
var Subjects = []string{"module", "simhost", "caperarch"}

// Server is a server's entry in the server list, or a change of the entry.
type Server struct {
	ID              string        `toml:"id"`
	Zone            int           `toml:"zone"`
	State           string        `toml:"state"`
	Weight          float64       `toml:"weight"`
	Started         conf.Duration `toml:"started"` // start time relative to the start of the row, negative if earlier; 0: long ago
	Unreachable     bool          `toml:"dead"`    // no process listens at its address
	HoldConnections bool          `toml:"late"`    // connections to it are not established until a step names it in Connect
}

// Flow is a sequence of requests, each sent after the one before has been answered.
type Flow struct {
	FirstID     int               `toml:"from"`
	Count       int               `toml:"count"`
	Interval    conf.Duration     `toml:"every"`
	ServiceTime conf.Duration     `toml:"took"`    // time that a server takes for each request
	Tenants     []string          `toml:"tenants"` // tenants of successive requests, in turn
	Endings     map[string]string `toml:"answers"` // by server: the ending of its attempts; default: served
}

// Want is the expected result of a step. The lists of request numbers are exact, unless the step has a flow or
// CountRanges, in which case only the latter are checked.
type Want struct {
	Sent             []int            `toml:"sent"`
	Served           []int            `toml:"served"`
	Refused          []int            `toml:"refused"`
	Failed           []int            `toml:"failed"`
	Broken           []int            `toml:"broken"` // caperarch: answered incompletely, in a way that the client can detect
	OnlyServers      []string         `toml:"only"`   // all attempts go to these servers
	RetryAfter       string           `toml:"advice"` // yes: each refusal has a Retry-After; no: none has
	DiscoveryAsked   bool             `toml:"asks"`   // discovery is called at least once
	RetryAfterVaries bool             `toml:"apart"`  // all Retry-After values differ; on caperarch, which rounds them, they are not all equal
	CountRanges      map[string][]int `toml:"counts"` // minimum and maximum of sent, served, refused, failed, or of attempts at a server by its id
	StatusRange      []int            `toml:"status"` // of Raw: minimum and maximum status; a connection closed without an answer passes too
	ProcessExits     bool             `toml:"ends"`   // the process exits with code 0
}

// Step is a set of events, and the expected results. Events of one step happen in the order of runStep. Requests are
// named by numbers that are unique in the row.
type Step struct {
	At           conf.Duration `toml:"at"`        // virtual time since the start of the row; caperarch only keeps the order
	Requests     []int         `toml:"ask"`       // requests that clients make
	Class        string        `toml:"class"`     // class of the new requests
	Tenant       string        `toml:"tenant"`    // tenant of the new requests
	TimeLeft     conf.Duration `toml:"left"`      // time that the new requests have
	EndAttempts  []int         `toml:"end"`       // requests whose latest attempts end
	Ending       string        `toml:"as"`        // how the attempts end
	ClientsLeave []int         `toml:"leave"`     // requests whose clients disconnect
	List         string        `toml:"list"`      // server list update: full, delta or failed
	Servers      []Server      `toml:"servers"`   // entries of the server list update
	Flow         *Flow         `toml:"flow"`      // sequence of requests
	Connect      []string      `toml:"up"`        // servers with HoldConnections whose connections are established now
	Raw          string        `toml:"raw"`       // caperarch: bytes sent on a new connection; "nothing" sends none
	Dial         []int         `toml:"dial"`      // caperarch: requests whose connections are established before they are made
	AwaitClosed  bool          `toml:"shut"`      // caperarch: first wait until new connections are refused
	Pause        conf.Duration `toml:"pause"`     // caperarch: minimum real time that passes, for rules with an upper time limit
	StrayAnswers []int         `toml:"stray"`     // caperarch: requests on whose connections a second answer arrives
	Signal       string        `toml:"signal"`    // caperarch: TERM or HUP
	Discovery    string        `toml:"discovery"` // caperarch: silent, moved, down, up, or stale (serves the row's initial list again)
	Restart      bool          `toml:"restart"`   // caperarch: the process is killed and started again with its stored state
	Want         *Want         `toml:"want"`      // nil: nothing is checked
}

// Row is one conformance test.
type Row struct {
	ID            string            `toml:"id" need:"yes"`
	Sentences     []string          `toml:"for"`      // ids of the sentences that the row checks
	Subjects      []string          `toml:"on"`       // subjects that the row runs against
	Excluded      map[string]string `toml:"not"`      // by subject: why the row does not run against it
	KnownFailures map[string]string `toml:"open"`     // by subject: why the row fails there
	Settings      map[string]any    `toml:"settings"` // overrides of Tables.Settings
	Servers       []Server          `toml:"servers"`  // server list at the start of the row
	CachedServers []Server          `toml:"known"`    // older list that the subject starts with; default: Servers
	IndentedJSON  bool              `toml:"indented"` // whether discovery answers with indented JSON
	Steps         []Step            `toml:"step"`
	file          string            // name of the table's file
}

// IndexEntry is the entry of a specification's sentence in the index.
type IndexEntry struct {
	ID          string `toml:"id" need:"yes"`
	Hash        string `toml:"hash" need:"yes"`  // see Sentence.Hash
	Summary     string `toml:"words" need:"yes"` // the sentence in different words
	NoRowReason string `toml:"none"`             // why no row checks the sentence; empty if a row does
}

// Tables holds all rows, their common settings and the index of sentences.
type Tables struct {
	Settings  map[string]any
	Rows      []Row
	Sentences []IndexEntry
}

// Load reads base.toml, sentences.toml and all rows-*.toml of a directory.
func Load(dir string) (*Tables, error) {
	var base struct {
		Settings map[string]any `toml:"settings"`
	}
	var index struct {
		Sentences []IndexEntry `toml:"sentence"`
	}
	err := errors.Join(conf.Read(filepath.Join(dir, "base.toml"), &base), conf.Read(filepath.Join(dir, "sentences.toml"), &index))
	t := &Tables{Settings: base.Settings, Sentences: index.Sentences}
	files, globErr := filepath.Glob(filepath.Join(dir, "rows-*.toml"))
	if err = errors.Join(err, globErr); err != nil {
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

// normalize sets the defaults of a row's optional fields, and returns an error for each value that is not allowed.
func (r *Row) normalize() error {
	var errs []error
	checkValue := func(value string, allowed ...string) {
		if !slices.Contains(allowed, value) {
			errs = append(errs, fmt.Errorf("%q is not one of %q", value, allowed))
		}
	}
	setServerDefaults := func(all []Server) {
		for i := range all {
			s := &all[i]
			s.State, s.Weight = cmp.Or(s.State, "ready"), cmp.Or(s.Weight, 1)
			checkValue(s.State, "ready", "draining", "gone")
		}
	}
	for _, on := range r.Subjects {
		checkValue(on, Subjects...)
	}
	setServerDefaults(r.Servers)
	setServerDefaults(r.CachedServers)
	for i := range r.Steps {
		s := &r.Steps[i]
		setServerDefaults(s.Servers)
		s.Class, s.Tenant, s.Ending = cmp.Or(s.Class, "look"), cmp.Or(s.Tenant, "a"), cmp.Or(s.Ending, "served")
		s.TimeLeft = cmp.Or(s.TimeLeft, conf.Duration(20*time.Second))
		checkValue(s.Ending, "served", "error", "full", "timeout", "noconn", "reset", "spoilt", "cut", "twice", "trailed", "halved", "unsaid", "unsaid429", "over", "unproved", "elsewhere", "chunked", "chunked-cut", "closing", "unframed", "stalled", "stuck")
		checkValue(s.List, "", "full", "delta", "failed")
		checkValue(s.Signal, "", "TERM", "HUP")
		checkValue(s.Discovery, "", "silent", "moved", "down", "up", "stale")
		if s.Want != nil {
			checkValue(s.Want.RetryAfter, "", "yes", "no")
			for name, bounds := range s.Want.CountRanges {
				if len(bounds) != 2 {
					errs = append(errs, fmt.Errorf("counts of %s: %v, want a minimum and a maximum", name, bounds))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// Check returns an error for each row that names no sentence, each sentence without a row or a reason, each row that
// neither runs against a subject nor explains why, and similar defects of the tables.
func (t *Tables) Check() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	rows, known, hashes := make(map[string]bool), make(map[string]bool), make(map[string]string)
	rowsOf := make(map[string][]string)
	for _, s := range t.Sentences {
		if known[s.ID] || hashes[s.Hash] != "" {
			fail("sentences: %s is duplicated, or has the same hash as %q", s.ID, hashes[s.Hash])
		}
		known[s.ID], hashes[s.Hash] = true, s.ID
	}
	for _, r := range t.Rows {
		if rows[r.ID] {
			fail("%s: row %s is duplicated", r.file, r.ID)
		}
		rows[r.ID] = true
		if len(r.Sentences) == 0 {
			fail("%s: row %s names no sentence", r.file, r.ID)
		}
		for _, id := range r.Sentences {
			if !known[id] {
				fail("%s: row %s names sentence %s, which is not in the index", r.file, r.ID, id)
			}
			rowsOf[id] = append(rowsOf[id], r.ID)
		}
		for _, s := range Subjects {
			on := slices.Contains(r.Subjects, s)
			if on == (r.Excluded[s] != "") {
				fail("%s: row %s: want %s either in \"on\" or, with a reason, in \"not\"", r.file, r.ID, s)
			}
			if !on && r.KnownFailures[s] != "" {
				fail("%s: row %s: known failure on %s, against which it does not run", r.file, r.ID, s)
			}
		}
		if len(r.Subjects) == 0 || !slices.ContainsFunc(r.Steps, func(s Step) bool { return s.Want != nil }) {
			fail("%s: row %s runs against no subject or checks nothing", r.file, r.ID)
		}
	}
	for _, s := range t.Sentences {
		if (len(rowsOf[s.ID]) > 0) == (s.NoRowReason != "") {
			fail("sentence %s: want either a row or a reason why it has none, got rows %v and reason %q", s.ID, rowsOf[s.ID], s.NoRowReason)
		}
	}
	return errors.Join(errs...)
}

// settingsOf returns the settings of a row: the common settings with the row's overrides.
func (t *Tables) settingsOf(r Row) map[string]any { return mergeSettings(t.Settings, r.Settings) }

// mergeSettings merges two trees of settings. Values in over take precedence, and lists are replaced as a whole.
func mergeSettings(base, over map[string]any) map[string]any {
	all := maps.Clone(base)
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
