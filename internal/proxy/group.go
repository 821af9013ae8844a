package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/freshness"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Group is one database group as this VM sees it: its servers, who leads, and how far
// the log has come.
type Group struct {
	Name    ServiceName
	VM      *VM
	Logger  log.Logger
	Samples freshness.Samples

	mu      sync.Mutex
	members map[ServerID]*member
	// lead is the primary by the newest term heard of; empty while it isn't known.
	primary ServerID
	// term is that of lead; it never falls.
	term position.Term
	// changed is closed and replaced when lead changes.
	primaryChanged chan struct{}
	// health of the lead as this VM finds it.
	health primaryHealth
	// movedAt is when lead last changed.
	primaryChangedAt clock.Instant
	failureReports   failureReports
}

// member is one server of the group.
type member struct {
	server Server
	pool   *Pool
	// factor is how much longer the server takes than is typical of a route.
	latencyFactor float64
	// factorAt is when factor was last moved.
	latencyFactorAt time.Time
	// avoidUntil keeps work from a server that failed, while others can take it.
	avoidUntil time.Time
	// failures in a row.
	failures int
	// behindUntil keeps reads from a replica that lacked a position.
	lagAvoidUntil time.Time
}

const (
	// avoidFirst follows the first failure of a server; each further one doubles it.
	initialAvoidDuration = 200 * time.Millisecond
	maxAvoidDuration     = 2 * time.Second
	// behindFor follows a refusal for lag: replicas usually catch up within that.
	lagAvoidDuration = 100 * time.Millisecond
	// keepSamples is longer than any bound of a route in use; a longer one asks anew.
	sampleRetention = 10 * time.Second
)

func newGroup(vm *VM, name ServiceName) *Group {
	return &Group{
		Name: name, VM: vm, Logger: log.With(vm.Logger, "service", name),
		Samples: freshness.Samples{Retention: sampleRetention},
		members: map[ServerID]*member{}, failureReports: failureReports{}, primaryChanged: make(chan struct{}), primaryChangedAt: clock.Now(),
	}
}

// update takes the servers that the platform lists.
func (g *Group) setServers(servers []Server) {
	g.mu.Lock()
	var removed []*Pool
	listed := map[ServerID]bool{}
	for _, s := range servers {
		listed[s.ID] = true
		m := g.members[s.ID]
		if m != nil && m.server.Address != s.Address {
			removed = append(removed, m.pool)
			m = nil
		}
		if m == nil {
			m = &member{latencyFactor: 1, pool: g.newPool(s)}
			g.members[s.ID] = m
			eventServer.Log(g.Logger, "server", s.ID, "address", s.Address, "zone", s.Zone, "outcome", "added")
		}
		if s.Leaving && !m.server.Leaving {
			eventServer.Log(g.Logger, "server", s.ID, "outcome", "leaving")
		}
		m.server = s
	}
	for id, m := range g.members {
		if !listed[id] {
			removed = append(removed, m.pool)
			delete(g.members, id)
			eventServer.Log(g.Logger, "server", id, "outcome", "gone")
		}
	}
	g.setPrimaryFromList(servers)
	g.mu.Unlock()
	for _, p := range removed {
		p.Close()
	}
}

func (g *Group) newPool(s Server) *Pool {
	return &Pool{
		Server: s, Connect: g.VM.Connect,
		Share: func() Share { return g.VM.share(g.Name, s) },
		TransactionIdleTimeout: func() time.Duration {
			if c := g.VM.Configuration(); c != nil {
				return c.TransactionIdleTimeout
			}
			return 0
		},
	}
}

// believeList takes the lead from the servers' own word while nothing better is known;
// g.mu is held.
func (g *Group) setPrimaryFromList(servers []Server) {
	if g.primary != "" && g.members[g.primary] != nil {
		return
	}
	for _, s := range servers {
		if s.Primary {
			g.setPrimary(s.ID, g.term, "listed")
			return
		}
	}
}

// believe takes a server for the lead; g.mu is held.
func (g *Group) setPrimary(id ServerID, term position.Term, reason string) {
	if id == g.primary && term <= g.term {
		return
	}
	if id != g.primary {
		if since, failed, absent := g.primaryOutage(); absent {
			g.VM.outages.record(failed, clock.Since(since))
		}
		clear(g.failureReports)
		g.health.reset()
		close(g.primaryChanged)
		g.primaryChanged = make(chan struct{})
		g.primaryChangedAt = clock.Now()
		eventPrimary.Log(g.Logger, "server", id, "term", term, "before", g.primary, "term-before", g.term, "why", reason)
	}
	g.primary, g.term = id, max(g.term, term)
}

