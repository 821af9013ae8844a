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
	ConcurrencyLimit ConcurrencyLimit
	// Allowance gives the right to connections one by one; may be nil.
	Allowance  Allowance
	QueueOrder QueueOrder
	// MaxQueue bounds the requests that wait at once.
	MaxQueueLength int

	mu     sync.Mutex
	idle   []*Conn
	inUse  int
	queue  queue
	closed bool
	// leaving servers get no new work.
	leaving bool
	useTime useTime
	// aimd counts only while Limit is Adaptive.
	aimd aimd
	// resting connections are part of inUse.
	idleTransactions int
	// taken are the connections in use.
	acquired map[*Conn]bool
	// held are the places had from Allowance; inUse plus idle is at most held.
	units int
	// growing is true while a task asks for places.
	requestingUnits bool
	// connecting ends the attempts to connect that are under way; by number.
	connectAttempts map[int]context.CancelFunc
	lastAttempt     int
	tasks           sync.WaitGroup
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
func (p *Pool) acquire(ctx context.Context, r Request) (*Conn, error) {
	if err := p.admit(ctx, r); err != nil {
		return nil, err
	}
	c, err := p.connect(ctx, r)
	if err != nil {
		p.cancelAdmission()
		return nil, err
	}
	c.acquiredAt = time.Now()
	c.startTiming(p.ConcurrencyLimit)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acquired == nil {
		p.acquired = map[*Conn]bool{}
	}
	p.acquired[c] = true
	return c, nil
}

// abort breaks the connections taken up to a time, so that nobody waits for answers
// that can't count any more.
func (p *Pool) abortConns(acquiredUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.acquired {
		if !c.acquiredAt.After(acquiredUntil) {
			c.Abort()
		}
	}
}

// turn waits until one more connection may be used.
func (p *Pool) admit(ctx context.Context, r Request) error {
	p.mu.Lock()
	if p.closed || p.leaving {
		p.mu.Unlock()
		return p.redirectedError()
	}
	if p.inUse < p.maxInUse() && p.queue.size == 0 {
		p.markInUse()
		p.mu.Unlock()
		return nil
	}
	if p.queue.size >= p.MaxQueueLength {
		p.mu.Unlock()
		return ErrBusy.New("queue of server %s is full", p.Server.Name)
	}
	p.queue.order = p.QueueOrder
	w := p.queue.push(r.Workspace, r.Weight)
	p.requestUnits()
	p.mu.Unlock()
	select {
	case <-w.ready:
		return p.admissionResult(w)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return p.admissionResult(w)
	default:
	}
	p.queue.remove(w)
	return ErrBusy.Wrap(ctx.Err(), "no connection to server %s became free", p.Server.Name)
}

func (p *Pool) admissionResult(w *waiter) error {
	if w.redirected {
		return p.redirectedError()
	}
	return nil
}

func (p *Pool) redirectedError() error {
	return errRedirected.New("server %s takes no work", p.Server.Name)
}

// leave sends those who wait to other servers and takes no new work, or takes work
// again.
func (p *Pool) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
	if leaving {
		p.redirectWaiters()
	}
}

// sendAway empties the queue; p.mu is held.
func (p *Pool) redirectWaiters() {
	for w := p.queue.pop(); w != nil; w = p.queue.pop() {
		w.redirected = true
		close(w.ready)
	}
}

// pass hands one turn on; it is called by whoever gave a turn up.
func (p *Pool) cancelAdmission() {
	p.mu.Lock()
	p.inUse--
	returnUnit := p.Allowance != nil && p.closed
	if returnUnit {
		p.units--
	}
	p.admitWaiters()
	p.mu.Unlock()
	if returnUnit {
		p.Allowance.Release()
	}
}

// grant lets waiters go ahead while there is room; p.mu is held.
func (p *Pool) admitWaiters() {
	for p.inUse < p.maxInUse() {
		w := p.queue.pop()
		if w == nil {
			return
		}
		p.markInUse()
		close(w.ready)
	}
}

func (p *Pool) release(c *Conn, reusable bool) {
	c.endIdlePhase()
	c.startTiming(nil)
	// Once c is idle it belongs to its next user.
	silent := c.timedOut
	c.idleSince = time.Now()
	excess := p.Allowance != nil && p.Allowance.Excess() > 0
	p.mu.Lock()
	delete(p.acquired, c)
	p.useTime.observe(c.idleSince.Sub(c.acquiredAt))
	reusable = reusable && !p.closed && !excess && p.inUse+len(p.idle) <= p.maxConnections()
	if reusable {
		p.idle = append(p.idle, c)
	} else {
		// Before its place goes to another, who may open a new one at once.
		c.close()
	}
	p.inUse--
	returnUnit := p.Allowance != nil && (excess || p.closed)
	if returnUnit {
		p.units--
	}
	p.admitWaiters()
	p.mu.Unlock()
	if returnUnit {
		p.Allowance.Release()
	}
	if silent {
		p.closeIdle()
	}
}

// load is the part of the pool in use or waited for, 1 when every turn is taken.
func (p *Pool) utilization() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.inUse+p.queue.size) / float64(max(p.maxInUse(), 1))
}

// wait estimates how long a new request would wait for its turn.
func (p *Pool) estimatedWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.queue.size) * p.useTime.typical / time.Duration(max(p.maxInUse(), 1))
}

// lost sends the requests that wait or connect elsewhere and closes the idle
// connections, as after the server was lost.
func (p *Pool) handleServerLost() {
	p.mu.Lock()
	p.redirectWaiters()
	for _, cancel := range p.connectAttempts {
		cancel()
	}
	p.mu.Unlock()
	p.closeIdle()
}

// drop closes the idle connections, as after the server was lost, or after one of
// them was silent: whatever made it so may have made the others, too.
func (p *Pool) closeIdle() {
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
	p.redirectWaiters()
	p.mu.Unlock()
	p.closeIdle()
	p.returnUnits()
}

// counts gives connections in use, idle, and requests waiting.
func (p *Pool) connectionCounts() (inUse, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.idle), p.queue.size
}
