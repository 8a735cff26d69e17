package conform

import (
	"cmp"
	"encoding/json"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
	"arrowgw/policy"
)

// policySubject runs rows against the decision module in the test's process. It implements balance.Host, and records the
// module's calls as actions.
type policySubject struct {
	balancer *policy.Balancer
	actions  []action // since the last event
}

func (m *policySubject) addAction(a action) { m.actions = append(m.actions, a) }

// The methods of balance.Host. Rows check nothing about CloseIdle, Probe and Log.

func (m *policySubject) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	m.addAction(action{kind: actionSend, id: int(id), server: int(to), duration: timeout, unsentTimeout: cmp.Or(unsent, timeout)})
}

func (m *policySubject) Withdraw(id balance.RequestID, attempt int) {
	m.addAction(action{kind: actionWithdraw, id: int(id), attempt: attempt})
}

func (m *policySubject) Refuse(id balance.RequestID, pause time.Duration, _ balance.Reason) {
	m.addAction(action{kind: actionRefuse, id: int(id), duration: pause})
}
func (m *policySubject) Fail(id balance.RequestID, _ balance.Reason) {
	m.addAction(action{kind: actionFail, id: int(id)})
}
func (m *policySubject) Cancel(id balance.RequestID, _ int) {
	m.addAction(action{kind: actionCancel, id: int(id)})
}
func (m *policySubject) Wake(d time.Duration)       { m.addAction(action{kind: actionTimer, duration: d}) }
func (m *policySubject) CloseIdle(balance.ServerID) {}
func (m *policySubject) Probe(balance.ServerID)     {}
func (m *policySubject) WatchList()                 { m.addAction(action{kind: actionWatchList}) }
func (m *policySubject) Log(string)                 {}

// start implements virtualSubject. It reads the settings from JSON, as the sidecar does.
func (m *policySubject) start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error) {
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	s, err := wire.SettingsFromJSON(raw)
	if err != nil {
		return nil, err
	}
	cfg, err := s.Config()
	if err != nil {
		return nil, err
	}
	if m.balancer, err = policy.New(cfg, seed, m); err != nil {
		return nil, err
	}
	m.balancer.Start(now)
	return m.handle(now, event{kind: eventList, list: balance.ListCached, servers: known})
}

// handle implements virtualSubject. It passes the event to the decision module and returns the recorded calls.
func (m *policySubject) handle(now time.Duration, e event) ([]action, error) {
	switch e.kind {
	case eventRequest:
		m.balancer.Request(now, e.request)
	case eventOutcome:
		m.balancer.Outcome(now, e.outcome)
	case eventWake:
		m.balancer.Wake(now)
	case eventList:
		m.balancer.UpdateServers(now, e.list, e.servers)
	case eventClientGone:
		m.balancer.ClientGone(now, e.request.ID)
	}
	actions := m.actions
	m.actions = nil
	return actions, nil
}

// close implements virtualSubject.
func (m *policySubject) close() error { return nil }
