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
	lead ServerID
	// term is that of lead; it never falls.
	term position.Term
	// changed is closed and replaced when lead changes.
	changed chan struct{}
	// health of the lead as this VM finds it.
	health health
	// movedAt is when lead last changed.
	movedAt clock.Instant
	reports reports
}

// member is one server of the group.
type member struct {
	server Server
	pool   *Pool
	// factor is how much longer the server takes than is typical of a route.
	factor float64
	// factorAt is when factor was last moved.
	factorAt time.Time
	// avoidUntil keeps work from a server that failed, while others can take it.
	avoidUntil time.Time
	// failures in a row.
	failures int
	// behindUntil keeps reads from a replica that lacked a position.
	behindUntil time.Time
}

const (
	// avoidFirst follows the first failure of a server; each further one doubles it.
	avoidFirst = 200 * time.Millisecond
	avoidMost  = 2 * time.Second
	// behindFor follows a refusal for lag: replicas usually catch up within that.
	behindFor = 100 * time.Millisecond
	// keepSamples is longer than any bound of a route in use; a longer one asks anew.
	keepSamples = 10 * time.Second
)

func newGroup(vm *VM, name ServiceName) *Group {
	return &Group{
		Name: name, VM: vm, Logger: log.With(vm.Logger, "service", name),
		Samples: freshness.Samples{Keep: keepSamples},
		members: map[ServerID]*member{}, reports: reports{}, changed: make(chan struct{}), movedAt: clock.Now(),
	}
}

// update takes the servers that the platform lists.
func (g *Group) update(servers []Server) {
	g.mu.Lock()
	var gone []*Pool
	listed := map[ServerID]bool{}
	for _, s := range servers {
		listed[s.ID] = true
		m := g.members[s.ID]
		if m != nil && m.server.Address != s.Address {
			gone = append(gone, m.pool)
			m = nil
		}
		if m == nil {
			m = &member{factor: 1, pool: g.newPool(s)}
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
			gone = append(gone, m.pool)
			delete(g.members, id)
			eventServer.Log(g.Logger, "server", id, "outcome", "gone")
		}
	}
	g.believeList(servers)
	g.mu.Unlock()
	for _, p := range gone {
		p.Close()
	}
}

func (g *Group) newPool(s Server) *Pool {
	return &Pool{
		Server: s, Connect: g.VM.Connect,
		Share: func() Share { return g.VM.share(g.Name, s) },
		TransactionIdle: func() time.Duration {
			if c := g.VM.Configuration(); c != nil {
				return c.TransactionIdle
			}
			return 0
		},
	}
}

// believeList takes the lead from the servers' own word while nothing better is known;
// g.mu is held.
func (g *Group) believeList(servers []Server) {
	if g.lead != "" && g.members[g.lead] != nil {
		return
	}
	for _, s := range servers {
		if s.Primary {
			g.believe(s.ID, g.term, "listed")
			return
		}
	}
}

// believe takes a server for the lead; g.mu is held.
func (g *Group) believe(id ServerID, t position.Term, why string) {
	if id == g.lead && t <= g.term {
		return
	}
	if id != g.lead {
		if since, failed, absent := g.absence(); absent {
			g.VM.outages.ended(failed, clock.Since(since))
		}
		clear(g.reports)
		g.health.reset()
		close(g.changed)
		g.changed = make(chan struct{})
		g.movedAt = clock.Now()
		eventLead.Log(g.Logger, "server", id, "term", t, "before", g.lead, "term-before", g.term, "why", why)
	}
	g.lead, g.term = id, max(g.term, t)
}

// led takes note that a server acted as primary in an answer to something sent at sent;
// only what this VM saw over a connection of its own counts for its health.
func (g *Group) led(id ServerID, sent clock.Instant, p position.Position, direct bool) {
	if p.IsZero() {
		return
	}
	if g.endorsed() {
		g.Samples.Add(freshness.Instant(sent), p)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term < g.term {
		return
	}
	g.believe(id, p.Term, "acted as primary")
	if direct && id == g.lead {
		g.health.ok(sent)
	}
}

// deposed takes note that a server refused to act as primary.
func (g *Group) deposed(id ServerID, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.lead {
		return
	}
	eventLead.Log(g.Logger, "server", "", "before", id, "term-before", g.term, "why", why)
	g.lead = ""
	close(g.changed)
	g.changed = make(chan struct{})
	g.health.reset()
	g.movedAt = clock.Now()
}

// leader gives the lead, nil if it isn't known, and a channel that is closed when that
// changes.
func (g *Group) leader() (*member, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.lead], g.changed
}

// awaitLead waits for a lead that answers until deadline; not at all if none is expected
// by then. ErrNoServer.
func (g *Group) awaitLead(ctx context.Context, deadline time.Time) (*member, error) {
	for waited := false; ; waited = true {
		endorsed := g.endorsed()
		g.mu.Lock()
		m, changed := g.members[g.lead], g.changed
		since, failed, absent := g.absence()
		if !absent && !endorsed {
			// A majority that can't use it is about to replace it.
			since, failed, absent = clock.Now(), true, true
		}
		left := g.VM.outages.left(failed, clock.Since(since))
		g.mu.Unlock()
		if !absent {
			return m, nil
		}
		if remaining := time.Until(deadline); remaining <= 0 || !waited && left > remaining {
			return nil, ErrNoServer.New("%s service %s has no primary for %s, one is expected in %s", retryAfter(left), g.Name, clock.Since(since), left)
		}
		timer := time.NewTimer(leadTick)
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
const leadTick = 50 * time.Millisecond

// succeeded takes note of how a server answered, against what is typical.
func (g *Group) succeeded(id ServerID, took, typical time.Duration) {
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
	m.factor = m.faded(now) + smoothing*(float64(took)/float64(typical)-m.faded(now))
	m.factorAt = now
}

// fadeWithin is how long it takes to forget that a server was slow or quick: one that gets
// no work must be tried again.
const fadeWithin = 3 * time.Second

// faded is factor, drawn towards 1 with time.
func (m *member) faded(now time.Time) float64 {
	age := min(now.Sub(m.factorAt), fadeWithin)
	return m.factor + (1-m.factor)*float64(age)/float64(fadeWithin)
}

// failed takes note of a connection that broke, fell silent or couldn't be opened. What
// another VM met says nothing of this one's way to the server, nor does a busy one.
func (g *Group) failed(id ServerID, err error, direct bool) {
	if isType(err, ErrPeer) || isType(err, ErrUnreached) || isType(err, ErrBusy) || isType(err, ErrRefused) {
		return
	}
	g.mu.Lock()
	m := g.members[id]
	if m == nil {
		g.mu.Unlock()
		return
	}
	m.failures++
	m.avoidUntil = time.Now().Add(min(avoidFirst<<min(m.failures-1, 8), avoidMost))
	lead, failures := id == g.lead, m.failures
	if lead && direct {
		g.health.fail(clock.Now())
	}
	g.mu.Unlock()
	eventServerFailed.Log(g.Logger, "server", id, "failures", failures, "lead", lead, "err", err)
}

// behind takes note that a replica lacked a position.
func (g *Group) behind(id ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.behindUntil = time.Now().Add(behindFor)
	}
}
