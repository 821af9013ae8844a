package upstream

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// serverState is what a dump shows of one server.
type serverState struct {
	Role            Role   `json:"role"`
	Usable          bool   `json:"usable"`
	Term            int64  `json:"term"`
	Received        string `json:"received"`
	Applied         string `json:"applied"`
	LastSeenMs      int64  `json:"heard-ms-ago"`
	InUse           int    `json:"connections-in-use"`
	Idle            int    `json:"connections-idle"`
	Share           int    `json:"connections-share"`
	Limit           int    `json:"connections-limit"`
	Waiting         int    `json:"requests-waiting"`
	UsualLagMicro   int64  `json:"usual-lag-us"`
	TypicalUseMicro int64  `json:"typical-use-us"`
}

// groupState is what a dump shows of one group.
type groupState struct {
	Term    position.Term                       `json:"term"`
	Primary platform.ServerName                 `json:"primary"`
	Servers map[platform.ServerName]serverState `json:"servers"`
}

// State is what a dump shows of all groups.
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
	st := groupState{Term: g.term, Servers: map[platform.ServerName]serverState{}}
	if m := g.usablePrimary(); m != nil {
		st.Primary = m.server.Name
	}
	for name, m := range g.members {
		st.Servers[name] = m.state()
	}
	return st
}

func (m *member) state() serverState {
	s := serverState{
		Role: m.status.Role, Usable: m.usable, Term: int64(m.status.Term),
		Received: m.status.Received.String(), Applied: m.status.Applied.String(),
		UsualLagMicro: m.lag.typical.Microseconds(),
	}
	if !m.lastSeen.IsZero() {
		s.LastSeenMs = time.Since(m.lastSeen).Milliseconds()
	}
	s.InUse, s.Idle, s.Waiting = m.pool.connectionCounts()
	s.Share, s.Limit = m.pool.shareAndLimit()
	s.TypicalUseMicro = m.pool.typicalUseTime().Microseconds()
	return s
}

// limits are this VM's part of the server's connections and how many of them may be in
// use at once.
func (p *Pool) shareAndLimit() (share, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConnections(), p.maxInUse()
}

// typical is how long a connection is used for.
func (p *Pool) typicalUseTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.useTime.typical
}
