package sidecar

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"arrowgw/internal/balance"
)

// Versions of the list only move forward (docs/list.md). If discovery restarts with lower versions, a new epoch begins.
const (
	resetMinAge     = 6 * time.Second // discovery counts as restarted once all answers have been older than the list held for this long
	resetMinAnswers = 3               // minimum number of such answers; the last of them has to be a whole list
	resetClockSkew  = 5 * time.Second // a list with a server that started more than this after a version was received is newer than that version
	carryOverTime   = time.Minute     // how long after an epoch begins the removals recorded in earlier ones stay in force
	maxGoneServers  = 256             // removed servers that are remembered
)

// removal records that a server was announced draining or gone. Times are since the Unix epoch.
type removal struct {
	recordedAt time.Duration // when the announcement arrived
	started    time.Duration // the server's last known start; a later start makes it ready again
}

// entry is a listed server, as of the version in force.
type entry struct {
	balance.Server
	address string
	raw     json.RawMessage
}

// serverList is the state of the server list as a sidecar knows it. Versions can be compared within an epoch, which
// begins with each new source and each restart of discovery. Calls must not be concurrent.
type serverList struct {
	source          string        // discovery's address
	epoch           int64         // number of the epoch; of two lists of a sidecar the one with the higher epoch is newer
	version         int64         // highest version applied in this epoch, or unknownVersion
	previousVersion int64         // highest version of the source's earlier epochs, or unknownVersion
	versionAt       time.Duration // when version was first received
	complete        bool          // entries are those of version; otherwise the whole list is needed

	entries      map[balance.ServerID]entry
	withheld     map[balance.ServerID]int64   // ready in the list held but not in another answer: draining until a list of at least this version
	gone         map[balance.ServerID]removal // recently announced gone
	carriedOver  map[balance.ServerID]removal // removed in an earlier epoch: draining until a change in this one
	carriedUntil time.Duration                // when carriedOver expires

	reset struct { // older answers that suggest a restart of discovery
		suspected, sawWholeList bool          // there are such answers; one of them was a whole list
		version                 int64         // highest version among them
		answers                 int           // answers of at least the version that was the highest at their time
		firstAt, lastAt         time.Duration // when the first of answers arrived, and the last
	}
}

// newServerList returns an empty list of a source.
func newServerList(source string) *serverList {
	return &serverList{
		source: source, version: unknownVersion, previousVersion: unknownVersion, entries: make(map[balance.ServerID]entry),
		withheld: make(map[balance.ServerID]int64), gone: make(map[balance.ServerID]removal), carriedOver: make(map[balance.ServerID]removal),
	}
}

// canWatch reports whether the next call may ask for changes only; otherwise the whole list is needed.
func (v *serverList) canWatch() bool {
	for _, until := range v.withheld {
		if until <= v.version {
			return false
		}
	}
	return v.version != unknownVersion && v.complete && !v.reset.suspected
}

// watchDuringReset returns the version from which changes are to be watched while a restart is suspected but too recent to
// be decided by another whole list. ok reports whether that is so.
func (v *serverList) watchDuringReset(now time.Duration) (since int64, ok bool) {
	r := &v.reset
	return r.version, r.suspected && r.sawWholeList && v.complete && now-r.firstAt < resetMinAge
}

