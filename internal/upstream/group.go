package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Group serves the requests for one database group.
type Group struct {
	// Upstream is what the document says; its Servers and Acknowledge are guarded by mu.
	Upstream platform.Upstream
	Login    Login
	Dial     Dial
	Logger   log.Logger
	// Share is how many connections this VM may have to a server at this moment.
	Share func(platform.ServerName) int
	// Allowance gives this VM's part of a server's connections; nil to go by Share.
	Allowance func(platform.ServerName) Allowance
	// Coordination joins this VM with the others; without it nobody promotes here.
	Coordination Coordination
	// Table keeps the record of the group's terms.
	Table platform.Table
	// Reads decides where reads go.
	ReadPolicy ReadPolicy
	// Order of the servers' queues.
	QueueOrder QueueOrder
	// Limit of the connections in use to each server.
	ConcurrencyLimit ConcurrencyLimit
	// MaxQueue bounds the requests that wait for one server.
	MaxQueueLength int

	mu      sync.Mutex
	members map[platform.ServerName]*member
	// term is the highest that any server reported; it never falls.
	term position.Term
	// starts of all terms seen, by term.
	termStarts map[position.Term]position.TermStart
	// changed is closed and replaced at every change of what is known.
	changed          chan struct{}
	primaryPositions positionSamples
	logTimeline      logTimeline
	tasks            sync.WaitGroup
	// ctx ends with the group.
	ctx    context.Context
	cancel context.CancelFunc
	// validity counts only in groups that are acknowledged term-leased.
	commitPermit commitPermit
	// unguard ends the guard of the present members.
	stopMonitor context.CancelFunc
}

// member is one server of the group as this VM sees it.
type member struct {
	server platform.Server
	pool   *Pool
	watch  *serverWatch
	cancel context.CancelFunc
	// movedAt is when the server's log last grew or changed.
	logChangedAt time.Time
	// followedAt is when the server was last told whom to follow.
	followSentAt time.Time
	// status is the last one reported. While usable is false it is old, but its
	// positions stay lower bounds within their term.
	status Status
	usable bool
	// told is what the other VMs were told of usable; a suspicion isn't told.
	reportedUsable bool
	// heardAt is when status came.
	lastSeen time.Time
	lag      replicaLag
}

// start opens the watches.
func (g *Group) start(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx, g.cancel = context.WithCancel(ctx)
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

// watchPrimary starts a guard for the present members; g.mu is held.
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

// stop closes the watches and pools and waits for their tasks.
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

// report takes note of a server's status.
func (g *Group) updateStatus(name platform.ServerName, s Status, usable bool) {
	g.mu.Lock()
	m := g.members[name]
	if m == nil {
		g.mu.Unlock()
		return
	}
	usableChanged := m.reportedUsable != usable
	m.usable, m.reportedUsable = usable, usable
	if usable {
		g.mergeStatus(m, s)
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

// learn merges a status; g.mu is held.
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

// replacedGrace lets a replaced primary that still answers refuse what it runs, so
// that it can be run again elsewhere.
const replacedPrimaryGrace = 300 * time.Millisecond

// replace ends what still waits for the primary of the term that is over; g.mu is
// held. No commit of it can be confirmed any more.
func (g *Group) abortReplacedPrimary(now time.Time) {
	if m := g.newestPrimary(); m != nil {
		time.AfterFunc(replacedPrimaryGrace, func() { m.pool.abortConns(now) })
	}
}

// signal wakes everyone who waits for a change; g.mu is held.
func (g *Group) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// primary is the usable server that leads the newest term, nil if there is none;
// g.mu is held.
func (g *Group) usablePrimary() *member {
	for _, m := range g.members {
		if m.usable && m.status.Role == Primary && m.status.Term == g.term {
			return m
		}
	}
	return nil
}

// Acknowledge is the rule by which the group's writes are acknowledged.
func (g *Group) AcknowledgeRule() platform.Acknowledge {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Upstream.Acknowledge
}

// Suspect takes a server out of use until its watch hears from it again, as after
// it refused to write or fell silent.
func (g *Group) MarkUnusable(name platform.ServerName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[name]; m != nil {
		m.usable = false
		g.notifyChanged()
	}
}
