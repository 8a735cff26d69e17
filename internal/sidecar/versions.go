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

// Versions of the list only move forward (docs/list.md).
const (
	resetMinAge     = 6 * time.Second // older words alone for so long, and
	resetMinAnswers = 3               // so many of them, the last of them whole: discovery has begun anew
	resetClockSkew  = 5 * time.Second // a server that started so long after a version was heard of is proof that what lists it came later
	carryOverTime   = time.Minute     // a drain known before outlives the first list of another line by so long
	maxGoneServers  = 256             // servers that are remembered to be gone
)

// removal is what is remembered of a server that was told draining or gone. Times are since the Unix epoch.
type removal struct {
	at      time.Duration // when it was told
	started time.Duration // its last start then; one that started later is another
}

// entry is one line of the list, as of the version that is acted on.
type entry struct {
	balance.Server
	address string
	raw     json.RawMessage
}

// serverList is what a sidecar knows of the list. Versions can be compared within a line: that of one source, until it
// begins anew. Whoever uses it keeps to one call at a time.
type serverList struct {
	source          string // discovery's address
	epoch           int64  // grows with each source and each beginning; of two words of a node the one of the higher line is newer
	version         int64  // the highest version acted on in this line, or unknown
	previousVersion int64  // the highest of this source's earlier lines, or unknown
	versionAt       time.Duration
	complete        bool // entries are those of top; otherwise the whole list is needed

	entries      map[balance.ServerID]entry
	withheld     map[balance.ServerID]int64   // ready as of top, and out by another word: until a list of this version
	gone         map[balance.ServerID]removal // told gone lately
	carriedOver  map[balance.ServerID]removal // out by the word of an earlier line, until it has a word of its own
	carriedUntil time.Duration                // no longer than this

	suspectedReset struct { // whether discovery has begun anew
		open, whole bool          // whole: one of the older words was
		top         int64         // the highest of them
		words       int           // that were not older still
		since, last time.Duration // of the first of them, and of the last that was not older still
	}
}

func newVersions(source string) *serverList {
	return &serverList{
		source: source, version: unknownVersion, previousVersion: unknownVersion, entries: make(map[balance.ServerID]entry),
		withheld: make(map[balance.ServerID]int64), gone: make(map[balance.ServerID]removal), carriedOver: make(map[balance.ServerID]removal),
	}
}

// canWatch says that changes are enough; otherwise the whole list is needed.
func (v *serverList) canWatch() bool {
	for _, until := range v.withheld {
		if until <= v.version {
			return false
		}
	}
	return v.version != unknownVersion && v.complete && !v.suspectedReset.open
}

// resetWatchVersion says that changes to older words are enough for now: since this version, until it is time to judge by a whole list.
func (v *serverList) resetWatchVersion(now time.Duration) (since int64, yes bool) {
	d := &v.suspectedReset
	return d.top, d.open && d.whole && v.complete && now-d.since < resetMinAge
}

// apply takes an answer, and returns what is to be acted on: the answer as it is, but for what may not go back. An
// answer that is older than what is acted on takes servers away, and returns none (older).
func (v *serverList) apply(l listing, now time.Duration) (news listing, older bool) {
	if v.version != unknownVersion && l.version < v.version {
		if !v.confirmReset(l, now) {
			return v.withhold(l, v.version), true
		}
		slog.Warn("discovery has begun anew", "from", v.version, "to", l.version, "words", v.suspectedReset.words)
		v.startEpoch(now)
	}
	if l.version > v.version || v.version == unknownVersion {
		v.versionAt = now
	}
	v.version, v.complete = l.version, v.complete || l.whole
	v.suspectedReset.open = false
	was := v.entries
	if l.whole {
		v.entries = make(map[balance.ServerID]entry, len(l.servers))
	}
	news = listing{version: l.version, whole: l.whole, addresses: l.addresses, rawEntries: l.rawEntries}
	for _, s := range l.servers {
		raw := l.rawEntries[s.ID]
		if started := max(was[s.ID].Started, v.gone[s.ID].started, v.carriedOver[s.ID].started); s.Started < started {
			s.Started, raw = started, withStartTime(raw, started) // the start of one id never goes back
		}
		if !l.whole || s.State != balance.Ready {
			delete(v.carriedOver, s.ID) // a change told in this line
		}
		if v.withheld[s.ID] <= l.version {
			delete(v.withheld, s.ID)
		}
		if s.State == balance.Gone {
			v.rememberGone(s.ID, was[s.ID], now)
			delete(v.entries, s.ID)
		} else {
			v.entries[s.ID] = entry{s, l.addresses[s.ID], raw}
			delete(v.gone, s.ID)
		}
		s.State = v.effectiveState(s)
		news.servers = append(news.servers, s)
	}
	if l.whole {
		maps.DeleteFunc(v.withheld, func(_ balance.ServerID, until int64) bool { return until <= l.version })
		for id, e := range was {
			if _, listed := v.entries[id]; !listed {
				v.rememberGone(id, e, now)
			}
		}
	}
	if len(v.carriedOver) > 0 && now >= v.carriedUntil { // they are as the list has them from now on
		held := v.carriedOver
		v.carriedOver = make(map[balance.ServerID]removal)
		v.addListed(&news, slices.Sorted(maps.Keys(held)))
	}
	return news, false
}

