package sidecar

import (
	"reflect"
	"testing"

	"arrowgw/internal/balance"
	"arrowgw/internal/fleet"
	"arrowgw/internal/member"
)

// The fleet that is passed to the decision module lists the traffic of members that are present and not draining, but
// only if the fleet file has spread.share, and no longer once this process is not a member.
func TestFleetUpdate(t *testing.T) {
	seen := member.View{Standing: member.Member, Present: 5, Silent: 1, Agreed: true, Members: []member.MemberInfo{
		{Name: "a", State: member.Present, Phase: member.Serving, Zone: "za", Index: 4, Traffic: 8},
		{Name: "b", State: member.Present, Phase: member.Starved, Zone: "zb", Index: 0, Traffic: 0.5},
		{Name: "c", State: member.Present, Phase: member.Draining, Zone: "zb", Index: 1, Traffic: 8},
		{Name: "d", State: member.Present, Phase: member.Serving, Zone: "elsewhere", Index: 2, Traffic: 2},
		{Name: "e", State: member.Present, Phase: member.Serving, Zone: "za", Index: 3},
		{Name: "f", State: member.Silent, Phase: member.Serving, Zone: "za", Index: 5, Traffic: 8},
	}}
	all := balance.Fleet{Present: 5, Silent: 1, Agreed: true, Sharers: []balance.Sharer{{Index: 4, Zone: 0, Rate: 8}, {Index: 0, Zone: 1, Rate: 0.5}, {Index: 2, Zone: -1, Rate: 2}}}
	bare, none := all, all
	bare.Sharers, none.Sharers, none.Agreed = nil, nil, false
	for what, c := range map[string]struct {
		share  bool
		change func(v *member.View)
		last   balance.Fleet
		want   balance.Fleet
		ok     bool
	}{
		"off":                                {false, func(*member.View) {}, balance.Fleet{}, bare, true},
		"on":                                 {true, func(*member.View) {}, balance.Fleet{}, all, true},
		"starved":                            {true, func(v *member.View) { v.Starved = true }, all, balance.Fleet{}, false},
		"not joined yet":                     {true, func(v *member.View) { v.Standing = member.Alone }, balance.Fleet{}, balance.Fleet{}, false},
		"name taken by another process":      {true, func(v *member.View) { v.Standing = member.Conflict }, all, none, true},
		"name taken, already passed on":      {true, func(v *member.View) { v.Standing = member.Conflict }, none, balance.Fleet{}, false},
		"replaced by a later process":        {true, func(v *member.View) { v.Standing = member.Replaced }, all, none, true},
		"off, name taken by another process": {false, func(v *member.View) { v.Standing = member.Conflict }, bare, balance.Fleet{}, false},
	} {
		cfg := &Config{Fleet: &fleet.File{Spread: fleet.Spread{Share: c.share}}, Zones: map[string]int{"za": 0, "zb": 1}}
		v := seen
		c.change(&v)
		if got, ok := (&peers{cfg: cfg}).fleetUpdate(v, c.last); ok != c.ok || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, %v; want %+v, %v", what, got, ok, c.want, c.ok)
		}
	}
}
