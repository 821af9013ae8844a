package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// redirectStrayReplicas makes servers that replicate from no primary, or from that of
// an old term, follow the current one.
func (fm *failoverMonitor) redirectStrayReplicas(ctx context.Context) {
	g := fm.group
	primary, t, names := fm.strayReplicas()
	for _, name := range names {
		ctx, cancel := context.WithTimeout(ctx, followInterval)
		err := serverControl{g}.Follow(ctx, name, t, primary)
		cancel()
		eventFollow.Log(g.Logger, "server", name, "primary", primary, "err", err)
	}
}

// strayReplicas returns the primary, its term, and the servers that are due for a
// follow statement.
func (fm *failoverMonitor) strayReplicas() (primary term.ServerName, t position.Term, names []term.ServerName) {
	g := fm.group
	g.mu.Lock()
	defer g.mu.Unlock()
	primaryMember := g.usablePrimary()
	if primaryMember == nil {
		return "", 0, nil
	}
	for _, m := range g.members {
		if m != primaryMember && m.usable && m.isStray(primaryMember) && time.Since(m.followSentAt) > followInterval {
			m.followSentAt = time.Now()
			names = append(names, term.ServerName(m.server.Name))
		}
	}
	return term.ServerName(primaryMember.server.Name), primaryMember.status.Term, names
}

// isStray reports whether a server doesn't seem to replicate from the primary: its term
// is older, or its log is behind the primary's and hasn't changed for a while. The
// group's mu is held.
func (m *member) isStray(primary *member) bool {
	if m.status.Term < primary.status.Term {
		return true
	}
	if m.status.Received.Term < primary.status.Received.Term && time.Since(m.logChangedAt) > followInterval {
		return true
	}
	return m.status.Received.Offset < primary.status.Received.Offset && time.Since(m.logChangedAt) > 2*followInterval
}
