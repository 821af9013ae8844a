package upstream

import (
	"context"
	"slices"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// addMember adds a server and starts its watch and pool; g.mu is held, since the watch
// may report immediately.
func (g *Group) addMember(s platform.Server) {
	m := &member{server: s}
	m.pool = &Pool{
		Server: s, Login: g.Login, Dial: g.Dial, QueueOrder: g.QueueOrder, MaxQueueLength: g.MaxQueueLength,
		ConcurrencyLimit: g.ConcurrencyLimit, Share: func() int { return g.Share(s.Name) }, monitor: g.monitor,
	}
	if g.Allowance != nil {
		m.pool.Allowance = g.Allowance(s.Name)
	}
	m.pool.setLeaving(s.Leaving)
	m.watch = &serverWatch{server: s, login: g.Login, dial: g.Dial, logger: g.Logger, monitor: g.monitor, onStatus: g.updateStatus}
	ctx, cancel := context.WithCancel(g.ctx)
	m.cancel = cancel
	g.members[s.Name] = m
	g.tasks.Go(func() { m.watch.run(ctx) })
	g.tasks.Go(func() { m.pool.run(ctx) })
}

// updateServers applies a changed configuration document: members that stay keep their
// connections.
func (g *Group) updateServers(up platform.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[platform.ServerName]bool{}
	for _, s := range up.Servers {
		listed[s.Name] = true
		m := g.members[s.Name]
		if m != nil && m.server.Address == s.Address {
			m.server = s
			m.pool.setLeaving(s.Leaving)
			continue
		}
		g.removeMember(m)
		g.addMember(s)
	}
	for name, m := range g.members {
		if !listed[name] {
			g.removeMember(m)
		}
	}
	previousServers := g.Upstream.Servers
	g.Upstream.Servers, g.Upstream.Acknowledge = up.Servers, up.Acknowledge
	if !sameNames(previousServers, up.Servers) {
		g.startMonitor()
	}
	g.notifyChanged()
}

func sameNames(a, b []platform.Server) bool {
	return slices.EqualFunc(a, b, func(x, y platform.Server) bool { return x.Name == y.Name })
}

// removeMember ends a member's watch and pool; g.mu is held. Connections in use are
// closed when they are released.
func (g *Group) removeMember(m *member) {
	if m == nil {
		return
	}
	m.cancel()
	m.pool.close()
	delete(g.members, m.server.Name)
}