// apply applies an answer and returns the changes for the module: the answer itself, except that a removed server
// does not become ready again too early. An answer older than version can only withhold servers; older is then true.
func (v *serverList) apply(l listing, now time.Duration) (changes listing, older bool) {
	if v.version != unknownVersion && l.version < v.version {
		if !v.confirmReset(l, now) {
			return v.withhold(l, v.version), true
		}
		slog.Warn("discovery has begun anew", "from", v.version, "to", l.version, "words", v.reset.answers)
		v.startEpoch(now)
	}
	if l.version > v.version || v.version == unknownVersion {
		v.versionAt = now
	}
	v.version, v.complete = l.version, v.complete || l.whole
	v.reset.suspected = false
	before := v.entries
	if l.whole {
		v.entries = make(map[balance.ServerID]entry, len(l.servers))
	}
	changes = listing{version: l.version, whole: l.whole, addresses: l.addresses, rawEntries: l.rawEntries}
	for _, s := range l.servers {
		raw := l.rawEntries[s.ID]
		if started := max(before[s.ID].Started, v.gone[s.ID].started, v.carriedOver[s.ID].started); s.Started < started {
			s.Started, raw = started, withStartTime(raw, started) // an ID's start time never goes back
		}
		if !l.whole || s.State != balance.Ready {
			delete(v.carriedOver, s.ID) // a change made in this epoch
		}
		if v.withheld[s.ID] <= l.version {
			delete(v.withheld, s.ID)
		}
		if s.State == balance.Gone {
			v.rememberGone(s.ID, before[s.ID], now)
			delete(v.entries, s.ID)
		} else {
			v.entries[s.ID] = entry{s, l.addresses[s.ID], raw}
			delete(v.gone, s.ID)
		}
		s.State = v.effectiveState(s)
		changes.servers = append(changes.servers, s)
	}
	if l.whole {
		maps.DeleteFunc(v.withheld, func(_ balance.ServerID, until int64) bool { return until <= l.version })
		for id, e := range before {
			if _, listed := v.entries[id]; !listed {
				v.rememberGone(id, e, now)
			}
		}
	}
	if len(v.carriedOver) > 0 && now >= v.carriedUntil { // from now on the list alone decides
		expired := v.carriedOver
		v.carriedOver = make(map[balance.ServerID]removal)
		v.addListed(&changes, slices.Sorted(maps.Keys(expired)))
	}
	return changes, false
}

// effectiveState returns the state of an entry for the module: a withheld or carried over server counts as draining.
func (v *serverList) effectiveState(s balance.Server) balance.State {
	_, withheld := v.withheld[s.ID]
	if h, carried := v.carriedOver[s.ID]; s.State == balance.Ready && (withheld || carried && s.Started <= h.started) {
		return balance.Draining
	}
	return s.State
}

// addListed adds servers to the changes, in the state that the list gives them.
func (v *serverList) addListed(changes *listing, ids []balance.ServerID) {
	index := make(map[balance.ServerID]int, len(changes.servers))
	for i, s := range changes.servers {
		index[s.ID] = i
	}
	addresses := make(map[balance.ServerID]string)
	maps.Copy(addresses, changes.addresses)
	for _, id := range ids {
		e, listed := v.entries[id]
		if i, included := index[id]; listed && included {
			changes.servers[i].State = e.State
		} else if listed {
			changes.servers = append(changes.servers, e.Server)
			addresses[id] = e.address
		}
	}
	changes.addresses = addresses
}

// rememberGone records that a server is gone. Above maxGoneServers the oldest records are dropped.
func (v *serverList) rememberGone(id balance.ServerID, e entry, now time.Duration) {
	if _, known := v.gone[id]; known {
		return
	}
	v.gone[id] = removal{now, max(e.Started, v.carriedOver[id].started)}
	for len(v.gone) > maxGoneServers {
		delete(v.gone, slices.MinFunc(slices.Sorted(maps.Keys(v.gone)), func(a, b balance.ServerID) int {
			return cmp.Compare(v.gone[a].recordedAt, v.gone[b].recordedAt)
		}))
	}
}

// withhold marks as draining the ready servers that are draining or gone in another answer, and returns them. They stay
// so until a list of version until or later names them or is a whole list.
func (v *serverList) withhold(l listing, until int64) listing {
	changes := listing{version: v.version, addresses: make(map[balance.ServerID]string)}
	states := make(map[balance.ServerID]balance.State, len(l.servers))
	for _, s := range l.servers {
		states[s.ID] = s.State
	}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		state, named := states[id]
		if e.State != balance.Ready || named && state == balance.Ready || !named && !l.whole {
			continue
		}
		_, already := v.withheld[id]
		if v.withheld[id] = max(v.withheld[id], until); !already {
			e.State = balance.Draining
			changes.servers = append(changes.servers, e.Server)
			changes.addresses[id] = e.address
		}
	}
	return changes
}

