// Package rules brings a set of rules into force at all of a fleet's processes, or at none. docs/rules.md is its contract; in short:
//
//   - The version in force at a process never goes down, whatever it is started with; its floor is durable before it is in force.
//   - One version has one meaning, at all processes and for ever: the voters' log (Register) has agreed on it.
//   - A set is in force nowhere before each present process has read it, means the same by it, and has it stored.
//
// Core has the protocol, with no goroutine, clock or socket; Node runs it on streams. It knows processes by name, and reaches what is around
// it by what it is given.
package rules

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"arrowgw/internal/balance"
	"arrowgw/internal/conf"
)

// Highest is the highest form that this program reads. A build may set another (-ldflags "-X arrowgw/internal/rules.Highest=1"): an older
// program, to be played beside this one.
var Highest = "2"

// MaxDocumentBytes is the size of a document in bytes at most.
const MaxDocumentBytes = 1_000_000

const reasonMost = 1024 // bytes of a reason

// ParseHighestForm is the highest form as a number, or why there is none.
func ParseHighestForm() (int, error) {
	n, err := strconv.Atoi(Highest)
	if err != nil || n < 1 || n > 2 {
		return 0, fmt.Errorf("rules: the build sets Highest to %q: 1 or 2 is known", Highest)
	}
	return n, nil
}

// Settings are what a set is read against: what a process began with.
type Settings struct {
	HighestForm int            // the highest form that is read
	Tenants     map[string]int // the tenants' places in Config, by name
	Zones       map[string]int
	Server      func(id string) balance.ServerID
	Config      balance.Config
}

// Set is a document as a process understands it.
type Set struct {
	Version         uint64
	ExcludedMembers []string // members that serve nothing under it
	Digest          string   // of the meaning
	Text            []byte
	Rules           balance.Rules
}

// head is what all forms have.
type head struct {
	Form    int    `toml:"form"`
	Version uint64 `toml:"version"`
}

// body1 is a document of form 1.
type body1 struct {
	Form     int      `toml:"form" need:"yes"`
	Version  int64    `toml:"version" need:"yes" min:"1"`
	Without  []string `toml:"without"`
	Attempts int      `toml:"attempts" default:"0" min:"0"`
	Retries  struct {
		Span  conf.Duration `toml:"span" min:"0s" max:"1h"`
		Free  float64       `toml:"free" min:"0"`
		Share float64       `toml:"share" min:"0"`
	} `toml:"retries"`
	Tenant []struct {
		Name  string  `toml:"name" need:"yes"`
		Share float64 `toml:"share" need:"yes" min:"0"`
		Quota float64 `toml:"quota" min:"0"`
	} `toml:"tenant"`
	Server []struct {
		ID     string  `toml:"id" need:"yes"`
		Weight float64 `toml:"weight" need:"yes" min:"0" max:"1000"`
	} `toml:"server"`
}

// body2 is a document of form 2: it has weights of zones.
type body2 struct {
	Zone []struct {
		Name   string  `toml:"name" need:"yes"`
		Weight float64 `toml:"weight" need:"yes" min:"0" max:"1000"`
	} `toml:"zone"`
	body1
}

// Version is what a text says of its version, in whatever form; 0: nothing.
func Version(text []byte) uint64 {
	var h head
	if len(text) > MaxDocumentBytes || toml.Unmarshal(text, &h) != nil {
		return 0
	}
	return h.Version
}

// Read reads a document, strictly. Errors name the line, the key and the reason.
func Read(text []byte, s Settings) (*Set, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("rules: %d bytes, %d are allowed", len(text), MaxDocumentBytes)
	}
	var h head
	if err := toml.Unmarshal(text, &h); err != nil {
		return nil, conf.Parse("rules", text, &head{}) // which says where
	}
	var b body2
	var err error
	switch {
	case h.Form < 1:
		return nil, errors.New(`rules:1: key "form" is missing, or below 1`)
	case h.Form > s.HighestForm:
		return nil, fmt.Errorf(`rules:%d: key "form" is %d: this program reads forms up to %d`, max(1, lineOf(text, "form")), h.Form, s.HighestForm)
	case h.Form == 1:
		err = conf.Parse("rules", text, &b.body1)
	default:
		err = conf.Parse("rules", text, &b)
	}
	if err != nil {
		return nil, err
	}
	return b.set(text, s)
}

func lineOf(text []byte, key string) int {
	lines, err := conf.KeyLines(text)
	if err != nil {
		return 0
	}
	return lines[key]
}

