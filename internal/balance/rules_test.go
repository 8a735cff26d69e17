package balance

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Check must accept all valid rule sets, and name the first invalid field in any other set.
func TestRulesCheckNamesTheField(t *testing.T) {
	settings := Config{MaxAttempts: 3, Tenants: []Tenant{{Share: 3, Quota: 75}, {Share: 1}}}
	tenants := func(a, b Tenant) Rules { return Rules{Tenants: []Tenant{a, b}} }
	budget := func(span time.Duration, free, share float64) Rules {
		return Rules{Budget: &RetryBudget{span, free, share}}
	}
	server := func(m float64) Rules { return Rules{Servers: map[ServerID]float64{9: 1, 0x1f: m, 0x2f: m}} }
	zone := func(m float64) Rules { return Rules{Zones: map[int]float64{1: m, 4: 1}} }
	for name, c := range map[string]struct {
		set  Rules
		want string // part of the error; empty: no error
	}{
		"empty":                  {Rules{}, ""},
		"tenants":                {tenants(Tenant{Share: 1, Quota: 5}, Tenant{}), ""},
		"a tenant missing":       {Rules{Tenants: settings.Tenants[:1]}, "Tenants holds 1, the settings hold 2"},
		"negative share":         {tenants(Tenant{Share: 2}, Tenant{Share: -1}), "Tenants[1]: Share -1"},
		"quota NaN":              {tenants(Tenant{Share: 2, Quota: math.NaN()}, Tenant{}), "Tenants[0]: Share 2 or Quota NaN"},
		"all shares 0":           {tenants(Tenant{Quota: 5}, Tenant{Quota: 5}), "adds up to 0"},
		"sum of shares infinite": {tenants(Tenant{Share: math.MaxFloat64}, Tenant{Share: math.MaxFloat64}), "adds up to +Inf"},
		"attempts":               {Rules{MaxAttempts: 3}, ""},
		"too many attempts":      {Rules{MaxAttempts: 4}, "MaxAttempts is 4"},
		"negative attempts":      {Rules{MaxAttempts: -1}, "MaxAttempts is -1"},
		"no retries":             {budget(time.Second, 0, 0), ""},
		"retries unlimited":      {budget(0, 0, 0), ""},
		"budget without a span":  {budget(0, 1, 0.1), "Budget: Span is 0"},
		"negative span":          {budget(-1, 0, 0), "Budget: Span -1ns"},
		"span too long":          {budget(MaxBudgetSpan+1, 0, 0), "Budget: Span 10m0.000000001s is over"},
		"budget share infinite":  {budget(1, 0, math.Inf(1)), "Budget: Span 1ns, Free 0 or Share +Inf"},
		"server excluded":        {server(0), ""},
		"server at minimum":      {server(1.0 / MaxWeightMultiple), ""},
		"server at maximum":      {server(MaxWeightMultiple), ""},
		"server negative":        {server(-0.5), "Servers[1f] is -0.5"},
		"server NaN":             {server(math.NaN()), "Servers[1f] is NaN"},
		"server above maximum":   {server(MaxWeightMultiple * 1.01), "Servers[1f] is 1010"},
		"server below minimum":   {server(1e-9), "Servers[1f] is 1e-09"},
		"zone excluded":          {zone(0), ""},
		"zone infinite":          {zone(math.Inf(1)), "Zones[1] is +Inf"},
	} {
		err := c.set.Check(settings)
		if c.want == "" && err != nil {
			t.Errorf("%s: error %v, want none", name, err)
		}
		if c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), "rules: ") || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}
