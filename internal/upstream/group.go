package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Group routes requests to the servers of one database group.
type Group struct {
	// Upstream is the group's entry in the configuration document; its Servers and
	// Acknowledge are guarded by mu.
	Upstream platform.Upstream
	Login    Login
	Dial     Dial
	Logger   log.Logger
	// Share returns how many connections this VM may currently have to a server.
	Share func(platform.ServerName) int
	// Allowance returns this VM's connection allowance for a server; if nil, Share
	// applies.
	Allowance func(platform.ServerName) Allowance
	// Coordination connects this VM with the others; if nil, this VM never promotes.
	Coordination Coordination
	// Table stores the record of the group's terms.
	Table platform.Table
	// ReadPolicy decides where reads go.
	ReadPolicy ReadPolicy
	// QueueOrder is the order in which each server's queue is served.
	QueueOrder QueueOrder
	// ConcurrencyLimit bounds the connections in use to each server.
	ConcurrencyLimit ConcurrencyLimit
	// MaxQueueLength bounds the requests that wait for one server.
	MaxQueueLength int

	// Meter exports metrics of the servers' answers; may be nil.
	Meter metric.Meter

	monitor *answerMonitor
	mu      sync.Mutex
	members map[platform.ServerName]*member
	// term is the highest term that any server reported; it never falls.
	term position.Term
	// termStarts holds the start positions of all terms seen, by term.
	termStarts map[position.Term]position.TermStart
	// changed is closed and replaced whenever a status is received, a server becomes
	// unusable, or the members change.
	changed          chan struct{}
	primaryPositions positionSamples
	logTimeline      logTimeline
	tasks            sync.WaitGroup
	// ctx ends with the group.
	ctx    context.Context
	cancel context.CancelFunc
	// commitPermit is only used in groups with the acknowledge rule term-leased.
	commitPermit commitPermit
	// stopMonitor ends the failover monitor of the current members.
	stopMonitor context.CancelFunc
}

// member is one server of the group as this VM sees it.
type member struct {
	server platform.Server
	pool   *Pool
	watch  *serverWatch
	cancel context.CancelFunc
	// logChangedAt is when the end of the server's log last changed.
	logChangedAt time.Time
	// followSentAt is when the server was last sent a follow statement.
	followSentAt time.Time
	// status is the last reported status. While usable is false it is out of date, but
	// its positions stay lower bounds within their term.
	status Status
	usable bool
	// reportedUsable is the value of usable that was last reported to the other VMs;
	// MarkUnusable sets usable without reporting it.
	reportedUsable bool
	// lastSeen is when status was received or last confirmed by a probe.
	lastSeen time.Time
	lag      replicaLag
}

// start opens the connections that watch the servers.
func (g *Group) start(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx, g.cancel = context.WithCancel(ctx)
	g.monitor = newAnswerMonitor(g.Logger, g.Meter)
	g.members = map[platform.ServerName]*member{}
	g.termStarts = map[position.Term]position.TermStart{}
	g.changed = make(chan struct{})
	for _, s := range g.Upstream.Servers {
		g.addMember(s)
	}
	if g.Upstream.Acknowledge == platform.TermLeased && g.Table != nil {
		g.tasks.Go(func() { g.commitPermit.run(g.ctx, termRecord{g}) })
	}
	g.startMonitor()
}

// startMonitor replaces the failover monitor by one for the current members; g.mu is
// held.
func (g *Group) startMonitor() {
	if g.Coordination == nil {
		return
	}
	if g.stopMonitor != nil {
		g.stopMonitor()
	}
	ctx, cancel := context.WithCancel(g.ctx)
	g.stopMonitor = cancel
	monitor := newFailoverMonitor(g)
	g.tasks.Go(func() { monitor.run(ctx) })
}

// stop closes the watches and pools and waits for their goroutines.
func (g *Group) stop() {
	g.cancel()
	g.tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.pool.close()
	}
	g.members = map[platform.ServerName]*member{}
}

// updateStatus records a server's status, or that the server is unusable.
func (g *Group) updateStatus(name platform.ServerName, status Status, usable bool) {
	g.mu.Lock()
	m := g.members[name]
	if m == nil {
		g.mu.Unlock()
		return
	}
	usableChanged := m.reportedUsable != usable
	m.usable, m.reportedUsable = usable, usable
	if usable {
		g.mergeStatus(m, status)
	}
	g.notifyChanged()
	g.mu.Unlock()
	if usableChanged && g.Coordination != nil {
		g.Coordination.ReportObservation(name, usable)
	}
	if !usable {
		m.pool.handleServerLost()
	}
}

// mergeStatus updates a member and the group from a status; g.mu is held.
func (g *Group) mergeStatus(m *member, s Status) {
	now := time.Now()
	appliedBefore := m.status.Applied
	if s.Received != m.status.Received {
		m.logChangedAt = now
	}
	m.status, m.lastSeen = s, now
	for _, start := range s.Starts {
		g.termStarts[start.Term] = start
	}
	if s.Term > g.term {
		g.abortReplacedPrimary(now)
		g.term = s.Term
		g.logTimeline.reset()
		eventNewTerm.Log(g.Logger, "upstream", g.Upstream.Name, "server", s.Server, "term", s.Term)
	}
	if s.Received.Term == g.term {
		g.logTimeline.record(s.Received.Offset, now)
	}
	if s.Role == Replica && s.Applied.Offset > appliedBefore.Offset {
		m.lag.observe(&g.logTimeline, s.Applied.Offset, now)
	}
	if s.Role == Primary && s.Term == g.term {
		g.primaryPositions.add(now, s.Applied)
	}
}

// replacedPrimaryGrace lets a replaced primary that still answers reject its running
// statements, so that they can be retried elsewhere.
const replacedPrimaryGrace = 300 * time.Millisecond

// abortReplacedPrimary schedules an abort, after replacedPrimaryGrace, of the connections
// to the primary of the term that just ended, except those acquired after now; g.mu is
// held. No commit of that term can be confirmed any more.
func (g *Group) abortReplacedPrimary(now time.Time) {
	if m := g.newestPrimary(); m != nil {
		time.AfterFunc(replacedPrimaryGrace, func() { m.pool.abortConns(now) })
	}
}

// notifyChanged wakes all goroutines that wait for a change; g.mu is held.
func (g *Group) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// usablePrimary returns the primary of the newest term if it is usable, otherwise nil;
// g.mu is held.
func (g *Group) usablePrimary() *member {
	for _, m := range g.members {
		if m.usable && m.status.Role == Primary && m.status.Term == g.term {
			return m
		}
	}
	return nil
}

// AcknowledgeRule returns the rule by which the group's writes are acknowledged.
func (g *Group) AcknowledgeRule() platform.Acknowledge {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Upstream.Acknowledge
}

// MarkUnusable takes a server out of use until its watch receives an answer again, as
// after it rejected a write or stopped answering.
func (g *Group) MarkUnusable(name platform.ServerName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[name]; m != nil {
		m.usable = false
		g.notifyChanged()
	}
}
