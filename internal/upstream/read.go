package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// waitAtMost bounds waiting for a replica to reach a floor.
	waitAtMost = 50 * time.Millisecond
	// waitAtLeast is waited for a replica even when the primary is idle.
	waitAtLeast = 10 * time.Millisecond
	// waitSlack is waited beyond the time at which a replica is expected at a floor.
	waitSlack = 5 * time.Millisecond
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
func (g *Group) Read(ctx context.Context, r Request, f Freshness) (*Conn, error) {
	switch g.Reads.(type) {
	case PrimaryOnly:
		return g.Write(ctx, r)
	case AnyReplica:
		f = Freshness{}
	}
	if err := g.Check(f.Floor); err != nil {
		return nil, err
	}
	patience := time.Now().Add(waitAtMost)
	for {
		g.mu.Lock()
		m, changed := g.replica(f), g.changed
		var role Role
		if m != nil {
			role = m.role()
		}
		wait := g.worthWaiting(f, patience)
		g.mu.Unlock()
		if m != nil {
			c, err := g.take(ctx, m, r, role)
			if c != nil || err != nil {
				return c, err
			}
			continue
		}
		if wait <= 0 {
			return g.Write(ctx, r)
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
func (m *member) role() Role {
	if m.status.Role == Primary {
		return Primary
	}
	return Replica
}

// replica picks the least loaded replica that meets f, nil if none does. A replica
// with a queue is passed over when the primary has none; g.mu is held.
func (g *Group) replica(f Freshness) *member {
	var oldest position.Position
	var provable bool
	if f.MaxStaleness > 0 {
		oldest, provable = g.samples.before(time.Now().Add(-f.MaxStaleness))
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
		if best == nil || m.pool.load() < best.pool.load() {
			best = m
		}
	}
	return best
}

// worthWaiting gives how long a replica is worth waiting for, 0 for not at all;
// g.mu is held.
func (g *Group) worthWaiting(f Freshness, patience time.Time) time.Duration {
	left := time.Until(patience)
	primary := g.primary()
	if primary == nil {
		return max(left, 0)
	}
	budget := max(primary.pool.wait(), waitAtLeast)
	now := time.Now()
	shortest := budget + 1
	for _, m := range g.members {
		if m.usable && !m.server.Leaving && m.status.Role == Replica && m.status.Applied.Term >= f.Floor.Term {
			shortest = min(shortest, m.lag.until(&g.heads, m.status.Applied.Offset, f.Floor.Offset, now))
		}
	}
	if shortest > budget {
		return 0
	}
	return min(left, shortest+waitSlack)
}

// samples remembers how far the primary's log reached at what time.
type samples struct {
	list []sample
}

type sample struct {
	at       time.Time
	position position.Position
}

const (
	// sampleEvery spaces the samples.
	sampleEvery = 50 * time.Millisecond
	// maxSamples bounds their number: 30 s of samples.
	maxSamples = 600
)

func (s *samples) add(at time.Time, p position.Position) {
	if n := len(s.list); n > 0 && at.Sub(s.list[n-1].at) < sampleEvery {
		return
	}
	s.list = append(s.list, sample{at, p})
	if len(s.list) > maxSamples {
		s.list = s.list[1:]
	}
}

// before gives the primary's position at the first sample at or after t: a server
// past it misses no write older than t. False when no sample is that young.
func (s *samples) before(t time.Time) (position.Position, bool) {
	for _, sm := range s.list {
		if !sm.at.Before(t) {
			return sm.position, true
		}
	}
	return position.Position{}, false
}
