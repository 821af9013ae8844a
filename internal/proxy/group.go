package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/freshness"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Group is this VM's view of a database group: its servers, its primary and the recent
// positions of its log.
type Group struct {
	Name    ServiceName
	VM      *VM
	Logger  log.Logger
	Samples freshness.Samples

	mu      sync.Mutex
	members map[ServerID]*member
	// primary is the server that this VM regards as primary: the latest one known to have acted
	// or been reported as such, or else one that claims to be it in the platform's list. It is
	// empty if unknown.
	primary ServerID
	// term is the newest term of which this VM knows a primary; it never decreases.
	term position.Term
	// reportedTerm is the newest term that a VM or a server has told or that this VM may have created. Unlike
	// term, it may be one of which no primary is known.
	reportedTerm position.Term
	// lastRefusal is why this VM last didn't promote a server although it had decided to, empty if that never
	// happened.
	lastRefusal string
	// primaryChanged is closed and replaced when primary changes.
	primaryChanged chan struct{}
	// health is the primary's health as observed by this VM.
	health primaryHealth
	// primaryChangedAt is when primary last changed, or when the group was created.
	primaryChangedAt clock.Instant
	failureReports   failureReports
	// lastSearch is when searchElsewhere last looked for the primary.
	lastSearch clock.Instant
	// watchedAt is when the decision on the group was last evaluated, zero if it never was.
	watchedAt clock.Instant
	// roster is what this VM knows of the servers that may hold confirmed commits.
	roster rosterMemory
}

// member is a server of the group and this VM's connections to it.
type member struct {
	server Server
	pool   *Pool
	// latencyFactor is the average ratio of the server's read latency to the typical latency of
	// the route.
	latencyFactor float64
	// latencyFactorAt is when latencyFactor was last updated.
	latencyFactorAt time.Time
	// avoidUntil is until when reads prefer other servers, after this one failed.
	avoidUntil time.Time
	// failures counts failures since the last success that recordSuccess recorded.
	failures int
	// lagAvoidUntil is until when reads prefer other servers, after this one lacked a requested
	// position.
	lagAvoidUntil time.Time
	// loads has the server's load by route priority, as other VMs have told.
	loads reportedLoads
	// hash is that of the server's ID.
	hash uint64
	// cold is this VM's part in sending to the server while that is cold.
	cold coldServer
}

const (
	// initialAvoidDuration applies after a server's first failure; each further failure doubles
	// it, up to maxAvoidDuration.
	initialAvoidDuration = 200 * time.Millisecond
	maxAvoidDuration     = 2 * time.Second
	// lagAvoidDuration applies after a replica refused a read because of its lag; replicas
	// usually catch up within that time.
	lagAvoidDuration = 100 * time.Millisecond
	// sampleRetention is longer than the staleness bounds of the routes in use. Reads with a
	// longer bound get a newer floor than they need.
	sampleRetention = 10 * time.Second
)

func newGroup(vm *VM, name ServiceName) *Group {
	return &Group{
		Name: name, VM: vm, Logger: log.With(vm.Logger, "service", name),
		Samples: freshness.Samples{Retention: sampleRetention},
		members: map[ServerID]*member{}, failureReports: failureReports{}, primaryChanged: make(chan struct{}), primaryChangedAt: clock.Now(),
	}
}

// setServers replaces the members with the servers that the platform lists. A member whose
// address has changed gets a new pool.
func (g *Group) setServers(servers []Server) {
	g.mu.Lock()
	g.rememberListed()
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
			m = &member{latencyFactor: 1, pool: g.newPool(s), hash: xxhash.Sum64String(string(s.ID))}
			g.members[s.ID] = m
			eventServer.Log(g.Logger, "server", s.ID, "address", s.Address, "zone", s.Zone, "outcome", "added")
		}
		if s.Leaving && !m.server.Leaving {
			eventServer.Log(g.Logger, "server", s.ID, "outcome", "leaving")
		}
		if m.pool.Queue != nil && s.Slots != m.server.Slots {
			m.pool.Queue.setSlots(s.Slots)
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
	g.rememberListed()
	g.mu.Unlock()
	g.applyEvacuation()
	for _, p := range removed {
		p.Close()
	}
}

func (g *Group) newPool(s Server) *Pool {
	var awaitCurrent func(time.Time) bool
	var admitCold func(*Conn, []Command, time.Time) error
	if g.VM.Placement != nil {
		awaitCurrent, admitCold = g.VM.Placement.AwaitCurrent, g.admitCold
	}
	p := &Pool{
		AwaitCurrent: awaitCurrent, AdmitCold: admitCold,
		Server: s, Connect: g.VM.Connect, Logger: g.Logger,
		OnUnexpected:   func(whose attribution) { g.VM.metrics.recordUnexpectedAnswer(g.Name, whose) },
		OnOpened:       func() { g.VM.metrics.recordConnection(g.Name) },
		AwaitsReplicas: func() bool { return g.syncReplicas() > 0 },
		IsPrimary:      func() bool { return g.isPrimary(s.ID) },
		ExpectedOutage: func(lasted time.Duration) time.Duration { return g.VM.outages.remaining(true, lasted) },
		TransactionIdleTimeout: func() time.Duration {
			if c := g.VM.Configuration(); c != nil {
				return c.TransactionIdleTimeout
			}
			return 0
		},
	}
	if g.VM.PriorityScheduling {
		p.Queue = newServerQueue(g.VM, s)
	}
	p.Share = func() Share { return g.shareOf(s, p) }
	return p
}

