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

const dutyRules = "rules"

// ruleSets is this sidecar's part in its fleet's rules. Where the fleet file has no rules.file there is none.
type ruleSets struct {
	node  *rules.Node
	peers *peers
	path  string
}

// newRuleSets reads what is kept of rules. Nothing is in force before begin.
func newRuleSets(cfg *Config, p *peers, work *duties, path dataPlane, state *sharedState) (*ruleSets, error) {
	s := &ruleSets{peers: p}
	if work.group == nil || cfg.Fleet.Rules.File == "" {
		return s, nil
	}
	forms, err := rules.ParseHighestForm()
	if err != nil {
		return nil, err
	}
	s.path = cfg.Fleet.Rules.File
	against := rules.Settings{HighestForm: forms, Tenants: cfg.Tenants, Zones: cfg.Zones, Server: serverID, Config: cfg.Policy}
	keep := keeper{state.store}
	s.node = rules.New(rules.Config{
		Name: cfg.Name, Start: state.store.ProcessNumber(), Storage: keep, StorageDamaged: len(state.store.Damage().Findings) > 0, Transport: p.group,
		Voters:   &dutyVoters{group: work.group, fence: duty.Fence{Storage: keep}},
		Members:  p.forRules,
		Read:     func(text []byte) (*rules.Set, error) { return rules.Read(text, against) },
		Activate: path.applyRules,
	})
	p.rulesBar = func() bool { return !s.node.Serves() }
	return s, nil
}

// forRules are the members that a push asks: all that may serve.
func (p *peers) forRules() (all []rules.Member) {
	for _, m := range p.group.View().Members {
		if m.State == member.Present || m.State == member.Silent {
			all = append(all, rules.Member{Peer: rules.Peer{Name: m.Name, Start: m.Start}, Silent: m.State == member.Silent})
		}
	}
	return all
}

// voters are the duties' voters as rules want them.
type dutyVoters struct {
	group *duty.Group
	fence duty.Fence
}

// Holds implements rules.Voters.
func (v *dutyVoters) Holds() (uint64, bool) { return v.group.Holds(dutyRules) }

// Holder implements rules.Voters.
func (v *dutyVoters) Holder() (string, error) {
	t, err := v.group.Table()
	for _, h := range t.Holdings {
		if h.Duty == dutyRules {
			return h.Holder, err
		}
	}
	return "", err
}

// LastEntry implements rules.Voters.
func (v *dutyVoters) LastEntry() (rules.Floor, error) {
	e, err := v.group.LastEntry(dutyRules)
	return rules.Floor{Version: e.Version, Digest: e.Digest, Token: e.Token}, err
}

// CommitEntry implements rules.Voters.
func (v *dutyVoters) CommitEntry(f rules.Floor) (refused, err error) {
	err = v.group.CommitEntry(dutyRules, f.Token, f.Version, f.Digest)
	if errors.Is(err, duty.ErrEntryRefused) {
		return err, nil
	}
	return nil, err
}

// AdmitToken implements rules.Voters.
func (v *dutyVoters) AdmitToken(token uint64) (bool, error) { return v.fence.Admit(dutyRules, token) }

// begin puts the floor's set in force; the loop runs, and no request has come.
func (s *ruleSets) start(ctx context.Context) error {
	if s.node == nil {
		return nil
	}
	return s.node.ActivateFloor(ctx)
}

// run takes part until ctx ends.
func (s *ruleSets) run(ctx context.Context) {
	if s.node == nil {
		return
	}
	s.pushFile()
	go s.node.Run(ctx)
}

// read takes the file, which need not be there.
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

// serves says whether requests may be served.
func (s *ruleSets) mayServe() bool {
	return s.node == nil || s.node.Serves()
}

// stat writes the figures of rules, where there are any.
func (s *ruleSets) stat(w io.Writer) {
	if s.node == nil {
		return
	}
	st, barred := s.node.Status(), 0
	if !st.Serves {
		barred = 1
	}
	fmt.Fprintf(w, "app.rules_version=%d\napp.rules_floor=%d\napp.rules_barred=%d\n", st.InForce, st.Floor.Version, barred)
}

// show writes what is in force, and why a push was refused.
func (s *ruleSets) show(w io.Writer) error {
	if s.node == nil {
		return errors.New("there are no rule sets: the fleet file has no rules.file")
	}
	st := s.node.Status()
	fmt.Fprintf(w, "200 in-force=%d floor=%d digest=%s token=%d serves=%v differs=%v holds=%d file=%d forms=%s\n",
		st.InForce, st.Floor.Version, st.Floor.Digest, st.Floor.Token, st.Serves, st.DigestDiffers, st.DutyToken, st.FileVersion, rules.Highest)
	if st.BarredReason != "" {
		fmt.Fprintf(w, "barred\t%s\n", st.BarredReason)
	}
	if st.FileRefusal != "" {
		fmt.Fprintf(w, "refused for good\t%d\t%s\n", st.FileVersion, st.FileRefusal)
	}
	for _, r := range st.Refusals {
		fmt.Fprintf(w, "refused\t%d\tby %s\t%s\n", r.Version, r.Name, r.Why)
	}
	for _, m := range s.peers.group.View().Members { // who can't take what this one can, or takes more
		if m.State == member.Present && m.Forms != rules.Highest {
			fmt.Fprintf(w, "member\t%s\tforms=%s\n", m.Name, cmp.Or(m.Forms, "none"))
		}
	}
	fmt.Fprintln(w, "EOF")
	return nil
}
