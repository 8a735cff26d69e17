// Package rules distributes rule sets to all processes of a fleet. A set takes effect at all of them or at
// none. docs/rules.md is its contract; in short:
//
//   - The version in force at a process never decreases, even if the process is started with an older file: its
//     floor is durable before the version is in force.
//   - A version has the same meaning at all processes and never changes it: its digest is fixed by the entry in
//     the voters' log.
//   - A set takes effect only after every present process has read it, has computed the same digest for it and
//     has stored it.
//
// Core is the protocol, with no goroutine, clock or socket; Node runs it on network streams. Processes are
// known by name. Membership, voters, storage and transport are passed in by Config.
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

// Highest is the highest document form that this program reads. A build may set a lower one (-ldflags "-X
// arrowgw/internal/rules.Highest=1") to make an older program for tests of mixed fleets.
var Highest = "2"

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1_000_000

const maxReasonBytes = 1024 // of a refusal's text

// ParseHighestForm returns Highest as a number, or an error if the build has set it to a form that is not
// known.
func ParseHighestForm() (int, error) {
	n, err := strconv.Atoi(Highest)
	if err != nil || n < 1 || n > 2 {
		return 0, fmt.Errorf("rules: the build sets Highest to %q: 1 and 2 are known", Highest)
	}
	return n, nil
}

// Settings are the parts of a process's configuration that documents are read against.
type Settings struct {
	HighestForm int                              // highest form that is read
	Tenants     map[string]int                   // index into Config.Tenants, by name
	Zones       map[string]int                   // number of a zone, by name
	Server      func(id string) balance.ServerID // the server with an id of discovery
	Config      balance.Config                   // values that apply where a document gives none
}

// Set is a document as this process understands it.
type Set struct {
	Version         uint64
	ExcludedMembers []string // members that must not serve under this set, sorted
	Digest          string   // of the effective values, see digest
	Text            []byte   // source of the document
	Rules           balance.Rules
}

// header is the part that documents of all forms have.
type header struct {
	Form    int    `toml:"form"`
	Version uint64 `toml:"version"`
}

// documentForm1 is a document of form 1.
type documentForm1 struct {
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

// documentForm2 is a document of form 2, which adds weights of zones.
type documentForm2 struct {
	Zone []struct {
		Name   string  `toml:"name" need:"yes"`
		Weight float64 `toml:"weight" need:"yes" min:"0" max:"1000"`
	} `toml:"zone"`
	documentForm1
}

// DeclaredVersion returns the version that a document of any form declares; 0: it declares none, or can't be
// read.
func DeclaredVersion(text []byte) uint64 {
	var h header
	if len(text) > MaxDocumentBytes || toml.Unmarshal(text, &h) != nil {
		return 0
	}
	return h.Version
}

// Read parses a document and checks it against s. Unknown keys are errors. Errors name the line, the key and
// the reason.
func Read(text []byte, s Settings) (*Set, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("rules: %d bytes, %d are allowed", len(text), MaxDocumentBytes)
	}
	var h header
	if err := toml.Unmarshal(text, &h); err != nil {
		return nil, conf.Parse("rules", text, &header{}) // it names the line
	}
	var b documentForm2
	var err error
	switch {
	case h.Form < 1:
		return nil, errors.New(`rules:1: key "form" is missing, or below 1`)
	case h.Form > s.HighestForm:
		return nil, fmt.Errorf(`rules:%d: key "form" is %d: this program reads forms up to %d`, max(1, lineOf(text, "form")), h.Form, s.HighestForm)
	case h.Form == 1:
		err = conf.Parse("rules", text, &b.documentForm1)
	default:
		err = conf.Parse("rules", text, &b)
	}
	if err != nil {
		return nil, err
	}
	return b.toSet(text, s)
}

// lineOf returns the line of a key in a document; 0: it has none, or the document can't be read.
func lineOf(text []byte, key string) int {
	lines, err := conf.KeyLines(text)
	if err != nil {
		return 0
	}
	return lines[key]
}

