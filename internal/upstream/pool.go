package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Pool holds this VM's connections to one server.
type Pool struct {
	Server platform.Server
	Login  Login
	Dial   Dial
	// Share is how many connections this VM may have to the server at this moment;
	// it counts only without an Allowance.
	Share func() int
	// Limit bounds those in use below that.
	Limit Limit
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
	use     use
	// aimd counts only while Limit is Adaptive.
	aimd aimd
	// resting connections are part of inUse.
	resting int
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
	c.observe(p.Limit)
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
		p.begin()
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
		p.begin()
		close(w.granted)
	}
}

func (p *Pool) release(c *Conn, keep bool) {
	c.wake()
	c.observe(nil)
	// Once c is idle it belongs to its next user.
	silent := c.silent
	c.idleSince = time.Now()
	excess := p.Allowance != nil && p.Allowance.Excess() > 0
	p.mu.Lock()
	delete(p.taken, c)
	p.use.observe(c.idleSince.Sub(c.takenAt))
	keep = keep && !p.closed && !excess && p.inUse+len(p.idle) <= p.places()
	if keep {
		p.idle = append(p.idle, c)
	} else {
		// Before its place goes to another, who may open a new one at once.
		c.close()
	}
	p.inUse--
	give := p.Allowance != nil && (excess || p.closed)
	if give {
		p.held--
	}
	p.grant()
	p.mu.Unlock()
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
	return time.Duration(p.queue.size) * p.use.typical / time.Duration(max(p.room(), 1))
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
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
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
