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
	anewAfter = 6 * time.Second // older words alone for so long, and
	anewWords = 3               // so many of them, the last of them whole: discovery has begun anew
	anewSkew  = 5 * time.Second // a server that started so long after a version was heard of is proof that what lists it came later
	heldFor   = time.Minute     // a drain known before outlives the first list of another line by so long
	goneMost  = 256             // servers that are remembered to be gone
)

// heardOf is what is remembered of a server that was told draining or gone. Times are since the Unix epoch.
type heardOf struct {
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
	source string // discovery's address
	line   int64  // grows with each source and each beginning; of two words of a node the one of the higher line is newer
	top    int64  // the highest version acted on in this line, or unknown
	before int64  // the highest of this source's earlier lines, or unknown
	heard  time.Duration
	whole  bool // entries are those of top; otherwise the whole list is needed

	entries map[balance.ServerID]entry
	away    map[balance.ServerID]int64   // ready as of top, and out by another word: until a list of this version
	gone    map[balance.ServerID]heardOf // told gone lately
	held    map[balance.ServerID]heardOf // out by the word of an earlier line, until it has a word of its own
	until   time.Duration                // no longer than this

	doubt struct { // whether discovery has begun anew
		open, whole bool          // whole: one of the older words was
		top         int64         // the highest of them
		words       int           // that were not older still
		since, last time.Duration // of the first of them, and of the last that was not older still
	}
}

func newVersions(source string) *serverList {
	return &serverList{
		source: source, top: unknown, before: unknown, entries: make(map[balance.ServerID]entry),
		away: make(map[balance.ServerID]int64), gone: make(map[balance.ServerID]heardOf), held: make(map[balance.ServerID]heardOf),
	}
}

// watched says that changes are enough; otherwise the whole list is needed.
func (v *serverList) watched() bool {
	for _, until := range v.away {
		if until <= v.top {
			return false
		}
	}
	return v.top != unknown && v.whole && !v.doubt.open
}

// doubted says that changes to older words are enough for now: since this version, until it is time to judge by a whole list.
func (v *serverList) doubted(now time.Duration) (since int64, yes bool) {
	d := &v.doubt
	return d.top, d.open && d.whole && v.whole && now-d.since < anewAfter
}

// take takes an answer, and returns what is to be acted on: the answer as it is, but for what may not go back. An
// answer that is older than what is acted on takes servers away, and returns none (older).
func (v *serverList) take(l listing, now time.Duration) (news listing, older bool) {
	if v.top != unknown && l.version < v.top {
		if !v.anew(l, now) {
			return v.takeAway(l, v.top), true
		}
		slog.Warn("discovery has begun anew", "from", v.top, "to", l.version, "words", v.doubt.words)
		v.begin(now)
	}
	if l.version > v.top || v.top == unknown {
		v.heard = now
	}
	v.top, v.whole = l.version, v.whole || l.whole
	v.doubt.open = false
	was := v.entries
	if l.whole {
		v.entries = make(map[balance.ServerID]entry, len(l.servers))
	}
	news = listing{version: l.version, whole: l.whole, address: l.address, raw: l.raw}
	for _, s := range l.servers {
		raw := l.raw[s.ID]
		if started := max(was[s.ID].Started, v.gone[s.ID].started, v.held[s.ID].started); s.Started < started {
			s.Started, raw = started, restarted(raw, started) // the start of one id never goes back
		}
		if !l.whole || s.State != balance.Ready {
			delete(v.held, s.ID) // a change told in this line
		}
		if v.away[s.ID] <= l.version {
			delete(v.away, s.ID)
		}
		if s.State == balance.Gone {
			v.leave(s.ID, was[s.ID], now)
			delete(v.entries, s.ID)
		} else {
			v.entries[s.ID] = entry{s, l.address[s.ID], raw}
			delete(v.gone, s.ID)
		}
		s.State = v.state(s)
		news.servers = append(news.servers, s)
	}
	if l.whole {
		maps.DeleteFunc(v.away, func(_ balance.ServerID, until int64) bool { return until <= l.version })
		for id, e := range was {
			if _, listed := v.entries[id]; !listed {
				v.leave(id, e, now)
			}
		}
	}
	if len(v.held) > 0 && now >= v.until { // they are as the list has them from now on
		held := v.held
		v.held = make(map[balance.ServerID]heardOf)
		v.name(&news, slices.Sorted(maps.Keys(held)))
	}
	return news, false
}

