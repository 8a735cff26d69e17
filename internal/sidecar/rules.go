package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"

	"arrowgw/internal/duty"
	"arrowgw/internal/member"
	"arrowgw/internal/rules"
)

const rulesDuty = "rules"

// ruleSets is this sidecar's part in the rule sets of its fleet. If the fleet file has no rules.file, node is nil,
// requests are served without rules and the methods do nothing.
type ruleSets struct {
	node  *rules.Node
	peers *peers
	path  string
}

// newRuleSets reads the stored rule sets. No rule set is in force before start.
func newRuleSets(cfg *Config, p *peers, d *duties, plane dataPlane, state *sharedState) (*ruleSets, error) {
	s := &ruleSets{peers: p}
	if d.group == nil || cfg.Fleet.Rules.File == "" {
		return s, nil
	}
	forms, err := rules.ParseHighestForm()
	if err != nil {
		return nil, err
	}
	s.path = cfg.Fleet.Rules.File
	settings := rules.Settings{HighestForm: forms, Tenants: cfg.Tenants, Zones: cfg.Zones, Server: serverID, Config: cfg.Policy}
	keeper := storeKeeper{state.store}
	s.node = rules.New(rules.Config{
		Name: cfg.Name, Start: state.store.ProcessNumber(), Storage: keeper, StorageDamaged: len(state.store.Damage().Findings) > 0, Transport: p.group,
		Voters:   &dutyVoters{group: d.group, fence: duty.Fence{Storage: keeper}},
		Members:  p.rulesMembers,
		Read:     func(text []byte) (*rules.Set, error) { return rules.Read(text, settings) },
		Activate: plane.applyRules,
	})
	p.rulesBar = func() bool { return !s.node.Serves() }
	return s, nil
}

// rulesMembers returns the members that a push has to ask: all that may be serving.
func (p *peers) rulesMembers() (all []rules.Member) {
	for _, m := range p.group.View().Members {
		if m.State == member.Present || m.State == member.Silent {
			all = append(all, rules.Member{Peer: rules.Peer{Name: m.Name, Start: m.Start}, Silent: m.State == member.Silent})
		}
	}
	return all
}

// dutyVoters adapts the voters of package duty to rules.Voters.
type dutyVoters struct {
	group *duty.Group
	fence duty.Fence
}

// Holds implements rules.Voters.
func (v *dutyVoters) Holds() (uint64, bool) { return v.group.Holds(rulesDuty) }

// Holder implements rules.Voters.
func (v *dutyVoters) Holder() (string, error) {
	t, err := v.group.Table()
	for _, h := range t.Holdings {
		if h.Duty == rulesDuty {
			return h.Holder, err
		}
	}
	return "", err
}

// LastEntry implements rules.Voters.
func (v *dutyVoters) LastEntry() (rules.Floor, error) {
	e, err := v.group.LastEntry(rulesDuty)
	return rules.Floor{Version: e.Version, Digest: e.Digest, Token: e.Token}, err
}

// CommitEntry implements rules.Voters.
func (v *dutyVoters) CommitEntry(f rules.Floor) (refused, err error) {
	err = v.group.CommitEntry(rulesDuty, f.Token, f.Version, f.Digest)
	if errors.Is(err, duty.ErrEntryRefused) {
		return err, nil
	}
	return nil, err
}

// AdmitToken implements rules.Voters.
func (v *dutyVoters) AdmitToken(token uint64) (bool, error) { return v.fence.Admit(rulesDuty, token) }

// start puts the floor's rule set in force. The loop must be running, and no request may have been received.
func (s *ruleSets) start(ctx context.Context) error {
	if s.node == nil {
		return nil
	}
	return s.node.ActivateFloor(ctx)
}

// run pushes the rule file and starts the node, which runs until ctx ends.
func (s *ruleSets) run(ctx context.Context) {
	if s.node == nil {
		return
	}
	s.pushFile()
	go s.node.Run(ctx)
}

// pushFile reads the rule file, if it exists, and pushes it to the fleet.
func (s *ruleSets) pushFile() {
	if s.node == nil {
		return
	}
	f, err := os.Open(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var text []byte
	if err == nil {
		defer f.Close()
		text, err = io.ReadAll(io.LimitReader(f, rules.MaxDocumentBytes+1))
	}
	if err == nil && len(text) > rules.MaxDocumentBytes {
		err = fmt.Errorf("%s: more than %d bytes", s.path, rules.MaxDocumentBytes)
	}
	if err != nil {
		slog.Error("rules", "notPushed", s.path, "error", err)
		return
	}
	s.node.Push(text)
}

// mayServe reports whether requests may be served.
func (s *ruleSets) mayServe() bool {
	return s.node == nil || s.node.Serves()
}

// writeStats writes the figures of rule sets, if there are any.
func (s *ruleSets) writeStats(w io.Writer) {
	if s.node == nil {
		return
	}
	status, barred := s.node.Status(), 0
	if !status.Serves {
		barred = 1
	}
	fmt.Fprintf(w, "app.rules_version=%d\napp.rules_floor=%d\napp.rules_barred=%d\n", status.InForce, status.Floor.Version, barred)
}

// writeRules writes which rule set is in force, why a push was refused, and which members support another form of
// rule set.
func (s *ruleSets) writeRules(w io.Writer) error {
	if s.node == nil {
		return errors.New("there are no rule sets: the fleet file has no rules.file")
	}
	status := s.node.Status()
	fmt.Fprintf(w, "200 in-force=%d floor=%d digest=%s token=%d serves=%v differs=%v holds=%d file=%d forms=%s\n",
		status.InForce, status.Floor.Version, status.Floor.Digest, status.Floor.Token, status.Serves, status.DigestDiffers, status.DutyToken, status.FileVersion, rules.Highest)
	if status.BarredReason != "" {
		fmt.Fprintf(w, "barred\t%s\n", status.BarredReason)
	}
	if status.FileRefusal != "" {
		fmt.Fprintf(w, "refused for good\t%d\t%s\n", status.FileVersion, status.FileRefusal)
	}
	for _, r := range status.Refusals {
		fmt.Fprintf(w, "refused\t%d\tby %s\t%s\n", r.Version, r.Name, r.Why)
	}
	for _, m := range s.peers.group.View().Members { // members that support older or newer forms than this one
		if m.State == member.Present && m.Forms != rules.Highest {
			fmt.Fprintf(w, "member\t%s\tforms=%s\n", m.Name, cmp.Or(m.Forms, "none"))
		}
	}
	fmt.Fprintln(w, "EOF")
	return nil
}