// led takes note that a server acted as primary in an answer to something sent at sent;
// only what this VM saw over a connection of its own counts for its health.
func (g *Group) recordPrimary(id ServerID, sentAt clock.Instant, p position.Position, local bool) {
	if p.IsZero() {
		return
	}
	if g.hasQuorum() {
		g.Samples.Add(freshness.Instant(sentAt), p)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term < g.term {
		return
	}
	g.setPrimary(id, p.Term, "acted as primary")
	if local && id == g.primary {
		g.health.recordOK(sentAt)
	}
}

// deposed takes note that a server refused to act as primary.
func (g *Group) clearPrimary(id ServerID, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.primary {
		return
	}
	eventPrimary.Log(g.Logger, "server", "", "before", id, "term-before", g.term, "why", reason)
	g.primary = ""
	close(g.primaryChanged)
	g.primaryChanged = make(chan struct{})
	g.health.reset()
	g.primaryChangedAt = clock.Now()
}

// leader gives the lead, nil if it isn't known, and a channel that is closed when that
// changes.
func (g *Group) currentPrimary() (*member, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.primary], g.primaryChanged
}

// awaitLead waits for a lead that answers until deadline; not at all if none is expected
// by then. ErrNoServer.
func (g *Group) awaitPrimary(ctx context.Context, deadline time.Time) (*member, error) {
	for waited := false; ; waited = true {
		hasQuorum := g.hasQuorum()
		g.mu.Lock()
		m, changed := g.members[g.primary], g.primaryChanged
		since, failed, absent := g.primaryOutage()
		if !absent && !hasQuorum {
			// A majority that can't use it is about to replace it.
			since, failed, absent = clock.Now(), true, true
		}
		expectedIn := g.VM.outages.remaining(failed, clock.Since(since))
		g.mu.Unlock()
		if !absent {
			return m, nil
		}
		if remaining := time.Until(deadline); remaining <= 0 || !waited && expectedIn > remaining {
			return nil, ErrNoServer.New("%s service %s has no primary for %s, one is expected in %s", retryAfterText(expectedIn), g.Name, clock.Since(since), expectedIn)
		}
		timer := time.NewTimer(primaryPollInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, ErrNoServer.Wrap(ctx.Err(), "service %s has no primary", g.Name)
		}
	}
}

// leadTick is how often those who wait for a lead look whether the old one answers again.
const primaryPollInterval = 50 * time.Millisecond

// succeeded takes note of how a server answered, against what is typical.
func (g *Group) recordSuccess(id ServerID, took, typical time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return
	}
	m.failures, m.avoidUntil = 0, time.Time{}
	if typical <= 0 {
		return
	}
	now := time.Now()
	m.latencyFactor = m.decayedLatencyFactor(now) + averageWeight*(float64(took)/float64(typical)-m.decayedLatencyFactor(now))
	m.latencyFactorAt = now
}

// fadeWithin is how long it takes to forget that a server was slow or quick: one that gets
// no work must be tried again.
const latencyFactorDecay = 3 * time.Second

// faded is factor, drawn towards 1 with time.
func (m *member) decayedLatencyFactor(now time.Time) float64 {
	age := min(now.Sub(m.latencyFactorAt), latencyFactorDecay)
	return m.latencyFactor + (1-m.latencyFactor)*float64(age)/float64(latencyFactorDecay)
}

// failed takes note of a connection that broke, fell silent or couldn't be opened. What
// another VM met says nothing of this one's way to the server, nor does a busy one.
func (g *Group) recordFailure(id ServerID, err error, local bool) {
	if isType(err, ErrPeerOutcomeUnknown) || isType(err, ErrPeerUnreachable) || isType(err, ErrBusy) || isType(err, ErrRefused) {
		return
	}
	g.mu.Lock()
	m := g.members[id]
	if m == nil {
		g.mu.Unlock()
		return
	}
	m.failures++
	m.avoidUntil = time.Now().Add(min(initialAvoidDuration<<min(m.failures-1, 8), maxAvoidDuration))
	isPrimary, failures := id == g.primary, m.failures
	if isPrimary && local {
		g.health.recordFailure(clock.Now())
	}
	g.mu.Unlock()
	eventServerFailed.Log(g.Logger, "server", id, "failures", failures, "lead", isPrimary, "err", err)
}

// behind takes note that a replica lacked a position.
func (g *Group) recordLag(id ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lagAvoidUntil = time.Now().Add(lagAvoidDuration)
	}
}
