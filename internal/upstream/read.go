package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// maxReplicaWait bounds the wait for a replica to reach a floor.
	maxReplicaWait = 50 * time.Millisecond
	// minReplicaWait is how long a read may wait for a replica even if the primary is
	// idle.
	minReplicaWait = 10 * time.Millisecond
	// replicaWaitMargin is added to the time at which a replica is expected to reach a
	// floor.
	replicaWaitMargin = 5 * time.Millisecond
)

// ReadPolicy decides where reads go: WaitOrPrimary, PrimaryOnly or AnyReplica.
type ReadPolicy interface{ readPolicy() }

type (
	// WaitOrPrimary uses a replica that has reached the floor, or waits for one if that
	// is likely cheaper than the primary, otherwise uses the primary.
	WaitOrPrimary struct{}
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly struct{}
	// AnyReplica ignores positions, as a naive read/write splitter does.
	AnyReplica struct{}
)

func (WaitOrPrimary) readPolicy() {}
func (PrimaryOnly) readPolicy()   {}
func (AnyReplica) readPolicy()    {}

// Freshness is the minimum freshness that a read requires.
type Freshness struct {
	// Floor is the position that the answering server must have applied.
	Floor position.Position
	// MaxStaleness bounds the age of other sessions' writes that the answer may miss; 0
	// means no bound.
	MaxStaleness time.Duration
}

// AcquireForRead acquires a connection to a server that is fresh enough. It returns
// ErrNoServer, ErrBusy, ErrConnect or ErrFloorLost; nothing was executed then.
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
	waitUntil := time.Now().Add(maxReplicaWait)
	for {
		g.mu.Lock()
		m, changed := g.pickReplica(f), g.changed
		var role Role
		if m != nil {
			role = m.currentRole()
		}
		wait := g.replicaWait(f, waitUntil)
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
			waitUntil = time.Now()
		case <-ctx.Done():
			timer.Stop()
			return nil, ErrBusy.Wrap(ctx.Err(), "no server of upstream %s is fresh enough yet", g.Upstream.Name)
		}
		timer.Stop()
	}
}

// currentRole returns the role that the member last reported; g.mu is held.
func (m *member) currentRole() Role {
	if m.status.Role == Primary {
		return Primary
	}
	return Replica
}

// pickReplica returns the least loaded usable replica that satisfies f, nil if none
// does; g.mu is held.
func (g *Group) pickReplica(f Freshness) *member {
	var minPosition position.Position
	var hasSample bool
	if f.MaxStaleness > 0 {
		minPosition, hasSample = g.primaryPositions.firstSince(time.Now().Add(-f.MaxStaleness))
	}
	var best *member
	for _, m := range g.members {
		s := m.status
		if !m.usable || m.server.Leaving || s.Role != Replica || !s.Applied.Covers(f.Floor) {
			continue
		}
		if f.MaxStaleness > 0 && (!hasSample || !s.Applied.Covers(minPosition)) {
			continue
		}
		if best == nil || m.pool.utilization() < best.pool.utilization() {
			best = m
		}
	}
	return best
}

// replicaWait returns how long a read should wait for a replica, at most until
// waitUntil; it isn't positive if the primary is likely faster or waitUntil has passed.
// g.mu is held.
func (g *Group) replicaWait(f Freshness, waitUntil time.Time) time.Duration {
	remaining := time.Until(waitUntil)
	primary := g.usablePrimary()
	if primary == nil {
		return max(remaining, 0)
	}
	maxWait := max(primary.pool.estimatedWait(), minReplicaWait)
	now := time.Now()
	shortest := maxWait + 1
	for _, m := range g.members {
		if m.usable && !m.server.Leaving && m.status.Role == Replica && m.status.Applied.Term >= f.Floor.Term {
			shortest = min(shortest, m.lag.timeToApply(&g.logTimeline, m.status.Applied.Offset, f.Floor.Offset, now))
		}
	}
	if shortest > maxWait {
		return 0
	}
	return min(remaining, shortest+replicaWaitMargin)
}

// positionSamples records which position the primary had applied at what time.
type positionSamples struct {
	entries []positionSample
}

type positionSample struct {
	at       time.Time
	position position.Position
}

const (
	// sampleInterval is the least time between two samples.
	sampleInterval = 50 * time.Millisecond
	// maxSamples bounds the number of samples to those of about 30 s or more.
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

// firstSince returns the position of the first sample at or after t: a server that has
// applied that position misses no write older than t. It returns false if there is no
// such sample.
func (s *positionSamples) firstSince(t time.Time) (position.Position, bool) {
	for _, entry := range s.entries {
		if !entry.at.Before(t) {
			return entry.position, true
		}
	}
	return position.Position{}, false
}
