package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// keepTick is how often a group is looked after.
	maintainInterval = 200 * time.Millisecond
	// proveEvery bounds the age of the newest proof of the lead: well under the bounds
	// of routes, so that reads find a floor that replicas have reached.
	verifyInterval = 500 * time.Millisecond
	// proveWithin bounds one proof; it takes no slot.
	verifyTimeout = 400 * time.Millisecond
	// shedEvery is how often idle connections are looked through.
	trimInterval = 2 * time.Second
)

// run looks after the group until ctx ends.
func (g *Group) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	var lastTrim time.Time
	for {
		g.refreshPrimary(ctx)
		if time.Since(lastTrim) > trimInterval {
			lastTrim = time.Now()
			for _, m := range g.sortedMembers() {
				m.pool.Trim()
			}
		}
		select {
		case <-ctx.Done():
			for _, m := range g.sortedMembers() {
				m.pool.Close()
				m.pool.Wait()
			}
			return
		case <-tick.C:
		}
	}
}

// tend proves the lead anew, or looks for one.
func (g *Group) refreshPrimary(ctx context.Context) {
	if g.VM.Configuration() == nil {
		return
	}
	m, _ := g.currentPrimary()
	if m == nil {
		for _, candidate := range g.sortedMembers() {
			g.verifyServer(ctx, candidate)
		}
		return
	}
	if !g.VM.Fleet.Verifies(g.Name) {
		return
	}
	sent, _, found := g.Samples.Newest()
	g.mu.Lock()
	failing, lastOKSentAt := g.health.failures > 0, g.health.lastOKSentAt
	g.mu.Unlock()
	if found && !failing && clock.Now().Sub(max(lastOKSentAt, clock.Instant(sent)-clock.Instant(verifyInterval))) < verifyInterval {
		return
	}
	g.verifyServer(ctx, m)
}

// list gives the members by id.
func (g *Group) sortedMembers() []*member {
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
func (g *Group) verifyServer(ctx context.Context, m *member) {
	until := time.Now().Add(verifyTimeout)
	co, err := g.checkOutToVerify(ctx, m, until)
	if isType(err, ErrBusy) || isType(err, ErrRefused) {
		return
	}
	if err != nil {
		g.recordFailure(m.pool.Server.ID, err, true)
		return
	}
	_, a, err := co.verifyPrimary(until)
	co.release(err == nil && a.Phase == Idle)
	switch {
	case err != nil:
		if co.local {
			m.pool.CloseIdle()
		}
		co.recordFailure(err)
	case a.Failure == NotPrimary:
		g.clearPrimary(m.pool.Server.ID, "refused to prove that it leads")
	}
}

func (g *Group) checkOutToVerify(ctx context.Context, m *member, until time.Time) (*checkout, error) {
	if !g.VM.Fleet.Verifies(g.Name) {
		return g.checkOut(ctx, m, anonymousWorkspace, until)
	}
	c, err := m.pool.AcquireAny(ctx, until)
	if err != nil {
		return nil, err
	}
	return g.newCheckout(localExecutor{c}, c.Server, true), nil
}
