package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// rejoin tells servers that follow nobody, or an old term, whom to follow.
func (u *failoverMonitor) redirectStrayReplicas(ctx context.Context) {
	g := u.group
	leader, t, astray := u.strayReplicas()
	for _, name := range astray {
		ctx, cancel := context.WithTimeout(ctx, followInterval)
		err := serverControl{g}.Follow(ctx, name, t, leader)
		cancel()
		eventFollow.Log(g.Logger, "server", name, "primary", leader, "err", err)
	}
}

// astray gives the primary, its term, and the servers to be told to follow it now.
func (u *failoverMonitor) strayReplicas() (leader term.ServerName, t position.Term, names []term.ServerName) {
	g := u.group
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.usablePrimary()
	if p == nil {
		return "", 0, nil
	}
	for _, m := range g.members {
		if m != p && m.usable && m.isStray(p) && time.Since(m.followSentAt) > followInterval {
			m.followSentAt = time.Now()
			names = append(names, term.ServerName(m.server.Name))
		}
	}
	return term.ServerName(p.server.Name), p.status.Term, names
}

// astray tells whether a server doesn't follow the leader; the group's mu is held.
func (m *member) isStray(primary *member) bool {
	if m.status.Term < primary.status.Term {
		return true
	}
	if m.status.Received.Term < primary.status.Received.Term && time.Since(m.logChangedAt) > followInterval {
		return true
	}
	return m.status.Received.Offset < primary.status.Received.Offset && time.Since(m.logChangedAt) > 2*followInterval
}
