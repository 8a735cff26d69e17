package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/balance"
)

// Settings are the start-up settings of an instance, by path.
type Settings struct {
	values map[string]string
	err    error // the first value that could not be parsed
}

// ParseSettings parses lines of the form path=value. Unknown paths are kept and have no effect.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, 128)}
	for n, line := range bytes.Split(text, []byte{'\n'}) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: no '=' in %.60q", n+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// SettingsFromJSON parses the same settings as nested JSON and converts them to paths: the items of a list of plain values
// are joined by commas, a list of objects puts its length under .count and its items under .0, .1 and so on. A null
// counts as absent.
func SettingsFromJSON(raw []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // numbers keep their text
	var root map[string]any
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, 128)}
	s.flatten("", root)
	return s, nil
}

// flatten enters a JSON value under a path.
func (s *Settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, item := range v {
			s.flatten(path+key, item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				s.flatten(path+"."+strconv.Itoa(i), item)
				continue
			}
			plain = append(plain, strings.ReplaceAll(fmt.Sprint(item), ",", "_"))
		}
		s.values[path+".count"] = strconv.Itoa(len(v))
		s.values[path] = strings.Join(plain, ",")
	case nil:
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// Text returns a value as text, or "" if it is absent.
func (s *Settings) Text(key string) string { return s.text(key) }

// Count returns a value as a whole number, or 0 if it is absent or malformed; see Err.
func (s *Settings) Count(key string) int { return s.count(key) }

// Duration returns a value in milliseconds as a duration, or 0 if it is absent or malformed; see Err.
func (s *Settings) Duration(key string) time.Duration { return FromMillis(s.number(key, 0)) }

// Number returns a value as a number, or 0 if it is absent or malformed; see Err.
func (s *Settings) Number(key string) float64 { return s.number(key, 0) }

// Err returns the error of the first value that could not be parsed.
func (s *Settings) Err() error { return s.err }

func (s *Settings) text(key string) string { return s.values[key] }

func (s *Settings) flag(key string) bool { return s.values[key] == "true" }

// number returns a value as a number, or absent if there is none. A malformed value sets err.
func (s *Settings) number(key string, absent float64) float64 {
	v, ok := s.values[key]
	if !ok || v == "" {
		return absent
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil && s.err == nil {
		s.err = fmt.Errorf("settings: %s: %w", key, err)
	}
	return f
}

// count returns a value as a whole number from 0 to maxCount. Any other value sets err.
func (s *Settings) count(key string) int {
	const maxCount = 1 << 16 // far above any real list; guards against a corrupt number
	n := s.number(key, 0)
	if (n < 0 || n > maxCount || n != float64(int(n))) && s.err == nil {
		s.err = fmt.Errorf("settings: %s: %v is not a count", key, n)
		return 0
	}
	return int(n)
}

// Columns are the fields of a load report in their order on the wire; 0 stands for an unknown field.
type Columns []balance.LoadFields

// Columns returns the fields that load reports contain.
func (s *Settings) Columns() Columns {
	var c Columns
	for name := range strings.SplitSeq(s.text("telemetry.columns"), ",") {
		c = append(c, map[string]balance.LoadFields{
			"busy_reqs": balance.HasInFlight,
			"pending":   balance.HasQueued,
			"cpu_share": balance.HasBusy,
			"svc_ms":    balance.HasService,
			"served_ps": balance.HasServed,
			"failed_ps": balance.HasErrors,
		}[name])
	}
	return c
}

// fields returns the set of all columns.
func (c Columns) fields() (all balance.LoadFields) {
	for _, f := range c {
		all |= f
	}
	return all
}

// Load converts a report according to its columns. Values that are negative, infinite or NaN count as absent.
func (c Columns) Load(r Report) balance.Load {
	var l balance.Load
	for i := range min(r.N, len(c)) {
		v := float64(r.Values[i])
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		l.Has |= c[i]
		switch c[i] {
		case balance.HasInFlight:
			l.InFlight = v
		case balance.HasQueued:
			l.Queued = v
		case balance.HasBusy:
			l.Busy = v
		case balance.HasService:
			l.Service = FromMillis(v)
		case balance.HasServed:
			l.Served = v
		case balance.HasErrors:
			l.Errors = v
		}
	}
	return l
}

// Config converts the settings to the configuration of the decision module.
func (s *Settings) Config() (balance.Config, error) {
	c := balance.Config{
		Balancers:          s.count("balancers"),
		Index:              s.count("me"),
		Zone:               s.count("zone"),
		MaxAttempts:        s.count("caps.most_tries"),
		MayCancel:          s.flag("caps.may_cancel"),
		MayProbe:           s.flag("caps.probes") && s.text("telemetry.how") != "silent",
		MaxRetryAfter:      FromMillis(s.number("caps.max_retry_after_ms", 0)),
		ClientsMarkRetries: s.flag("client_habits.marks_retry"),
		OrderSettle:        FromMillis(s.number("rules.order_settle_ms", 0)),
		CloseWithin:        FromMillis(s.number("rules.let_go_in_ms", 0)),
		Tick:               FromMillis(s.number("period_ms", 0)),
		AskList:            s.text("discovery") == "ask",
		AskWithin:          FromMillis(s.number("rules.ask_within_ms", 0)),
		ColdFrom:           s.number("rules.cold_from", 0),
		ColdTime:           FromMillis(s.number("rules.cold_ms", 0)),
		ColdMultiple:       s.number("rules.fall_multiple", 0),
		CrossZonePrice:     s.number("charges.cross_zone", 0),
		Budget: balance.RetryBudget{
			Span:  FromMillis(s.number("rules.budget_span_ms", 0)),
			Free:  s.number("rules.extra_free", 0),
			Share: s.number("rules.further_ratio", 0),
		},
	}
	if s.text("caps.retry_after") == "false" {
		c.MaxRetryAfter = 0 // refusals carry no Retry-After
	}
	if s.text("telemetry.how") != "silent" {
		c.Reports = s.Columns().fields()
	}
	for i := range s.count("classes.count") {
		p := fmt.Sprintf("classes.%d.", i)
		k := balance.Class{
			Aim:         FromMillis(s.number(p+"aim_ms", 0)),
			AimStretch:  s.number(p+"aim_stretch", 0),
			Deadline:    FromMillis(s.number(p+"hard_limit_ms", 0)),
			LateShare:   s.number(p+"late_share", 0),
			Worth:       s.number(p+"worth", 0),
			DedupWindow: FromMillis(s.number(p+"window_ms", 0)),
			Idempotency: balance.Unsafe, // unknown values are treated as the strictest
			Scope:       balance.ScopeCell,
			InOrder:     s.flag(p + "fifo_by_key"),
		}
		switch s.text(p + "semantics") {
		case "free":
			k.Idempotency = balance.Safe
		case "guarded":
			k.Idempotency = balance.Keyed
		}
		switch s.text(p + "dedup_scope") {
		case "all":
			k.Scope = balance.ScopeAll
		case "zone":
			k.Scope = balance.ScopeZone
		}
		c.Classes = append(c.Classes, k)
	}
	for i := range s.count("orgs.count") {
		p := fmt.Sprintf("orgs.%d.", i)
		c.Tenants = append(c.Tenants, balance.Tenant{
			Share: s.number(p+"share", 0),
			Quota: s.number(p+"quota_per_s", 0),
		})
	}
	return c, s.err
}
