package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// connectWithin bounds opening a connection.
	connectWithin = 2 * time.Second
	// probeWithin bounds the answer of a connection that has idled.
	probeWithin = 500 * time.Millisecond
)

// Pool holds this VM's connections to one server.
type Pool struct {
	Server platform.Server
	Login  Login
	Dial   Dial
	// Limit is how many connections this VM may have to the server at this moment;
	// it counts only without an Allowance.
	Limit func() int
	// Allowance gives the right to connections one by one; may be nil.
	Allowance Allowance
	Order     Order
	// MaxQueue bounds the requests that wait at once.
	MaxQueue int

	mu     sync.Mutex
	idle   []*Conn
	inUse  int
	queue  queue
	closed bool
	// leaving servers get no new work.
	leaving bool
	limit   limit
	// taken are the connections in use.
	taken map[*Conn]bool
	// held are the places had from Allowance; inUse plus idle is at most held.
	held int
	// growing is true while a task asks for places.
	growing bool
	// connecting ends the attempts to connect that are under way; by number.
	connecting map[int]context.CancelFunc
	attempts   int
	tasks      sync.WaitGroup
}

// Request is one transaction's claim on a server.
type Request struct {
	Workspace platform.WorkspaceName
	Weight    platform.Weight
	// ReadOnly requests get a connection whose transactions begin read only.
	ReadOnly bool
}

// take waits for a turn and gives a connection, new or kept.
// ErrBusy when ctx ended first or the queue is full, ErrConnect.
func (p *Pool) take(ctx context.Context, r Request) (*Conn, error) {
	if err := p.turn(ctx, r); err != nil {
		return nil, err
	}
	c, err := p.connect(ctx, r)
	if err != nil {
		p.pass()
		return nil, err
	}
	c.takenAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken == nil {
		p.taken = map[*Conn]bool{}
	}
	p.taken[c] = true
	return c, nil
}

// abort breaks the connections taken up to a time, so that nobody waits for answers
// that can't count any more.
func (p *Pool) abort(upTo time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.taken {
		if !c.takenAt.After(upTo) {
			c.Abort()
		}
	}
}

// turn waits until one more connection may be used.
func (p *Pool) turn(ctx context.Context, r Request) error {
	p.mu.Lock()
	if p.closed || p.leaving {
		p.mu.Unlock()
		return p.moved()
	}
	if p.inUse < p.room() && p.queue.size == 0 {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	if p.queue.size >= p.MaxQueue {
		p.mu.Unlock()
		return ErrBusy.New("queue of server %s is full", p.Server.Name)
	}
	p.queue.order = p.Order
	w := p.queue.push(r.Workspace, r.Weight)
	p.grow()
	p.mu.Unlock()
	select {
	case <-w.granted:
		return p.granted(w)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.granted:
		return p.granted(w)
	default:
	}
	p.queue.remove(w)
	return ErrBusy.Wrap(ctx.Err(), "no connection to server %s became free", p.Server.Name)
}

func (p *Pool) granted(w *waiter) error {
	if w.sentAway {
		return p.moved()
	}
	return nil
}

func (p *Pool) moved() error { return errMoved.New("server %s takes no work", p.Server.Name) }

// leave sends those who wait to other servers and takes no new work, or takes work
// again.
func (p *Pool) leave(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
	if leaving {
		p.sendAway()
	}
}

// sendAway empties the queue; p.mu is held.
func (p *Pool) sendAway() {
	for w := p.queue.pop(); w != nil; w = p.queue.pop() {
		w.sentAway = true
		close(w.granted)
	}
}

// room is how many connections may be in use at once; p.mu is held.
func (p *Pool) room() int {
	switch {
	case p.Allowance != nil:
		return p.held
	case p.Limit != nil:
		return p.Limit()
	}
	return 1
}

// pass hands one turn on; it is called by whoever gave a turn up.
func (p *Pool) pass() {
	p.mu.Lock()
	p.inUse--
	give := p.Allowance != nil && p.closed
	if give {
		p.held--
	}
	p.grant()
	p.mu.Unlock()
	if give {
		p.Allowance.Release()
	}
}

// grant lets waiters go ahead while there is room; p.mu is held.
func (p *Pool) grant() {
	for p.inUse < p.room() {
		w := p.queue.pop()
		if w == nil {
			return
		}
		p.inUse++
		close(w.granted)
	}
}

// connect gives a kept connection that still answers, or opens one. What another
// workspace left on it is discarded first. One that was opened for the server's former
// role makes room for a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*Conn, error) {
	for {
		c := p.kept(r.Workspace)
		if c == nil {
			break
		}
		if c.readOnly != r.ReadOnly {
			c.close()
			continue
		}
		if c.alive(probeWithin) && c.enter(r.Workspace, probeWithin) {
			return c, nil
		}
		c.close()
		p.drop()
	}
	ctx, cancel := context.WithTimeout(ctx, connectWithin)
	defer cancel()
	defer p.attempt(cancel)()
	c, err := open(ctx, p.Dial, p.Server, p.Login, r.ReadOnly)
	if err != nil {
		return nil, err
	}
	c.pool, c.workspace = p, r.Workspace
	return c, nil
}

// attempt notes an attempt to connect, until the function that it gives is called.
func (p *Pool) attempt(cancel context.CancelFunc) (over func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connecting == nil {
		p.connecting = map[int]context.CancelFunc{}
	}
	p.attempts++
	n := p.attempts
	p.connecting[n] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.connecting, n)
	}
}

// kept takes the idle connection that the workspace used last, else the one used
// last by another, nil if there is none.
func (p *Pool) kept(w platform.WorkspaceName) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if p.idle[i].workspace == w {
			at = i
			break
		}
	}
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return c
}

func (p *Pool) release(c *Conn, keep bool) {
	// Once c is idle it belongs to its next user.
	silent := c.silent
	c.idleSince = time.Now()
	excess := p.Allowance != nil && p.Allowance.Excess() > 0
	p.mu.Lock()
	delete(p.taken, c)
	p.limit.observe(c.idleSince.Sub(c.takenAt))
	keep = keep && !p.closed && !excess && p.inUse+len(p.idle) <= p.room()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.inUse--
	give := p.Allowance != nil && (excess || p.closed)
	if give {
		p.held--
	}
	p.grant()
	p.mu.Unlock()
	if !keep {
		c.close()
	}
	if give {
		p.Allowance.Release()
	}
	if silent {
		p.drop()
	}
}

// load is the part of the pool in use or waited for, 1 when every turn is taken.
func (p *Pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.inUse+p.queue.size) / float64(max(p.room(), 1))
}

// wait estimates how long a new request would wait for its turn.
func (p *Pool) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.queue.size) * p.limit.typical / time.Duration(max(p.room(), 1))
}

// lost sends the requests that wait or connect elsewhere and closes the idle
// connections, as after the server was lost.
func (p *Pool) lost() {
	p.mu.Lock()
	p.sendAway()
	for _, cancel := range p.connecting {
		cancel()
	}
	p.mu.Unlock()
	p.drop()
}

// drop closes the idle connections, as after the server was lost, or after one of
// them was silent: whatever made it so may have made the others, too.
func (p *Pool) drop() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// close ends the pool; connections in use are closed as they come back.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.sendAway()
	p.mu.Unlock()
	p.drop()
	p.giveUp()
}

// counts gives connections in use, idle, and requests waiting.
func (p *Pool) counts() (inUse, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.idle), p.queue.size
}
