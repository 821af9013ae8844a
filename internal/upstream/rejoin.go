package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// rejoin tells servers that follow nobody, or an old term, whom to follow.
func (u *guard) rejoin(ctx context.Context) {
	g := u.group
	leader, t, astray := u.astray()
	for _, name := range astray {
		ctx, cancel := context.WithTimeout(ctx, followEvery)
		err := control{g}.Follow(ctx, name, t, leader)
		cancel()
		eventFollow.Log(g.Logger, "server", name, "primary", leader, "err", err)
	}
}

// astray gives the primary, its term, and the servers to be told to follow it now.
func (u *guard) astray() (leader term.Server, t position.Term, names []term.Server) {
	g := u.group
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary()
	if p == nil {
		return "", 0, nil
	}
	for _, m := range g.members {
		if m != p && m.usable && m.astray(p) && time.Since(m.followedAt) > followEvery {
			m.followedAt = time.Now()
			names = append(names, term.Server(m.server.Name))
		}
	}
	return term.Server(p.server.Name), p.status.Term, names
}

// astray tells whether a server doesn't follow the leader; the group's mu is held.
func (m *member) astray(leader *member) bool {
	if m.status.Term < leader.status.Term {
		return true
	}
	if m.status.Received.Term < leader.status.Received.Term && time.Since(m.movedAt) > followEvery {
		return true
	}
	return m.status.Received.Offset < leader.status.Received.Offset && time.Since(m.movedAt) > 2*followEvery
}
