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
	standingPollInterval = 50 * time.Millisecond // how often a process checks whether it has the sidecar's address
	reportInterval       = 10 * time.Second
	reportDuty           = "report"
)

// duties is this sidecar's part in the duties of its fleet. If the fleet file has no duty.voters, group is nil and the
// methods do nothing.
type duties struct {
	group  *duty.Group
	peers  *peers
	state  *sharedState
	cancel context.CancelFunc
	done   chan struct{}
}

// newDuties creates the sidecar's part in duties from the configuration and the stored state.
func newDuties(cfg *Config, p *peers, state *sharedState) (*duties, error) {
	d := &duties{peers: p, state: state, done: make(chan struct{})}
	if p.group == nil || len(cfg.Fleet.Duty.Voters) == 0 {
		return d, nil
	}
	if state.store == nil {
		return nil, errors.New("duty.voters needs a folder for persistent state (TMPDIR)")
	}
	c := duty.Config{
		Name: cfg.Name, Start: state.store.ProcessNumber(), Voters: cfg.Fleet.Duty.Voters, Lease: cfg.Fleet.Duty.Lease.Std(),
		Transport: p.group, Storage: storeKeeper{state.store}, StorageDamaged: len(state.store.Damage().Findings) > 0, Candidates: d.candidates,
		OnAcquired: func(string, uint64) {}, OnLost: func(string) {}, // the code that acts on a duty checks each time whether it is held
	}
	if cfg.Fleet.Duty.Report {
		c.Duties = append(c.Duties, duty.Duty{Name: reportDuty})
	}
	if cfg.Fleet.Rules.File != "" {
		c.Duties = append(c.Duties, duty.Duty{Name: rulesDuty})
	}
	var err error
	d.group, err = duty.New(c)
	return d, err
}

// storeKeeper adapts the state store to duty.Storage and rules.Storage.
type storeKeeper struct{ *store.Store }

// Get implements duty.Storage.
func (k storeKeeper) Get(section, key string) ([]byte, bool) {
	e, ok := k.Store.Get(section, key)
	return e.Value, ok
}

// All implements duty.Storage.
func (k storeKeeper) All(section string) map[string][]byte {
	all := make(map[string][]byte)
	for key, e := range k.Store.All(section) {
		all[key] = e.Value
	}
	return all
}

// candidates returns the members that may be given duties.
func (d *duties) candidates() (all []duty.Candidate) {
	for _, m := range d.peers.group.View().Members {
		if m.State == member.Present && m.Phase == member.Serving && !m.Suspected {
			all = append(all, duty.Candidate{Name: m.Name, Zone: m.Zone, Start: m.Start})
		}
	}
	return all
}

// run starts the sidecar's part in duties, which lasts until ctx ends or release is called. It begins once this
// process has the sidecar's address in the membership, so that two processes never act as the same voter.
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
			case <-time.After(standingPollInterval):
			case <-ctx.Done():
				return
			}
		}
		if _, err := d.state.store.Refresh(); err != nil { // reads what the predecessor wrote last
			slog.Error("duties", "error", err)
			return
		}
		d.group.Run(ctx)
	}()
	go d.runReport(ctx)
}

// release gives up the duties that this process holds, and returns once other members can be given them.
func (d *duties) release() {
	d.cancel()
	<-d.done
}

// runReport carries out the duty "report": while this process holds it, it logs the state of the fleet periodically.
func (d *duties) runReport(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
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
		if token, holds := d.group.Holds(reportDuty); holds {
			slog.Info("fleet", "token", token, "present", v.Present, "silent", v.Silent, "views", v.DistinctViews, "agreed", v.Agreed,
				"versions", len(versions), "phases", fmt.Sprint(phases))
		}
	}
}

// writeStats writes the fencing token of each duty that this process holds, and 0 for the others.
func (d *duties) writeStats(w io.Writer) {
	if d.group == nil {
		return
	}
	for _, name := range d.group.DutyNames() {
		token, _ := d.group.Holds(name)
		fmt.Fprintf(w, "app.duty_token.%s=%d\n", name, token)
	}
}

// writeDuties writes the holder of each duty, as the leader of the voters reports it.
func (d *duties) writeDuties(w io.Writer) error {
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

// moveDuty moves a duty to another member. words are the duty's name and, optionally, the member's.
func (d *duties) moveDuty(words []string) error {
	switch {
	case d.group == nil:
		return errNoDuties
	case len(words) == 1:
		return d.group.Move(words[0], "")
	}
	return d.group.Move(words[0], words[1])
}
