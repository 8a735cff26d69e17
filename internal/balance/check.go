package balance

import (
	"cmp"
	"fmt"
)

// Check returns an error that names the first invalid field, or nil.
func (c *Config) Check() error {
	cfg := *c
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers is %d, must be at least 1", cfg.Balancers)
	case cfg.Index < 0:
		return fmt.Errorf("config: Index is %d, must not be negative", cfg.Index)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, must be at least 1", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, must not be negative", cfg.Slots)
	case negativeOrNotFinite(cfg.ColdFrom) || cfg.ColdFrom > 1:
		return fmt.Errorf("config: ColdFrom is %v, must be from 0 to 1", cfg.ColdFrom)
	case negativeOrNotFinite(cfg.ColdMultiple) || negativeOrNotFinite(cfg.CrossZonePrice):
		return fmt.Errorf("config: ColdMultiple %v or CrossZonePrice %v is negative or not finite",
			cfg.ColdMultiple, cfg.CrossZonePrice)
	case min(cfg.OrderSettle, cfg.CloseWithin) < 0:
		return fmt.Errorf("config: OrderSettle %v or CloseWithin %v is negative", cfg.OrderSettle, cfg.CloseWithin)
	case min(cfg.MaxRetryAfter, cfg.Tick, cfg.AskWithin, cfg.ColdTime) < 0:
		return fmt.Errorf("config: MaxRetryAfter, Tick, AskWithin or ColdTime is negative")
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("config: Classes[%d]: Aim %v or Deadline %v is not above 0 or DedupWindow %v is negative",
				i, c.Aim, c.Deadline, c.DedupWindow)
		}
		if negativeOrNotFinite(c.AimStretch) || negativeOrNotFinite(c.LateShare) || negativeOrNotFinite(c.Worth) {
			return fmt.Errorf("config: Classes[%d]: AimStretch, LateShare or Worth is negative or not finite", i)
		}
	}
	if err := cmp.Or(cfg.Budget.check(), checkTenants(cfg.Tenants)); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}

// Compartments returns the tenants, or a single one for all requests if there are none.
func (c *Config) Compartments() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Share: 1}}
	}
	return c.Tenants
}