// applyOtherProcess applies the stored list of the other process of an upgrade if it is a newer version of the same epoch:
// servers that are not ready in it are withheld here until this process receives that version.
func (v *serverList) applyOtherProcess(saved savedList, l listing) listing {
	if saved.Source != v.source || saved.Epoch != v.epoch || v.version == unknownVersion || l.version <= v.version {
		return listing{}
	}
	l.whole = !saved.Short
	return v.withhold(l, l.version)
}

// confirmReset evaluates an answer older than version. It reports whether discovery has restarted, as opposed to the answer
// being stale.
func (v *serverList) confirmReset(l listing, now time.Duration) bool {
	r := &v.reset
	if !r.suspected || now < r.lastAt || l.version < r.version && now-r.lastAt >= resetMinAge {
		r.suspected, r.sawWholeList, r.version, r.answers, r.firstAt, r.lastAt = true, false, l.version, 0, now, now
	}
	if l.version < r.version {
		return false
	}
	r.version, r.lastAt, r.answers = l.version, now, r.answers+1
	r.sawWholeList = r.sawWholeList || l.whole
	if !l.whole {
		return false
	}
	for _, s := range l.servers {
		if v.versionAt > 0 && s.Started > v.versionAt+resetClockSkew && s.Started <= now+resetClockSkew {
			return true // version can't be newer than this list
		}
	}
	return r.answers >= resetMinAnswers && now-r.firstAt >= resetMinAge
}

// startEpoch begins an epoch. Its versions are not comparable with earlier ones, and servers removed in those stay
// draining for carryOverTime.
func (v *serverList) startEpoch(now time.Duration) {
	v.previousVersion = max(v.previousVersion, v.version)
	v.epoch, v.version, v.versionAt, v.complete, v.carriedUntil = v.epoch+1, unknownVersion, 0, false, now+carryOverTime
	clear(v.withheld)
	maps.Copy(v.carriedOver, v.gone)
	for id, e := range v.entries {
		if _, known := v.carriedOver[id]; e.State == balance.Draining && !known {
			v.carriedOver[id] = removal{now, e.Started}
		}
	}
}

// setSource switches to another address of discovery and begins an epoch if it differs from the current one.
func (v *serverList) setSource(source string, now time.Duration) {
	if source != v.source {
		v.startEpoch(now)
		v.source, v.previousVersion = source, unknownVersion
	}
}

// useOlderList continues with a list older than version, as the complete list of version is not available. Servers that
// are known not to be ready as of version are withheld. If short is true, only the servers that are not ready as of
// version are known.
func (v *serverList) useOlderList(older listing, short bool) {
	newer := v.entries
	v.entries, v.complete = make(map[balance.ServerID]entry), false
	for _, s := range older.servers {
		if s.State == balance.Gone {
			continue
		}
		v.entries[s.ID] = entry{s, older.addresses[s.ID], older.rawEntries[s.ID]}
		if e, listed := newer[s.ID]; listed && e.State != balance.Ready || !listed && !short {
			v.withheld[s.ID] = v.version
		}
	}
}

// effectiveListing returns the whole list in the states that apply to the module.
func (v *serverList) effectiveListing() listing {
	l := listing{version: v.version, whole: true, addresses: make(map[balance.ServerID]string)}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		e.State = v.effectiveState(e.Server)
		l.servers = append(l.servers, e.Server)
		l.addresses[id] = e.address
	}
	return l
}

// withStartTime returns a list entry with another start time.
func withStartTime(raw json.RawMessage, started time.Duration) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return raw // can't happen: the entry was parsed before
	}
	maps.DeleteFunc(fields, func(name string, _ json.RawMessage) bool { return strings.EqualFold(name, "startedAtMs") })
	ms := float64(started) / float64(time.Millisecond)
	for time.Duration(ms*float64(time.Millisecond)) < started { // so that parsing yields at least started
		ms = math.Nextafter(ms, math.Inf(1))
	}
	fields["startedAtMs"], _ = json.Marshal(ms) // a finite number always marshals
	changed, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return changed
}
