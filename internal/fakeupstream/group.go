// Package fakeupstream stands in for a group of replicated database servers: the
// PostgreSQL wire protocol in front of SQLite in memory, one primary, replicas
// that apply its log after a lag, terms, and faults on demand.
//
// A Group runs in one process, under testing/synctest with internal/fakenet as
// well as over TCP. Every server keeps two databases: the view, which holds what
// is committed and serves reads, and, on a primary, the work database, where the
// one writing transaction runs until its statements are replayed on the view.
package fakeupstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// GroupName names a database group.
type GroupName string

// Group runs the servers of one database group. The first server starts as the
// primary of term 1, the others follow it.
type Group struct {
	Name    GroupName
	Servers []*Server
	// Logger may be nil.
	Logger log.Logger
	// Recorder keeps what was received and run; nil keeps nothing.
	Recorder *Recorder

	once sync.Once
	mu   sync.Mutex
	// changed is closed and replaced at every change of a log, role or fault.
	changed chan struct{}
	links   map[direction]*Link
}

type direction struct{ from, to ServerName }

// Link is the way of log entries from one server to another.
type Link struct {
	// Cut stops all entries.
	Cut bool
	// Delay is how long an entry is under way.
	Delay time.Duration
}

// Run serves until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	g.open()
	var running sync.WaitGroup
	for _, s := range g.Servers {
		running.Go(func() { s.serve(ctx) })
		running.Go(func() { s.receive(ctx) })
		running.Go(func() { s.apply(ctx) })
	}
	running.Wait()
	for _, s := range g.Servers {
		s.closeStores()
	}
	return nil
}

// open prepares the servers, once.
func (g *Group) open() {
	g.once.Do(func() {
		g.changed = make(chan struct{})
		g.links = map[direction]*Link{}
		for _, s := range g.Servers {
			s.prepare(g)
		}
		g.Servers[0].lead(1)
		for _, s := range g.Servers[1:] {
			s.followed, s.source = 1, g.Servers[0]
		}
	})
}

// Server finds a server by its name, or nil.
func (g *Group) Server(name ServerName) *Server {
	for _, s := range g.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Primary is the primary of the highest term, or nil if there is none.
func (g *Group) Primary() *Server {
	g.open()
	g.mu.Lock()
	defer g.mu.Unlock()
	var primary *Server
	for _, s := range g.Servers {
		if s.leads > 0 && (primary == nil || s.leads > primary.leads) {
			primary = s
		}
	}
	return primary
}

// History is the log of the primary of the highest term, or, without one, of the
// server that received most.
func (g *Group) History() []Entry {
	s := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.Servers {
		if s == nil || s.leads == 0 && s.received().Compare(other.received()) < 0 {
			s = other
		}
	}
	return s.entries()
}

// SetLink changes the way of log entries from one server to another.
func (g *Group) SetLink(from, to ServerName, l Link) {
	g.open()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[direction{from, to}] = &l
	g.broadcast()
}

// link between two servers; g.mu is held.
func (g *Group) link(from, to *Server) Link {
	if l := g.links[direction{from.Name, to.Name}]; l != nil {
		return *l
	}
	return Link{}
}

// broadcast wakes everything that waits for a change; g.mu is held.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// until waits for ready, which is called with g.mu held.
func (g *Group) until(ctx context.Context, ready func() bool) error {
	for {
		done, changed := g.look(ready)
		if done {
			return nil
		}
		pause(ctx, changed, time.Time{})
		if ctx.Err() != nil {
			return ErrEnded.Wrap(context.Cause(ctx), "wait ended")
		}
	}
}

// look asks ready and tells what the next change will close.
func (g *Group) look(ready func() bool) (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ready(), g.changed
}

// pause waits for changed, for a time (unless it is zero) or for the end of ctx.
func pause(ctx context.Context, changed <-chan struct{}, until time.Time) {
	var timer <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-changed:
	case <-timer:
	case <-ctx.Done():
	}
}

// sleep waits d, shorter if ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d > 0 {
		pause(ctx, nil, time.Now().Add(d))
	}
	if ctx.Err() != nil {
		return ErrEnded.Wrap(context.Cause(ctx), "wait ended")
	}
	return nil
}

// Entry is one committed transaction in the log.
type Entry struct {
	Position position.Position
	// Statements that wrote, in order.
	Statements []Statement
	// Connection that committed it, on the server it was committed on.
	Connection ConnectionID
	Server     ServerName
	// At is when it was committed.
	At time.Time
}

// Statement is SQL as it ran, with its arguments.
type Statement struct {
	SQL  string `json:"sql"`
	Args []any  `json:"args,omitempty"`
}