// set finds what no single key can be blamed for, and makes the meaning.
func (b *body2) set(text []byte, s Settings) (*Set, error) {
	var bad []error
	fail := func(key, format string, args ...any) {
		if len(bad) < 8 {
			bad = append(bad, fmt.Errorf("rules:%d: key %q %s", max(1, lineOf(text, key)), key, fmt.Sprintf(format, args...)))
		}
	}
	out := &Set{Version: uint64(b.Version), Text: text}
	out.ExcludedMembers = slices.Compact(slices.Sorted(slices.Values(b.Without)))
	r := &out.Rules
	if r.MaxAttempts = b.Attempts; b.Attempts > s.Config.MaxAttempts {
		fail("attempts", "is %d: the settings allow %d", b.Attempts, s.Config.MaxAttempts)
	}
	if b.Retries.Span > 0 {
		r.Budget = &balance.RetryBudget{Span: b.Retries.Span.Std(), Free: b.Retries.Free, Share: b.Retries.Share}
	} else if b.Retries.Free != 0 || b.Retries.Share != 0 {
		fail("retries", "has no span")
	}
	if len(b.Tenant) > 0 {
		r.Tenants = slices.Clone(s.Config.Tenants)
	}
	seen := make(map[string]bool)
	once := func(key, kind, name string) {
		if seen[kind+name] {
			fail(key, "names %q again", name)
		}
		seen[kind+name] = true
	}
	for i, t := range b.Tenant {
		key := fmt.Sprintf("tenant[%d].name", i)
		once(key, "tenant ", t.Name)
		if place, ok := s.Tenants[t.Name]; ok && place < len(r.Tenants) {
			r.Tenants[place] = balance.Tenant{Share: t.Share, Quota: t.Quota}
		} else {
			fail(key, "is %q: the settings have no such tenant", t.Name)
		}
	}
	multiple := func(key string, weight float64) {
		if weight != 0 && weight < 1.0/balance.MaxWeightMultiple {
			fail(key, "is %v: 0, or 1/%d at the least", weight, balance.MaxWeightMultiple)
		}
	}
	servers, zones := make(map[string]float64), make(map[string]float64)
	for i, e := range b.Server {
		key := fmt.Sprintf("server[%d].", i)
		once(key+"id", "server ", e.ID)
		multiple(key+"weight", e.Weight)
		servers[e.ID] = e.Weight
	}
	for i, z := range b.Zone {
		key := fmt.Sprintf("zone[%d].", i)
		once(key+"name", "zone ", z.Name)
		multiple(key+"weight", z.Weight)
		if _, ok := s.Zones[z.Name]; !ok {
			fail(key+"name", "is %q: the settings have no such zone", z.Name)
		}
		zones[z.Name] = z.Weight
	}
	neutral := func(_ string, weight float64) bool { return weight == 1 } // it changes nothing
	maps.DeleteFunc(servers, neutral)
	maps.DeleteFunc(zones, neutral)
	for id, weight := range servers {
		if r.Servers == nil {
			r.Servers = make(map[balance.ServerID]float64)
		}
		r.Servers[s.Server(id)] = weight
	}
	for name, weight := range zones {
		if r.Zones == nil {
			r.Zones = make(map[int]float64)
		}
		r.Zones[s.Zones[name]] = weight
	}
	if len(bad) == 0 {
		if err := r.Check(s.Config); err != nil {
			bad = append(bad, fmt.Errorf("rules:1: the module refuses it: %w", err))
		}
	}
	out.Digest = out.meaning(s, servers, zones)
	return out, errors.Join(bad...)
}

// meaning is the digest of the effective values: what the process would act on, the settings' own values included, in one order.
func (o *Set) meaning(s Settings, servers, zones map[string]float64) string {
	h := sha256.New()
	line := func(key string, values ...any) { // lengths first, so that no two meanings have one text
		fmt.Fprintf(h, "%d %s", len(key), key)
		for _, v := range values {
			fmt.Fprintf(h, " %v", v)
		}
		fmt.Fprintln(h)
	}
	line("version", o.Version)
	for _, name := range o.ExcludedMembers {
		line("without " + name)
	}
	line("attempts", cmp.Or(o.Rules.MaxAttempts, s.Config.MaxAttempts))
	budget := s.Config.Budget
	if o.Rules.Budget != nil {
		budget = *o.Rules.Budget
	}
	line("retries", time.Duration(budget.Span), budget.Free, budget.Share)
	tenants := o.Rules.Tenants
	if len(tenants) == 0 {
		tenants = s.Config.Tenants
	}
	for _, name := range slices.Sorted(maps.Keys(s.Tenants)) {
		if place := s.Tenants[name]; place < len(tenants) {
			line("tenant "+name, tenants[place].Share, tenants[place].Quota)
		}
	}
	for kind, weights := range []map[string]float64{servers, zones} {
		for _, name := range slices.Sorted(maps.Keys(weights)) {
			line([]string{"server ", "zone "}[kind]+name, weights[name])
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:16])
}

// short is a reason as it travels and is shown: on one line, and bounded.
func short(why string) string {
	why = strings.Join(strings.Fields(why), " ")
	return strings.ToValidUTF8(why[:min(len(why), reasonMost)], "")
}
