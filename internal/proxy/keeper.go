package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// keepTick is how often a group is looked after.
	keepTick = 200 * time.Millisecond
	// proveEvery bounds the age of the newest proof of the lead: well under the bounds
	// of routes, so that reads find a floor that replicas have reached.
	proveEvery = 500 * time.Millisecond
	// proveWithin bounds one proof; it takes no slot.
	proveWithin = 400 * time.Millisecond
	// shedEvery is how often idle connections are looked through.
	shedEvery = 2 * time.Second
)

// run looks after the group until ctx ends.
func (g *Group) run(ctx context.Context) {
	tick := time.NewTicker(keepTick)
	defer tick.Stop()
	var shed time.Time
	for {
		g.tend(ctx)
		if time.Since(shed) > shedEvery {
			shed = time.Now()
			for _, m := range g.list() {
				m.pool.Shed()
			}
		}
		select {
		case <-ctx.Done():
			for _, m := range g.list() {
				m.pool.Close()
				m.pool.Wait()
			}
			return
		case <-tick.C:
		}
	}
}

// tend proves the lead anew, or looks for one.
func (g *Group) tend(ctx context.Context) {
	if g.VM.Configuration() == nil {
		return
	}
	m, _ := g.leader()
	if m == nil {
		for _, candidate := range g.list() {
			g.proveAt(ctx, candidate)
		}
		return
	}
	if !g.VM.Fleet.Proves(g.Name) {
		return
	}
	sent, _, found := g.Samples.Newest()
	g.mu.Lock()
	failing, okAt := g.health.failing > 0, g.health.okAt
	g.mu.Unlock()
	if found && !failing && clock.Now().Sub(max(okAt, clock.Instant(sent)-clock.Instant(proveEvery))) < proveEvery {
		return
	}
	g.proveAt(ctx, m)
}

// list gives the members by id.
func (g *Group) list() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int {
		return compareText(string(a.server.ID), string(b.server.ID))
	})
	return list
}

// proveAt asks a server to prove that it leads: over an own connection, if this VM is one
// of those that watch it, else over whoever's there is.
func (g *Group) proveAt(ctx context.Context, m *member) {
	until := time.Now().Add(proveWithin)
	l, err := g.takeToProve(ctx, m, until)
	if isType(err, ErrBusy) || isType(err, ErrRefused) {
		return
	}
	if err != nil {
		g.failed(m.pool.Server.ID, err, true)
		return
	}
	_, a, err := l.prove(until)
	l.give(err == nil && a.Phase == Idle)
	switch {
	case err != nil:
		if l.direct {
			m.pool.Drop()
		}
		l.failed(err)
	case a.Failure == NotPrimary:
		g.deposed(m.pool.Server.ID, "refused to prove that it leads")
	}
}

func (g *Group) takeToProve(ctx context.Context, m *member, until time.Time) (*lease, error) {
	if !g.VM.Fleet.Proves(g.Name) {
		return g.take(ctx, m, openWorkspace, until)
	}
	c, err := m.pool.TakeAny(ctx, until)
	if err != nil {
		return nil, err
	}
	return g.lease(local{c}, c.Server, true), nil
}
