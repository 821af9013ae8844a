package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// waitAtMost bounds waiting for a replica to reach a floor.
	maxReplicaWait = 50 * time.Millisecond
	// waitAtLeast is waited for a replica even when the primary is idle.
	minReplicaWait = 10 * time.Millisecond
	// waitSlack is waited beyond the time at which a replica is expected at a floor.
	replicaWaitMargin = 5 * time.Millisecond
)

// ReadPolicy decides where reads go: WaitOrPrimary, PrimaryOnly or AnyReplica.
type ReadPolicy interface{ readPolicy() }

type (
	// WaitOrPrimary takes a replica at the floor, waits for one if that is likely
	// cheaper than the primary, else takes the primary.
	WaitOrPrimary struct{}
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly struct{}
	// AnyReplica ignores positions, as a naive read/write splitter does.
	AnyReplica struct{}
)

func (WaitOrPrimary) readPolicy() {}
func (PrimaryOnly) readPolicy()   {}
func (AnyReplica) readPolicy()    {}

// Freshness is what a read demands of the data.
type Freshness struct {
	// Floor must be covered by the server that answers.
	Floor position.Position
	// MaxStaleness bounds the age of others' writes missing from the answer; 0 is
	// no bound.
	MaxStaleness time.Duration
}

// Read gives a connection to a server whose data is as fresh as demanded.
// ErrNoServer, ErrBusy, ErrConnect, ErrFloorLost; nothing has run.
func (g *Group) AcquireForRead(ctx context.Context, r Request, f Freshness) (*Conn, error) {
	switch g.ReadPolicy.(type) {
	case PrimaryOnly:
		return g.AcquireForWrite(ctx, r)
	case AnyReplica:
		f = Freshness{}
	}
	if err := g.CheckFloor(f.Floor); err != nil {
		return nil, err
	}
	patience := time.Now().Add(maxReplicaWait)
	for {
		g.mu.Lock()
		m, changed := g.pickReplica(f), g.changed
		var role Role
		if m != nil {
			role = m.currentRole()
		}
		wait := g.replicaWait(f, patience)
		g.mu.Unlock()
		if m != nil {
			c, err := g.acquire(ctx, m, r, role)
			if c != nil || err != nil {
				return c, err
			}
			continue
		}
		if wait <= 0 {
			return g.AcquireForWrite(ctx, r)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
			patience = time.Now()
		case <-ctx.Done():
			timer.Stop()
			return nil, ErrBusy.Wrap(ctx.Err(), "no server of upstream %s is fresh enough yet", g.Upstream.Name)
		}
		timer.Stop()
	}
}

// role is what the group last heard that the member is; g.mu is held.
func (m *member) currentRole() Role {
	if m.status.Role == Primary {
		return Primary
	}
	return Replica
}

// replica picks the least loaded replica that meets f, nil if none does. A replica
// with a queue is passed over when the primary has none; g.mu is held.
func (g *Group) pickReplica(f Freshness) *member {
	var oldest position.Position
	var provable bool
	if f.MaxStaleness > 0 {
		oldest, provable = g.primaryPositions.firstSince(time.Now().Add(-f.MaxStaleness))
	}
	var best *member
	for _, m := range g.members {
		s := m.status
		if !m.usable || m.server.Leaving || s.Role != Replica || !s.Applied.Covers(f.Floor) {
			continue
		}
		if f.MaxStaleness > 0 && (!provable || !s.Applied.Covers(oldest)) {
			continue
		}
		if best == nil || m.pool.utilization() < best.pool.utilization() {
			best = m
		}
	}
	return best
}

// worthWaiting gives how long a replica is worth waiting for, 0 for not at all;
// g.mu is held.
func (g *Group) replicaWait(f Freshness, patience time.Time) time.Duration {
	left := time.Until(patience)
	primary := g.usablePrimary()
	if primary == nil {
		return max(left, 0)
	}
	budget := max(primary.pool.estimatedWait(), minReplicaWait)
	now := time.Now()
	shortest := budget + 1
	for _, m := range g.members {
		if m.usable && !m.server.Leaving && m.status.Role == Replica && m.status.Applied.Term >= f.Floor.Term {
			shortest = min(shortest, m.lag.timeToApply(&g.logTimeline, m.status.Applied.Offset, f.Floor.Offset, now))
		}
	}
	if shortest > budget {
		return 0
	}
	return min(left, shortest+replicaWaitMargin)
}

// samples remembers how far the primary's log reached at what time.
type positionSamples struct {
	entries []positionSample
}

type positionSample struct {
	at       time.Time
	position position.Position
}

const (
	// sampleEvery spaces the samples.
	sampleInterval = 50 * time.Millisecond
	// maxSamples bounds their number: 30 s of samples.
	maxSamples = 600
)

func (s *positionSamples) add(at time.Time, p position.Position) {
	if n := len(s.entries); n > 0 && at.Sub(s.entries[n-1].at) < sampleInterval {
		return
	}
	s.entries = append(s.entries, positionSample{at, p})
	if len(s.entries) > maxSamples {
		s.entries = s.entries[1:]
	}
}

// before gives the primary's position at the first sample at or after t: a server
// past it misses no write older than t. False when no sample is that young.
func (s *positionSamples) firstSince(t time.Time) (position.Position, bool) {
	for _, sm := range s.entries {
		if !sm.at.Before(t) {
			return sm.position, true
		}
	}
	return position.Position{}, false
}
