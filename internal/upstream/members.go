package upstream

import (
	"context"
	"slices"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// add makes a server a member; g.mu is held, since its watch reports at once.
func (g *Group) add(s platform.Server) {
	m := &member{server: s}
	m.pool = &Pool{
		Server: s, Login: g.Login, Dial: g.Dial, Order: g.Order, MaxQueue: g.MaxQueue,
		Limit: g.Limit, Share: func() int { return g.Share(s.Name) },
	}
	if g.Allowance != nil {
		m.pool.Allowance = g.Allowance(s.Name)
	}
	m.pool.leave(s.Leaving)
	m.watch = &watch{server: s, login: g.Login, dial: g.Dial, logger: g.Logger, report: g.report}
	ctx, cancel := context.WithCancel(g.ctx)
	m.cancel = cancel
	g.members[s.Name] = m
	g.tasks.Go(func() { m.watch.run(ctx) })
	g.tasks.Go(func() { m.pool.run(ctx) })
}

// update follows a changed document: members that stay keep their connections.
func (g *Group) update(up platform.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	named := map[platform.ServerName]bool{}
	for _, s := range up.Servers {
		named[s.Name] = true
		m := g.members[s.Name]
		if m != nil && m.server.Address == s.Address {
			m.server = s
			m.pool.leave(s.Leaving)
			continue
		}
		g.remove(m)
		g.add(s)
	}
	for name, m := range g.members {
		if !named[name] {
			g.remove(m)
		}
	}
	before := g.Upstream.Servers
	g.Upstream.Servers, g.Upstream.Acknowledge = up.Servers, up.Acknowledge
	if !sameNames(before, up.Servers) {
		g.watchPrimary()
	}
	g.signal()
}

func sameNames(a, b []platform.Server) bool {
	return slices.EqualFunc(a, b, func(x, y platform.Server) bool { return x.Name == y.Name })
}

// remove ends a member's watch and pool; g.mu is held. Connections in use end with
// their transactions.
func (g *Group) remove(m *member) {
	if m == nil {
		return
	}
	m.cancel()
	m.pool.close()
	delete(g.members, m.server.Name)
}
