package balance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Rules is a rule set: settings that operators change in a running fleet. A zero field keeps the value from Config, so
// that the empty set restores the settings. A Balancer keeps the set that it receives, which must not be modified
// afterwards.
type Rules struct {
	Tenants     []Tenant             // shares and quotas of all tenants, in the order of Config.Tenants, or empty
	MaxAttempts int                  // maximum number of attempts for one request, not above the settings'
	Budget      *RetryBudget         // limit on retries; nil: the settings' limit; a Span of 0: no limit
	Servers     map[ServerID]float64 // multiple of a server's weight, listed or not; 0 excludes it
	Zones       map[int]float64      // multiple for all servers of a zone; both multiples apply
}

// MaxWeightMultiple bounds a weight multiple, which is 0 or from 1/MaxWeightMultiple to MaxWeightMultiple. A more
// extreme value would in effect exclude the server, or replace the server list.
const MaxWeightMultiple = 1000

// MaxBudgetSpan bounds the span of a retry budget: the arrival time of each request within it is kept in memory.
const MaxBudgetSpan = 10 * time.Minute

// Check returns an error that names the first field that is invalid for a Balancer with the given, valid settings, or
// nil.
func (r Rules) Check(c Config) error {
	switch {
	case len(r.Tenants) > 0 && len(r.Tenants) != len(c.Tenants):
		return fmt.Errorf("rules: Tenants holds %d, the settings hold %d: all of them or none is needed", len(r.Tenants), len(c.Tenants))
	case r.MaxAttempts < 0 || r.MaxAttempts > c.MaxAttempts:
		return fmt.Errorf("rules: MaxAttempts is %d, must not be negative or over the settings' %d", r.MaxAttempts, c.MaxAttempts)
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
	if id, m, ok := firstInvalid(r.Servers); ok {
		return fmt.Errorf("rules: Servers[%x] is %v, must be 0 or from 1/%d to %d", uint64(id), m, MaxWeightMultiple, MaxWeightMultiple)
	}
	if z, m, ok := firstInvalid(r.Zones); ok {
		return fmt.Errorf("rules: Zones[%d] is %v, must be 0 or from 1/%d to %d", z, m, MaxWeightMultiple, MaxWeightMultiple)
	}
	return nil
}

// ApplyTo returns the settings with the changes of the rule set. Weight multiples are not part of the settings.
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

// WeightMultiple returns the multiple of a server's weight, which is 1 if the set has neither the server nor its zone.
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

// firstInvalid returns the invalid multiple with the lowest key, if there is one.
func firstInvalid[K ServerID | int](multiples map[K]float64) (key K, multiple float64, found bool) {
	for k, m := range multiples {
		if m != 0 && !(m >= 1.0/MaxWeightMultiple && m <= MaxWeightMultiple) && (!found || k < key) {
			key, multiple, found = k, m, true
		}
	}
	return key, multiple, found
}

// negativeOrNotFinite reports whether a number is below 0, infinite or NaN.
func negativeOrNotFinite(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

// check returns an error that names the invalid fields of a retry budget, or nil.
func (l RetryBudget) check() error {
	switch {
	case l.Span < 0 || negativeOrNotFinite(l.Free) || negativeOrNotFinite(l.Share):
		return fmt.Errorf("field Budget: Span %v, Free %v or Share %v is negative or not finite", l.Span, l.Free, l.Share)
	case l.Span == 0 && l != (RetryBudget{}):
		return fmt.Errorf("field Budget: Span is 0, but Free %v and Share %v are set", l.Free, l.Share)
	}
	return nil
}

// checkTenants returns an error that names the invalid field of a list of tenants, or nil. An empty list is valid.
func checkTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if negativeOrNotFinite(t.Share) || negativeOrNotFinite(t.Quota) {
			return fmt.Errorf("field Tenants[%d]: Share %v or Quota %v is negative or not finite", i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("field Tenants: the sum of Share adds up to %v, must be above 0 and finite", sum)
	}
	return nil
}
