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
	Reads ReadPolicy
	// Order of the servers' queues.
	Order Order
	// Limit of the connections in use to each server.
	Limit Limit
	// MaxQueue bounds the requests that wait for one server.
	MaxQueue int

	mu      sync.Mutex
	members map[platform.ServerName]*member
	// term is the highest that any server reported; it never falls.
	term position.Term
	// starts of all terms seen, by term.
	starts map[position.Term]position.Start
	// changed is closed and replaced at every change of what is known.
	changed chan struct{}
	samples samples
	heads   heads
	tasks   sync.WaitGroup
	// ctx ends with the group.
	ctx    context.Context
	cancel context.CancelFunc
	// validity counts only in groups that are acknowledged term-leased.
	validity validity
	// unguard ends the guard of the present members.
	unguard context.CancelFunc
}

// member is one server of the group as this VM sees it.
type member struct {
	server platform.Server
	pool   *Pool
	watch  *watch
	cancel context.CancelFunc
	// movedAt is when the server's log last grew or changed.
	movedAt time.Time
	// followedAt is when the server was last told whom to follow.
	followedAt time.Time
	// status is the last one reported. While usable is false it is old, but its
	// positions stay lower bounds within their term.
	status Status
	usable bool
	// told is what the other VMs were told of usable; a suspicion isn't told.
	told bool
	// heardAt is when status came.
	heardAt time.Time
	lag     lag
}

// start opens the watches.
func (g *Group) start(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx, g.cancel = context.WithCancel(ctx)
	g.members = map[platform.ServerName]*member{}
	g.starts = map[position.Term]position.Start{}
	g.changed = make(chan struct{})
	for _, s := range g.Upstream.Servers {
		g.add(s)
	}
	if g.Upstream.Acknowledge == platform.TermLeased && g.Table != nil {
		g.tasks.Go(func() { g.validity.run(g.ctx, record{g}) })
	}
	g.watchPrimary()
}

// watchPrimary starts a guard for the present members; g.mu is held.
func (g *Group) watchPrimary() {
	if g.Coordination == nil {
		return
	}
	if g.unguard != nil {
		g.unguard()
	}
	ctx, cancel := context.WithCancel(g.ctx)
	g.unguard = cancel
	guard := newGuard(g)
	g.tasks.Go(func() { guard.run(ctx) })
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
func (g *Group) report(name platform.ServerName, s Status, usable bool) {
	g.mu.Lock()
	m := g.members[name]
	if m == nil {
		g.mu.Unlock()
		return
	}
	turned := m.told != usable
	m.usable, m.told = usable, usable
	if usable {
		g.learn(m, s)
	}
	g.signal()
	g.mu.Unlock()
	if turned && g.Coordination != nil {
		g.Coordination.Tell(name, usable)
	}
	if !usable {
		m.pool.lost()
	}
}

// learn merges a status; g.mu is held.
func (g *Group) learn(m *member, s Status) {
	now := time.Now()
	before := m.status.Applied
	if s.Received != m.status.Received {
		m.movedAt = now
	}
	m.status, m.heardAt = s, now
	for _, start := range s.Starts {
		g.starts[start.Term] = start
	}
	if s.Term > g.term {
		g.replace(now)
		g.term = s.Term
		g.heads.reset()
		eventNewTerm.Log(g.Logger, "upstream", g.Upstream.Name, "server", s.Server, "term", s.Term)
	}
	if s.Received.Term == g.term {
		g.heads.reach(s.Received.Offset, now)
	}
	if s.Role == Replica && s.Applied.Offset > before.Offset {
		m.lag.observe(&g.heads, s.Applied.Offset, now)
	}
	if s.Role == Primary && s.Term == g.term {
		g.samples.add(now, s.Applied)
	}
}

// replacedGrace lets a replaced primary that still answers refuse what it runs, so
// that it can be run again elsewhere.
const replacedGrace = 300 * time.Millisecond

// replace ends what still waits for the primary of the term that is over; g.mu is
// held. No commit of it can be confirmed any more.
func (g *Group) replace(now time.Time) {
	if m := g.leader(); m != nil {
		time.AfterFunc(replacedGrace, func() { m.pool.abort(now) })
	}
}

// signal wakes everyone who waits for a change; g.mu is held.
func (g *Group) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// primary is the usable server that leads the newest term, nil if there is none;
// g.mu is held.
func (g *Group) primary() *member {
	for _, m := range g.members {
		if m.usable && m.status.Role == Primary && m.status.Term == g.term {
			return m
		}
	}
	return nil
}

// Acknowledge is the rule by which the group's writes are acknowledged.
func (g *Group) Acknowledge() platform.Acknowledge {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Upstream.Acknowledge
}

// Suspect takes a server out of use until its watch hears from it again, as after
// it refused to write or fell silent.
func (g *Group) Suspect(name platform.ServerName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[name]; m != nil {
		m.usable = false
		g.signal()
	}
}