// toSet checks what depends on several keys or on the settings, and returns the set with its digest.
func (b *documentForm2) toSet(text []byte, s Settings) (*Set, error) {
	var problems []error
	fail := func(key, format string, args ...any) {
		if len(problems) < 8 {
			problems = append(problems, fmt.Errorf("rules:%d: key %q %s", max(1, lineOf(text, key)), key, fmt.Sprintf(format, args...)))
		}
	}
	set := &Set{Version: uint64(b.Version), Text: text}
	set.ExcludedMembers = slices.Compact(slices.Sorted(slices.Values(b.Without)))
	r := &set.Rules
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
		if index, ok := s.Tenants[t.Name]; ok && index < len(r.Tenants) {
			r.Tenants[index] = balance.Tenant{Share: t.Share, Quota: t.Quota}
		} else {
			fail(key, "is %q: the settings have no such tenant", t.Name)
		}
	}
	checkWeight := func(key string, weight float64) {
		if weight != 0 && weight < 1.0/balance.MaxWeightMultiple {
			fail(key, "is %v: 0, or at least 1/%d, is allowed", weight, balance.MaxWeightMultiple)
		}
	}
	servers, zones := make(map[string]float64), make(map[string]float64)
	for i, e := range b.Server {
		key := fmt.Sprintf("server[%d].", i)
		once(key+"id", "server ", e.ID)
		checkWeight(key+"weight", e.Weight)
		servers[e.ID] = e.Weight
	}
	for i, z := range b.Zone {
		key := fmt.Sprintf("zone[%d].", i)
		once(key+"name", "zone ", z.Name)
		checkWeight(key+"weight", z.Weight)
		if _, ok := s.Zones[z.Name]; !ok {
			fail(key+"name", "is %q: the settings have no such zone", z.Name)
		}
		zones[z.Name] = z.Weight
	}
	neutral := func(_ string, weight float64) bool { return weight == 1 } // a weight of 1 changes nothing
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
	if len(problems) == 0 {
		if err := r.Check(s.Config); err != nil {
			problems = append(problems, fmt.Errorf("rules:1: the module refuses it: %w", err))
		}
	}
	set.Digest = set.digest(s, servers, zones)
	return set, errors.Join(problems...)
}

// digest returns a hash of the effective values, including those that the settings supply, in a fixed order.
// Documents of the same meaning have the same digest.
func (set *Set) digest(s Settings, servers, zones map[string]float64) string {
	h := sha256.New()
	line := func(key string, values ...any) { // each key is preceded by its length, so that no two sets of values give the same text
		fmt.Fprintf(h, "%d %s", len(key), key)
		for _, v := range values {
			fmt.Fprintf(h, " %v", v)
		}
		fmt.Fprintln(h)
	}
	line("version", set.Version)
	for _, name := range set.ExcludedMembers {
		line("without " + name)
	}
	line("attempts", cmp.Or(set.Rules.MaxAttempts, s.Config.MaxAttempts))
	budget := s.Config.Budget
	if set.Rules.Budget != nil {
		budget = *set.Rules.Budget
	}
	line("retries", time.Duration(budget.Span), budget.Free, budget.Share)
	tenants := set.Rules.Tenants
	if len(tenants) == 0 {
		tenants = s.Config.Tenants
	}
	for _, name := range slices.Sorted(maps.Keys(s.Tenants)) {
		if index := s.Tenants[name]; index < len(tenants) {
			line("tenant "+name, tenants[index].Share, tenants[index].Quota)
		}
	}
	for kind, weights := range []map[string]float64{servers, zones} {
		for _, name := range slices.Sorted(maps.Keys(weights)) {
			line([]string{"server ", "zone "}[kind]+name, weights[name])
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:16])
}

// shortReason shortens a reason for messages and the console: to one line of at most maxReasonBytes.
func shortReason(why string) string {
	why = strings.Join(strings.Fields(why), " ")
	return strings.ToValidUTF8(why[:min(len(why), maxReasonBytes)], "")
}
