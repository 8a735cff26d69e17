package balance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Rules is a rule set: what operators change in a running fleet. A zero field leaves what the balancer began with,
// so that the empty set restores the settings. A Balancer keeps the set it is given, which must not change afterwards.
type Rules struct {
	Tenants     []Tenant             // by the settings' order, all of them or none: shares and quotas
	MaxAttempts int                  // attempts for one request at most; never over the settings'
	Budget      *RetryBudget         // limit on attempts after the first; one of Span 0 is no limit
	Servers     map[ServerID]float64 // multiple of a server's weight; 0: it is excluded; listed or not
	Zones       map[int]float64      // the same for all servers of a zone; both multiples count
}

// MaxWeightMultiple bounds a multiple of a weight: it is 0, or from 1/MaxWeightMultiple to MaxWeightMultiple. Beyond these,
// turns are so rare or so frequent that exclusion, or another server list, is what is meant.
const MaxWeightMultiple = 1000

// MaxBudgetSpan bounds a budget's span: a time is kept for each request of it.
const MaxBudgetSpan = 10 * time.Minute

// Check returns an error that names the first field that a Balancer with these settings, which were checked
// themselves, cannot take. It changes nothing.
func (r Rules) Check(c Config) error {
	switch {
	case len(r.Tenants) > 0 && len(r.Tenants) != len(c.Tenants):
		return fmt.Errorf("rules: Tenants holds %d, the settings hold %d: all of them or none", len(r.Tenants), len(c.Tenants))
	case r.MaxAttempts < 0 || r.MaxAttempts > c.MaxAttempts:
		return fmt.Errorf("rules: MaxAttempts is %d, it must not be negative or over the settings' %d", r.MaxAttempts, c.MaxAttempts)
	}
	if err := checkTenants(r.Tenants); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if r.Budget != nil {
		if err := r.Budget.check(); err != nil {
			return fmt.Errorf("rules: %w", err)
		}
		if r.Budget.Span > MaxBudgetSpan {
			return fmt.Errorf("rules: Budget: Span %v is over %v", r.Budget.Span, MaxBudgetSpan)
		}
	}
	if id, m, ok := unusable(r.Servers); ok {
		return fmt.Errorf("rules: Servers[%x] is %v, 0 or from 1/%d to %d is needed", uint64(id), m, MaxWeightMultiple, MaxWeightMultiple)
	}
	if z, m, ok := unusable(r.Zones); ok {
		return fmt.Errorf("rules: Zones[%d] is %v, 0 or from 1/%d to %d is needed", z, m, MaxWeightMultiple, MaxWeightMultiple)
	}
	return nil
}

// ApplyTo returns the settings as the set changes them.
func (r Rules) ApplyTo(c Config) Config {
	c.MaxAttempts = cmp.Or(r.MaxAttempts, c.MaxAttempts)
	if r.Budget != nil {
		c.Budget = *r.Budget
	}
	if len(r.Tenants) > 0 {
		c.Tenants = r.Tenants
	}
	return c
}

// WeightMultiple returns the set's multiple of a server's weight: 1 where it does not name the server or its zone.
func (r Rules) WeightMultiple(s Server) float64 {
	m := 1.0
	if by, ok := r.Servers[s.ID]; ok {
		m = by
	}
	if by, ok := r.Zones[s.Zone]; ok {
		m *= by
	}
	return m
}

// unusable finds the multiple that cannot be used, the one with the lowest key where there are several.
func unusable[K ServerID | int](multiples map[K]float64) (key K, multiple float64, found bool) {
	for k, m := range multiples {
		if m != 0 && !(m >= 1.0/MaxWeightMultiple && m <= MaxWeightMultiple) && (!found || k < key) {
			key, multiple, found = k, m, true
		}
	}
	return key, multiple, found
}

// negative says that a number is below 0 or none at all.
func negative(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

// check names what is unusable in a limit on further attempts.
func (l RetryBudget) check() error {
	switch {
	case l.Span < 0 || negative(l.Free) || negative(l.Share):
		return fmt.Errorf("field Budget: Span %v, Free %v or Share %v is negative or no number", l.Span, l.Free, l.Share)
	case l.Span == 0 && l != (RetryBudget{}):
		return fmt.Errorf("field Budget: Span is 0, though Free %v and Share %v are set", l.Free, l.Share)
	}
	return nil
}

// checkTenants names what is unusable in a list of tenants; none at all is well.
func checkTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if negative(t.Share) || negative(t.Quota) {
			return fmt.Errorf("field Tenants[%d]: Share %v or Quota %v is negative or no number", i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("field Tenants: the Share of all adds up to %v", sum)
	}
	return nil
}
