package conform

import (
	"cmp"
	"encoding/json"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
	"arrowgw/policy"
)

// module is the decision module, in this process.
type module struct {
	b    *policy.Balancer
	acts []action
}

func (m *module) add(a action) { m.acts = append(m.acts, a) }

func (m *module) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	m.add(action{kind: send, id: int(id), server: int(to), d: timeout, unsent: cmp.Or(unsent, timeout)})
}

func (m *module) Withdraw(id balance.RequestID, attempt int) {
	m.add(action{kind: withdraw, id: int(id), attempt: attempt})
}

func (m *module) Refuse(id balance.RequestID, pause time.Duration, _ balance.Reason) {
	m.add(action{kind: refuse, id: int(id), d: pause})
}
func (m *module) Fail(id balance.RequestID, _ balance.Reason) { m.add(action{kind: fail, id: int(id)}) }
func (m *module) Cancel(id balance.RequestID, _ int)          { m.add(action{kind: cancel, id: int(id)}) }
func (m *module) Wake(d time.Duration)                        { m.add(action{kind: timer, d: d}) }
func (m *module) CloseIdle(balance.ServerID)                  {}
func (m *module) Probe(balance.ServerID)                      {}
func (m *module) WatchList()                                  { m.add(action{kind: watch}) }
func (m *module) Log(string)                                  {}

func (m *module) start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error) {
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
	if m.b, err = policy.New(cfg, seed, m); err != nil {
		return nil, err
	}
	m.b.Start(now)
	return m.play(now, event{kind: list, list: balance.ListCached, servers: known})
}

func (m *module) play(now time.Duration, e event) ([]action, error) {
	switch e.kind {
	case request:
		m.b.Request(now, e.request)
	case outcome:
		m.b.Outcome(now, e.outcome)
	case wake:
		m.b.Wake(now)
	case list:
		m.b.UpdateServers(now, e.list, e.servers)
	case gone:
		m.b.ClientGone(now, e.request.ID)
	}
	acts := m.acts
	m.acts = nil
	return acts, nil
}

func (m *module) close() error { return nil }
