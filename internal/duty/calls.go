package duty

import (
	"errors"
	"slices"
)

// service is what processes call at each other, by net/rpc.
type service struct{ g *Group }

// RenewArgs is what is asked for leases: tokens by duty.
type RenewArgs struct {
	Name   string
	Start  uint64
	Tokens map[string]uint64 // by duty
}

// RenewReply names the duties whose leases are renewed.
type RenewReply struct{ Granted []string }

// ReleaseArgs are duties that their holder gives up.
type ReleaseArgs struct{ Given []Holding }

// MoveArgs is a duty, and who is to have it.
type MoveArgs struct{ Duty, To string }

// Standing is what a voter says of itself.
type Standing struct {
	ID    string // of its vote: another one after its disk was lost
	Fresh bool   // it has no table yet
}

// leading returns this process's voter while it leads.
func (s *service) leading() (*voter, error) {
	s.g.mu.Lock()
	v := s.g.voter
	s.g.mu.Unlock()
	if v == nil {
		return nil, errors.New(errNotLeader)
	}
	if hint, leads := v.leads(); !leads {
		return nil, errors.New(errNotLeader + hint)
	}
	return v, nil
}

// Renew gives leases for as many of the duties as the caller still holds.
func (s *service) Renew(args RenewArgs, reply *RenewReply) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	reply.Granted, err = v.grant(args)
	return err
}

// Release takes duties back from their holder.
func (s *service) Release(args ReleaseArgs, _ *struct{}) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	return v.release(args.Given)
}

// EnterArgs is an entry under a duty.
type EnterArgs struct {
	Duty string
	Entry
}

// EnterReply is the entry that stands, and why that is not the one asked for.
type EnterReply struct {
	Entry   Entry
	Refused string
}

// Enter takes a holder's entry.
func (s *service) Enter(args EnterArgs, reply *EnterReply) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	*reply, err = v.enter(args)
	return err
}

// Entered tells a duty's entry.
func (s *service) Entered(duty string, reply *Entry) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	*reply, err = v.entered(duty)
	return err
}

// Move has a duty passed on.
func (s *service) Move(args MoveArgs, _ *struct{}) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	return v.move(args.Duty, args.To)
}

// Table tells who holds what.
func (s *service) Table(_ struct{}, reply *Table) error {
	v, err := s.leading()
	if err != nil {
		return err
	}
	*reply, err = v.tell()
	return err
}

// Given tells a process that a duty is its own now.
func (s *service) Given(h Holding, _ *struct{}) error {
	if h.Holder != s.g.cfg.Name || h.Start != s.g.cfg.Start || !slices.ContainsFunc(s.g.cfg.Duties, func(d Duty) bool { return d.Name == h.Duty }) {
		return errors.New("that is for another process")
	}
	s.g.given(h)
	return nil
}

// Taken ends a duty at its holder.
func (s *service) Taken(h Holding, _ *struct{}) error {
	s.g.taken(h)
	return nil
}

// Who tells what a voter is.
func (s *service) Who(_ struct{}, reply *Standing) error {
	s.g.mu.Lock()
	v := s.g.voter
	s.g.mu.Unlock()
	if v == nil {
		return errors.New("no voter")
	}
	*reply = v.who()
	return nil
}
