package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

const (
	// maintainInterval is the interval between two maintenance runs of a group.
	maintainInterval = 200 * time.Millisecond
	// verifyInterval is the age of the latest answer as primary at which a verifier VM verifies
	// the primary again. It is well below the staleness bounds of the routes, so that the
	// floors of reads are positions which replicas have already reached.
	verifyInterval = 500 * time.Millisecond
	// verifyTimeout limits one verification, which doesn't take a slot of the server.
	verifyTimeout = 400 * time.Millisecond
	// trimInterval is the interval between two checks for surplus idle connections.
	trimInterval = 2 * time.Second
)

// maintain verifies the primary and trims the connection pools until ctx ends, and then closes
// the pools.
func (g *Group) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	var lastTrim time.Time
	for {
		g.applyEvacuation()
		g.updateSenders()
		g.refreshPrimary(ctx)
		g.VM.logEmptyZones()
		if time.Since(lastTrim) > trimInterval {
			lastTrim = time.Now()
			g.VM.updateLargeWorkspaces()
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

// refreshPrimary searches for the primary if it is unknown. A verifier verifies a known primary again
// when that is due, any other VM only one that has failed: it sends it no requests until it has
// answered again.
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
	if !g.allows(m, placement.Verify) {
		g.searchElsewhere(ctx)
		return
	}
	g.mu.Lock()
	failing, lastOKSentAt := g.health.failures > 0, g.health.lastOKSentAt
	retryDue := g.health.hasFailed() && clock.Since(g.health.lastFailureAt) >= verifyInterval
	g.mu.Unlock()
	if !g.VM.Fleet.IsVerifier(g.Name) {
		if retryDue {
			g.verifyServer(ctx, m)
		}
		return
	}
	sent, _, found := g.Samples.Newest()
	if found && !failing && clock.Now().Sub(max(lastOKSentAt, clock.Instant(sent)-clock.Instant(verifyInterval))) < verifyInterval {
		return
	}
	g.verifyServer(ctx, m)
}

// sortedMembers returns the members sorted by server ID.
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

// verifyServer has a server show that it is the primary. A verifier uses a connection of its own, and
// so does a VM whose own connections have failed, since only these tell whether they work again. Any
// other VM uses one of the VM that owns the pooled connections.
func (g *Group) verifyServer(ctx context.Context, m *member) {
	if !g.allows(m, placement.Verify) {
		return
	}
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
		if co.local && !isUnattributed(err) {
			m.pool.CloseIdle()
		}
		co.recordFailure(err)
	case a.Failure == NotPrimary:
		g.clearPrimary(m.pool.Server.ID, "refused the verification as primary")
	}
}

func (g *Group) checkOutToVerify(ctx context.Context, m *member, until time.Time) (*checkout, error) {
	g.mu.Lock()
	hasFailed := g.health.hasFailed()
	g.mu.Unlock()
	if !g.VM.Fleet.IsVerifier(g.Name) && !hasFailed {
		return g.checkOut(ctx, m, demand{workspace: anonymousWorkspace, verification: true, Urgency: Urgency{Deadline: until}}, until)
	}
	if open, _, _, _ := m.pool.counts(); open == 0 && !g.VM.mayOpenToVerify(m.pool.Server.ID) {
		if !g.VM.Fleet.Settled() {
			return nil, ErrBusy.New("server %s: the owner of its connections isn't known yet", m.pool.Server.ID)
		}
		return g.checkOut(ctx, m, demand{workspace: anonymousWorkspace, verification: true, Urgency: Urgency{Deadline: until}}, until)
	}
	c, err := g.acquireAny(ctx, m, until)
	if err != nil {
		return nil, err
	}
	return g.newCheckout(localExecutor{c}, c.Server, true), nil
}