// setPrimaryFromList sets the primary to a listed server that claims to be it, unless a primary
// is already known and listed. g.mu is held.
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

// setPrimary sets the group's primary, and its term if that is newer. g.mu is held.
func (g *Group) setPrimary(id ServerID, term position.Term, reason string) {
	if id == g.primary && term <= g.term {
		return
	}
	if id != g.primary {
		if since, failed, absent := g.primaryOutage(); absent {
			g.VM.outages.record(failed, clock.Since(since))
		}
		g.refuseCommits()
		clear(g.failureReports)
		g.health.reset()
		close(g.primaryChanged)
		g.primaryChanged = make(chan struct{})
		g.primaryChangedAt = clock.Now()
		eventPrimary.Log(g.Logger, "server", id, "term", term, "before", g.primary, "term-before", g.term, "why", reason)
	}
	g.primary, g.term = id, max(g.term, term)
}

// markPrimary records that a server acted as primary when it answered a command sent at
// sentAt. p is the end of the server's log; if p is zero, the answer is ignored. p becomes a
// freshness sample only while the primary has a quorum. Only answers over this VM's own
// connections count for the health of the primary.
func (g *Group) markPrimary(id ServerID, sentAt clock.Instant, p position.Position, local bool) {
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

// clearPrimary makes the primary unknown after a server refused to act as primary, unless
// another server is known as primary.
func (g *Group) clearPrimary(id ServerID, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.primary {
		return
	}
	eventPrimary.Log(g.Logger, "server", "", "before", id, "term-before", g.term, "why", reason)
	g.refuseCommits()
	g.primary = ""
	close(g.primaryChanged)
	g.primaryChanged = make(chan struct{})
	g.health.reset()
	g.primaryChangedAt = clock.Now()
}

// currentPrimary returns the primary, or nil if it is unknown or not listed, and a channel that
// is closed when the primary changes.
func (g *Group) currentPrimary() (*member, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.primary], g.primaryChanged
}

// refuseCommits fails the requests that wait for a connection to the present primary and may commit, before another one
// becomes the primary. g.mu is held.
func (g *Group) refuseCommits() {
	if m := g.members[g.primary]; m != nil {
		m.pool.refuseCommits()
	}
}

// isPrimary reports whether this VM regards a server as the primary.
func (g *Group) isPrimary(id ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == id
}

// awaitPrimary waits for a usable primary. It returns ErrNoServer after deadline, when ctx ends,
// or at once if none is expected by the deadline.
func (g *Group) awaitPrimary(ctx context.Context, deadline time.Time) (*member, error) {
	for waited := false; ; waited = true {
		hasQuorum := g.hasQuorum()
		g.mu.Lock()
		m, changed := g.members[g.primary], g.primaryChanged
		since, failed, absent := g.primaryOutage()
		if !absent && !hasQuorum {
			// Without a quorum the primary is likely to be replaced soon.
			since, failed, absent = clock.Now(), true, true
		}
		expectedIn := g.VM.outages.remaining(failed, clock.Since(since))
		g.mu.Unlock()
		if !absent {
			return m, nil
		}
		if remaining := time.Until(deadline); remaining <= 0 || !waited && expectedIn > remaining {
			return nil, ErrNoServer.New("%s service %s has had no primary for %s, one is expected in %s", retryAfterText(expectedIn), g.Name, clock.Since(since), expectedIn)
		}
		awaitChange(ctx, changed, primaryPollInterval)
		if ctx.Err() != nil {
			return nil, ErrNoServer.Wrap(ctx.Err(), "service %s has no primary", g.Name)
		}
	}
}

// awaitChange waits until changed is closed, some time has passed or ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// primaryPollInterval is how often requests that wait for a primary check whether the old one
// answers again.
const primaryPollInterval = 50 * time.Millisecond

// recordSuccess records the latency of a successful read, compared with the typical latency of
// the route. It also ends the preference for other servers after failures.
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

// latencyFactorDecay is the time after which a measured latency factor is forgotten. A server
// that gets no work because it was slow must be tried again.
const latencyFactorDecay = 3 * time.Second

// decayedLatencyFactor returns latencyFactor, moved towards 1 with its age.
func (m *member) decayedLatencyFactor(now time.Time) float64 {
	age := min(now.Sub(m.latencyFactorAt), latencyFactorDecay)
	return m.latencyFactor + (1-m.latencyFactor)*float64(age)/float64(latencyFactorDecay)
}

// recordFailure records that a connection broke, timed out or couldn't be opened. Errors of the
// relay (ErrPeerUnreachable, ErrPeerOutcomeUnknown) are ignored, since they reveal nothing
// about the server, and so are errors due to limited capacity (ErrBusy, ErrRefused, ErrNoMemory) and answers that
// can't be attributed (ErrUnproven, ErrUnsettled): a server that repeats answers still serves. Only
// errors of this VM's own connections count for the health of the primary.
func (g *Group) recordFailure(id ServerID, err error, local bool) {
	if isType(err, ErrPeerOutcomeUnknown) || isType(err, ErrPeerUnreachable) || isType(err, ErrBusy) || isType(err, ErrRefused) || isType(err, ErrNoMemory) || isUnattributed(err) {
		return
	}
	g.mu.Lock()
	m := g.members[id]
	if m == nil || g.isOutOfUse(id, err) {
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

// recordLag records that a server lacked a requested position.
func (g *Group) recordLag(id ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lagAvoidUntil = time.Now().Add(lagAvoidDuration)
	}
}