// effectiveState is what a line of the list comes to: nothing is brought back by an older word.
func (v *serverList) effectiveState(s balance.Server) balance.State {
	_, away := v.withheld[s.ID]
	if h, held := v.carriedOver[s.ID]; s.State == balance.Ready && (away || held && s.Started <= h.started) {
		return balance.Draining
	}
	return s.State
}

// addListed adds servers to what is told, as the list has them.
func (v *serverList) addListed(news *listing, ids []balance.ServerID) {
	at := make(map[balance.ServerID]int, len(news.servers))
	for i, s := range news.servers {
		at[s.ID] = i
	}
	address := make(map[balance.ServerID]string)
	maps.Copy(address, news.addresses)
	for _, id := range ids {
		e, listed := v.entries[id]
		if i, told := at[id]; listed && told {
			news.servers[i].State = e.State
		} else if listed {
			news.servers = append(news.servers, e.Server)
			address[id] = e.address
		}
	}
	news.addresses = address
}

// rememberGone remembers that a server is gone. Those that went first are forgotten first.
func (v *serverList) rememberGone(id balance.ServerID, e entry, now time.Duration) {
	if _, known := v.gone[id]; known {
		return
	}
	v.gone[id] = removal{now, max(e.Started, v.carriedOver[id].started)}
	for len(v.gone) > maxGoneServers {
		delete(v.gone, slices.MinFunc(slices.Sorted(maps.Keys(v.gone)), func(a, b balance.ServerID) int {
			return cmp.Compare(v.gone[a].at, v.gone[b].at)
		}))
	}
}

// withhold returns the ready servers that another word has draining or gone. They stay out until a list of a version from
// until on names them, or all of such a one is known.
func (v *serverList) withhold(l listing, until int64) listing {
	news := listing{version: v.version, addresses: make(map[balance.ServerID]string)}
	says := make(map[balance.ServerID]balance.State, len(l.servers))
	for _, s := range l.servers {
		says[s.ID] = s.State
	}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		state, told := says[id]
		if e.State != balance.Ready || told && state == balance.Ready || !told && !l.whole {
			continue
		}
		_, away := v.withheld[id]
		if v.withheld[id] = max(v.withheld[id], until); !away {
			e.State = balance.Draining
			news.servers = append(news.servers, e.Server)
			news.addresses[id] = e.address
		}
	}
	return news
}

// applyOtherProcess takes what another process of this sidecar goes by, where that is a newer version of the same line: what it has
// not ready is out here too, until this process is told as much.
func (v *serverList) applyOtherProcess(k savedList, l listing) listing {
	if k.Source != v.source || k.Epoch != v.epoch || v.version == unknownVersion || l.version <= v.version {
		return listing{}
	}
	l.whole = !k.Short
	return v.withhold(l, l.version)
}

// confirmReset judges an answer that is older than what is acted on: whether discovery has begun anew, or is stale.
func (v *serverList) confirmReset(l listing, now time.Duration) bool {
	d := &v.suspectedReset
	if !d.open || now < d.last || l.version < d.top && now-d.last >= resetMinAge {
		d.open, d.whole, d.top, d.words, d.since, d.last = true, false, l.version, 0, now, now
	}
	if l.version < d.top {
		return false
	}
	d.top, d.last, d.words = l.version, now, d.words+1
	d.whole = d.whole || l.whole
	if !l.whole {
		return false
	}
	for _, s := range l.servers {
		if v.versionAt > 0 && s.Started > v.versionAt+resetClockSkew && s.Started <= now+resetClockSkew {
			return true // what was made before top can't know of it
		}
	}
	return d.words >= resetMinAnswers && now-d.since >= resetMinAge
}

// startEpoch begins a line: its versions say nothing on those before, and what was out by those stays out for a while.
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

// setSource goes on at another source.
func (v *serverList) setSource(source string, now time.Duration) {
	if source != v.source {
		v.startEpoch(now)
		v.source, v.previousVersion = source, unknownVersion
	}
}

// useOlderList goes on with an older list than top's, where that can't be had: of its servers those that top's word leaves
// ready. A short word names only servers that are not.
func (v *serverList) useOlderList(older listing, short bool) {
	top := v.entries
	v.entries, v.complete = make(map[balance.ServerID]entry), false
	for _, s := range older.servers {
		if s.State == balance.Gone {
			continue
		}
		v.entries[s.ID] = entry{s, older.addresses[s.ID], older.rawEntries[s.ID]}
		if e, listed := top[s.ID]; listed && e.State != balance.Ready || !listed && !short {
			v.withheld[s.ID] = v.version
		}
	}
}

// effectiveListing is the whole list as it is acted on.
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

// withStartTime is a line of the list with another start.
func withStartTime(raw json.RawMessage, started time.Duration) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return raw // it has been read before
	}
	maps.DeleteFunc(fields, func(name string, _ json.RawMessage) bool { return strings.EqualFold(name, "startedAtMs") })
	ms := float64(started) / float64(time.Millisecond)
	for time.Duration(ms*float64(time.Millisecond)) < started { // as it is read again
		ms = math.Nextafter(ms, math.Inf(1))
	}
	fields["startedAtMs"], _ = json.Marshal(ms) // a number is no error
	changed, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return changed
}
