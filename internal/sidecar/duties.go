package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"time"

	"arrowgw/internal/duty"
	"arrowgw/internal/member"
	"arrowgw/internal/store"
)

const (
	addressPoll = 50 * time.Millisecond // how often a process looks whether it has its address by now
	reportEvery = 10 * time.Second
	dutyReport  = "report"
)

// duties is this sidecar's part in its fleet's duties. Where the fleet file has no duty.voters there is none.
type duties struct {
	group  *duty.Group
	peers  *peers
	state  *sharedState
	cancel context.CancelFunc
	done   chan struct{}
}

// newDuties reads what the configuration says of duties.
func newDuties(cfg *Config, p *peers, state *sharedState) (*duties, error) {
	d := &duties{peers: p, state: state, done: make(chan struct{})}
	if p.group == nil || len(cfg.Fleet.Duty.Voters) == 0 {
		return d, nil
	}
	if state.store == nil {
		return nil, errors.New("duty.voters needs a folder for what outlives the process (TMPDIR)")
	}
	c := duty.Config{
		Name: cfg.Name, Start: state.store.ProcessNumber(), Voters: cfg.Fleet.Duty.Voters, Lease: cfg.Fleet.Duty.Lease.Std(),
		Transport: p.group, Storage: keeper{state.store}, StorageDamaged: len(state.store.Damage().Findings) > 0, Candidates: d.candidates,
		OnAcquired: func(string, uint64) {}, OnLost: func(string) {}, // whoever acts asks before
	}
	if cfg.Fleet.Duty.Report {
		c.Duties = append(c.Duties, duty.Duty{Name: dutyReport})
	}
	if cfg.Fleet.Rules.File != "" {
		c.Duties = append(c.Duties, duty.Duty{Name: dutyRules})
	}
	var err error
	d.group, err = duty.New(c)
	return d, err
}

// keeper is the state as duties want it.
type keeper struct{ *store.Store }

// Get implements duty.Storage.
func (k keeper) Get(section, key string) ([]byte, bool) {
	e, ok := k.Store.Get(section, key)
	return e.Value, ok
}

// All implements duty.Storage.
func (k keeper) All(section string) map[string][]byte {
	all := make(map[string][]byte)
	for key, e := range k.Store.All(section) {
		all[key] = e.Value
	}
	return all
}

// candidates are the members that are fit to hold duties.
func (d *duties) candidates() (all []duty.Candidate) {
	for _, m := range d.peers.group.View().Members {
		if m.State == member.Present && m.Phase == member.Serving && !m.Suspected {
			all = append(all, duty.Candidate{Name: m.Name, Zone: m.Zone, Start: m.Start})
		}
	}
	return all
}

// run takes part until ctx ends or leave is called: from when this process has the sidecar's address among its peers, so that
// never two processes are one voter.
func (d *duties) run(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	if d.group == nil {
		close(d.done)
		return
	}
	go func() {
		defer close(d.done)
		for d.peers.group.View().Standing == member.Waiting {
			select {
			case <-time.After(addressPoll):
			case <-ctx.Done():
				return
			}
		}
		if _, err := d.state.store.Refresh(); err != nil { // what the process before this one has written last
			slog.Error("duties", "error", err)
			return
		}
		d.group.Run(ctx)
	}()
	go d.runReport(ctx)
}

// leave gives up what this process holds, and returns once others may have it.
func (d *duties) release() {
	d.cancel()
	<-d.done
}

// report is the duty of that name.
func (d *duties) runReport(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		v := d.peers.group.View()
		versions, phases := make(map[string]int), make(map[member.Phase]int)
		for _, m := range v.Members {
			if m.State == member.Present {
				versions[m.Version]++
				phases[m.Phase]++
			}
		}
		if token, yes := d.group.Holds(dutyReport); yes {
			slog.Info("fleet", "token", token, "present", v.Present, "silent", v.Silent, "views", v.DistinctViews, "agreed", v.Agreed,
				"versions", len(versions), "phases", fmt.Sprint(phases))
		}
	}
}

// stat writes the tokens of the duties that this process holds now.
func (d *duties) stat(w io.Writer) {
	if d.group == nil {
		return
	}
	for _, name := range d.group.DutyNames() {
		token, _ := d.group.Holds(name)
		fmt.Fprintf(w, "app.duty_token.%s=%d\n", name, token)
	}
}

// show writes who holds what, as the leader of the voters has it.
func (d *duties) show(w io.Writer) error {
	if d.group == nil {
		return errNoDuties
	}
	t, err := d.group.Table()
	if err != nil {
		return fmt.Errorf("no leader of the voters answers: %w", err)
	}
	fmt.Fprintf(w, "200 leader=%s voters=%v\n", t.Leader, t.Voters)
	fmt.Fprintln(w, "duty\tholder\tstart\ttoken\trenewed")
	slices.SortFunc(t.Holdings, func(a, b duty.Holding) int { return cmp.Compare(a.Duty, b.Duty) })
	for _, h := range t.Holdings {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v ago\n", h.Duty, h.Holder, h.Start, h.Token, t.Ages[h.Duty].Round(100*time.Millisecond))
	}
	fmt.Fprintln(w, "EOF")
	return nil
}

var errNoDuties = errors.New("there are no duties: the fleet file has no duty.voters")

// move has a duty passed on, to a member if there is one named.
func (d *duties) moveDuty(words []string) error {
	switch {
	case d.group == nil:
		return errNoDuties
	case len(words) == 1:
		return d.group.Move(words[0], "")
	}
	return d.group.Move(words[0], words[1])
}
