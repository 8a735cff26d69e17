package duty

import (
	"errors"
	"slices"
)

// service has the methods that other processes call by net/rpc. The names of its methods and of the exported
// fields of their arguments and replies are on the wire between processes of different builds.
type service struct{ group *Group }

// RenewArgs requests leases for the duties that a process holds.
type RenewArgs struct {
	Name   string
	Start  uint64
	Tokens map[string]uint64 // token of each holding, by duty
}

// RenewReply names the duties whose leases were renewed.
type RenewReply struct{ Granted []string }

// ReleaseArgs lists duties that their holder releases.
type ReleaseArgs struct{ Given []Holding }

// MoveArgs names a duty and the process to move it to.
type MoveArgs struct{ Duty, To string }

// VoterStatus is the state of a voter, as service.Who reports it.
type VoterStatus struct {
	ID    string // its raft id, which changes when its disk was lost
	Fresh bool   // its log is empty
}

// leadingVoter returns this process's voter if it leads, and otherwise an error that names the leader if it is
// known.
func (s *service) leadingVoter() (*voter, error) {
	s.group.mu.Lock()
	v := s.group.voter
	s.group.mu.Unlock()
	if v == nil {
		return nil, errors.New(errNotLeader)
	}
	if hint, leads := v.leads(); !leads {
		return nil, errors.New(errNotLeader + hint)
	}
	return v, nil
}

// Renew grants leases for those of the duties that the caller still holds.
func (s *service) Renew(args RenewArgs, reply *RenewReply) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	reply.Granted, err = v.renewLeases(args)
	return err
}

// Release makes duties that their holder releases free to be reassigned.
func (s *service) Release(args ReleaseArgs, _ *struct{}) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	return v.release(args.Given)
}

// EnterArgs is an entry to be made under a duty. It is also stored in the raft log.
type EnterArgs struct {
	Duty string
	Entry
}

// EnterReply is the entry that is valid after the call, and why the requested one was refused.
type EnterReply struct {
	Entry   Entry
	Refused string
}

// Enter commits a holder's entry.
func (s *service) Enter(args EnterArgs, reply *EnterReply) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	*reply, err = v.commitEntry(args)
	return err
}

// Entered returns a duty's last entry.
func (s *service) Entered(duty string, reply *Entry) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	*reply, err = v.lastEntry(duty)
	return err
}

// Move moves a duty to another process.
func (s *service) Move(args MoveArgs, _ *struct{}) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	return v.move(args.Duty, args.To)
}

// Table returns the assignment of duties.
func (s *service) Table(_ struct{}, reply *Table) error {
	v, err := s.leadingVoter()
	if err != nil {
		return err
	}
	*reply, err = v.describe()
	return err
}

// Given informs this process that a duty is assigned to it.
func (s *service) Given(h Holding, _ *struct{}) error {
	if h.Holder != s.group.cfg.Name || h.Start != s.group.cfg.Start || !slices.ContainsFunc(s.group.cfg.Duties, func(d Duty) bool { return d.Name == h.Duty }) {
		return errors.New("the duty is assigned to another process")
	}
	s.group.accept(h)
	return nil
}

// Taken ends this process's holding of a duty, which is being moved to another process.
func (s *service) Taken(h Holding, _ *struct{}) error {
	s.group.revoke(h)
	return nil
}

// Who returns the state of this process's voter.
func (s *service) Who(_ struct{}, reply *VoterStatus) error {
	s.group.mu.Lock()
	v := s.group.voter
	s.group.mu.Unlock()
	if v == nil {
		return errors.New("this process is not a voter")
	}
	*reply = v.status()
	return nil
}
