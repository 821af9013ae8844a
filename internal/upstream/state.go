package upstream

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// serverState is the state of one server in a state dump.
type serverState struct {
	Role            Role   `json:"role"`
	Usable          bool   `json:"usable"`
	Term            int64  `json:"term"`
	Received        string `json:"received"`
	Applied         string `json:"applied"`
	SinceLastSeenMs int64  `json:"heard-ms-ago"`
	InUse           int    `json:"connections-in-use"`
	Idle            int    `json:"connections-idle"`
	Share           int    `json:"connections-share"`
	MaxInUse        int    `json:"connections-limit"`
	Waiting         int    `json:"requests-waiting"`
	TypicalLagMicro int64  `json:"usual-lag-us"`
	TypicalUseMicro int64  `json:"typical-use-us"`
}

// groupState is the state of one group in a state dump.
type groupState struct {
	Term    position.Term                       `json:"term"`
	Primary platform.ServerName                 `json:"primary"`
	Servers map[platform.ServerName]serverState `json:"servers"`
}

// State returns the state of all groups for a dump.
func (u *Upstreams) State() any {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := map[platform.UpstreamName]groupState{}
	for name, g := range u.groups {
		all[name] = g.state()
	}
	return all
}

func (g *Group) state() groupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := groupState{Term: g.term, Servers: map[platform.ServerName]serverState{}}
	if m := g.usablePrimary(); m != nil {
		state.Primary = m.server.Name
	}
	for name, m := range g.members {
		state.Servers[name] = m.state()
	}
	return state
}

func (m *member) state() serverState {
	state := serverState{
		Role: m.status.Role, Usable: m.usable, Term: int64(m.status.Term),
		Received: m.status.Received.String(), Applied: m.status.Applied.String(),
		TypicalLagMicro: m.lag.typical.Microseconds(),
	}
	if !m.lastSeen.IsZero() {
		state.SinceLastSeenMs = time.Since(m.lastSeen).Milliseconds()
	}
	state.InUse, state.Idle, state.Waiting = m.pool.connectionCounts()
	state.Share, state.MaxInUse = m.pool.shareAndLimit()
	state.TypicalUseMicro = m.pool.typicalUseTime().Microseconds()
	return state
}

// shareAndLimit returns this VM's share of the server's connections and how many of
// them may be in use at once.
func (p *Pool) shareAndLimit() (share, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConnections(), p.maxInUse()
}

// typicalUseTime returns the moving average of the time for which a connection is in
// use.
func (p *Pool) typicalUseTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.useTime.typical
}
