package upstream

import (
	"context"
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
	// Limit is how many connections this VM may have to the server at this moment.
	Limit func() int
	Order Order
	// MaxQueue bounds the requests that wait at once.
	MaxQueue int

	mu     sync.Mutex
	idle   []*Conn
	inUse  int
	queue  queue
	closed bool
	limit  limit
	// connecting ends the attempts to connect that are under way; by number.
	connecting map[int]context.CancelFunc
	attempts   int
}

// Request is one transaction's claim on a server.
type Request struct {
	Workspace platform.WorkspaceName
	Weight    platform.Weight
}

// take waits for a turn and gives a connection, new or kept.
// ErrBusy when ctx ended first or the queue is full, ErrConnect.
func (p *Pool) take(ctx context.Context, r Request) (*Conn, error) {
	if err := p.turn(ctx, r); err != nil {
		return nil, err
	}
	c, err := p.connect(ctx)
	if err != nil {
		p.pass()
		return nil, err
	}
	c.takenAt = time.Now()
	return c, nil
}

// turn waits until one more connection may be used.
func (p *Pool) turn(ctx context.Context, r Request) error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return ErrNoServer.New("server %s takes no work", p.Server.Name)
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
	p.mu.Unlock()
	select {
	case <-w.granted:
		return w.verdict(p.Server)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.granted:
		return w.verdict(p.Server)
	default:
	}
	p.queue.remove(w)
	return ErrBusy.Wrap(ctx.Err(), "no connection to server %s became free", p.Server.Name)
}

// verdict tells whether the waiter got a turn or its server was lost.
func (w *waiter) verdict(s platform.Server) error {
	if w.failed {
		return ErrConnect.New("server %s was lost", s.Name)
	}
	return nil
}

// room is how many connections may be in use at once; p.mu is held.
func (p *Pool) room() int {
	if p.Limit == nil {
		return 1
	}
	return p.Limit()
}

// pass hands one turn on; it is called by whoever gave a turn up.
func (p *Pool) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.grant()
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

// connect gives a kept connection that still answers, or opens one.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	for {
		c := p.kept()
		if c == nil {
			break
		}
		if c.alive(probeWithin) {
			return c, nil
		}
		c.close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectWithin)
	defer cancel()
	defer p.attempt(cancel)()
	c, err := open(ctx, p.Dial, p.Server, p.Login)
	if err != nil {
		return nil, err
	}
	c.pool = p
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

// kept takes the most recently used idle connection, nil if there is none.
func (p *Pool) kept() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) release(c *Conn, keep bool) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.limit.observe(c.idleSince.Sub(c.takenAt))
	keep = keep && !p.closed && p.inUse+len(p.idle) <= p.room()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.inUse--
	p.grant()
	p.mu.Unlock()
	if !keep {
		c.close()
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

// drop closes the idle connections and sends the requests that wait or connect
// elsewhere, as after the server was lost.
func (p *Pool) drop() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	for w := p.queue.pop(); w != nil; w = p.queue.pop() {
		w.failed = true
		close(w.granted)
	}
	for _, cancel := range p.connecting {
		cancel()
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// close ends the pool; connections in use are closed as they come back.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop()
}

// counts gives connections in use, idle, and requests waiting.
func (p *Pool) counts() (inUse, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.idle), p.queue.size
}