// state is what a line of the list comes to: nothing is brought back by an older word.
func (v *serverList) state(s balance.Server) balance.State {
	_, away := v.away[s.ID]
	if h, held := v.held[s.ID]; s.State == balance.Ready && (away || held && s.Started <= h.started) {
		return balance.Draining
	}
	return s.State
}

// name adds servers to what is told, as the list has them.
func (v *serverList) name(news *listing, ids []balance.ServerID) {
	at := make(map[balance.ServerID]int, len(news.servers))
	for i, s := range news.servers {
		at[s.ID] = i
	}
	address := make(map[balance.ServerID]string)
	maps.Copy(address, news.address)
	for _, id := range ids {
		e, listed := v.entries[id]
		if i, told := at[id]; listed && told {
			news.servers[i].State = e.State
		} else if listed {
			news.servers = append(news.servers, e.Server)
			address[id] = e.address
		}
	}
	news.address = address
}

// leave remembers that a server is gone. Those that went first are forgotten first.
func (v *serverList) leave(id balance.ServerID, e entry, now time.Duration) {
	if _, known := v.gone[id]; known {
		return
	}
	v.gone[id] = heardOf{now, max(e.Started, v.held[id].started)}
	for len(v.gone) > goneMost {
		delete(v.gone, slices.MinFunc(slices.Sorted(maps.Keys(v.gone)), func(a, b balance.ServerID) int {
			return cmp.Compare(v.gone[a].at, v.gone[b].at)
		}))
	}
}

// takeAway returns the ready servers that another word has draining or gone. They stay out until a list of a version from
// until on names them, or all of such a one is known.
func (v *serverList) takeAway(l listing, until int64) listing {
	news := listing{version: v.top, address: make(map[balance.ServerID]string)}
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
		_, away := v.away[id]
		if v.away[id] = max(v.away[id], until); !away {
			e.State = balance.Draining
			news.servers = append(news.servers, e.Server)
			news.address[id] = e.address
		}
	}
	return news
}

// beside takes what another process of this sidecar goes by, where that is a newer version of the same line: what it has
// not ready is out here too, until this process is told as much.
func (v *serverList) beside(k keptList, l listing) listing {
	if k.Source != v.source || k.Line != v.line || v.top == unknown || l.version <= v.top {
		return listing{}
	}
	l.whole = !k.Short
	return v.takeAway(l, l.version)
}

// anew judges an answer that is older than what is acted on: whether discovery has begun anew, or is stale.
func (v *serverList) anew(l listing, now time.Duration) bool {
	d := &v.doubt
	if !d.open || now < d.last || l.version < d.top && now-d.last >= anewAfter {
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
		if v.heard > 0 && s.Started > v.heard+anewSkew && s.Started <= now+anewSkew {
			return true // what was made before top can't know of it
		}
	}
	return d.words >= anewWords && now-d.since >= anewAfter
}

// begin begins a line: its versions say nothing on those before, and what was out by those stays out for a while.
func (v *serverList) begin(now time.Duration) {
	v.before = max(v.before, v.top)
	v.line, v.top, v.heard, v.whole, v.until = v.line+1, unknown, 0, false, now+heldFor
	clear(v.away)
	maps.Copy(v.held, v.gone)
	for id, e := range v.entries {
		if _, known := v.held[id]; e.State == balance.Draining && !known {
			v.held[id] = heardOf{now, e.Started}
		}
	}
}

// move goes on at another source.
func (v *serverList) move(source string, now time.Duration) {
	if source != v.source {
		v.begin(now)
		v.source, v.before = source, unknown
	}
}

// doubtful goes on with an older list than top's, where that can't be had: of its servers those that top's word leaves
// ready. A short word names only servers that are not.
func (v *serverList) doubtful(older listing, short bool) {
	top := v.entries
	v.entries, v.whole = make(map[balance.ServerID]entry), false
	for _, s := range older.servers {
		if s.State == balance.Gone {
			continue
		}
		v.entries[s.ID] = entry{s, older.address[s.ID], older.raw[s.ID]}
		if e, listed := top[s.ID]; listed && e.State != balance.Ready || !listed && !short {
			v.away[s.ID] = v.top
		}
	}
}

// effectiveListing is the whole list as it is acted on.
func (v *serverList) effectiveListing() listing {
	l := listing{version: v.top, whole: true, address: make(map[balance.ServerID]string)}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		e.State = v.state(e.Server)
		l.servers = append(l.servers, e.Server)
		l.address[id] = e.address
	}
	return l
}

// restarted is a line of the list with another start.
func restarted(raw json.RawMessage, started time.Duration) json.RawMessage {
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
