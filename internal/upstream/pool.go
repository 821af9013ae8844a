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
	// Share returns how many connections this VM may currently have to the server; it
	// is ignored if there is an Allowance.
	Share func() int
	// ConcurrencyLimit bounds the connections in use, within the share or allowance.
	ConcurrencyLimit ConcurrencyLimit
	// Allowance grants the right to connections one by one; may be nil.
	Allowance  Allowance
	QueueOrder QueueOrder
	// MaxQueueLength bounds the requests that wait at once.
	MaxQueueLength int

	// monitor may be nil.
	monitor *answerMonitor

	mu     sync.Mutex
	idle   []*Conn
	inUse  int
	queue  queue
	closed bool
	// leaving servers get no new requests.
	leaving bool
	useTime useTime
	// aimd is only used if ConcurrencyLimit is AdaptiveLimit.
	aimd aimd
	// idleTransactions is how many of the connections in use run no statement; they are
	// included in inUse.
	idleTransactions int
	// acquired holds the connections in use.
	acquired map[*Conn]bool
	// units is how many connections the Allowance currently grants; inUse plus idle is
	// at most units.
	units int
	// requestingUnits is true while a goroutine acquires units.
	requestingUnits bool
	// connectAttempts holds the cancel functions of the attempts to connect that are in
	// progress, by attempt number.
	connectAttempts map[int]context.CancelFunc
	lastAttempt     int
	tasks           sync.WaitGroup
}

// Request describes one transaction that needs a connection.
type Request struct {
	Workspace platform.WorkspaceName
	Weight    platform.Weight
	// ReadOnly requests get a connection whose transactions begin read only.
	ReadOnly bool
}

// acquire waits until the request is admitted and returns a connection, new or reused.
// It returns ErrBusy if ctx ended first or the queue is full, errRedirect or
// ErrConnect.
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

// abortConns aborts the connections that were acquired by a given time, so that nobody
// waits for answers that are no longer valid.
func (p *Pool) abortConns(acquiredUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.acquired {
		if !c.acquiredAt.After(acquiredUntil) {
			c.Abort()
		}
	}
}

// admit waits until one more connection may be used, and counts it as in use.
func (p *Pool) admit(ctx context.Context, r Request) error {
	p.mu.Lock()
	if p.closed || p.leaving {
		p.mu.Unlock()
		return p.redirectErr()
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
	p.queue.cancel(w)
	return ErrBusy.Wrap(ctx.Err(), "no connection to server %s became free", p.Server.Name)
}

func (p *Pool) admissionResult(w *waiter) error {
	if w.redirected {
		return p.redirectErr()
	}
	return nil
}

func (p *Pool) redirectErr() error { return errRedirect.New("server %s is unavailable", p.Server.Name) }

// setLeaving changes whether the server is leaving. A leaving server gets no new
// requests, and those that wait are sent to other servers.
func (p *Pool) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
	if leaving {
		p.redirectWaiters()
	}
}

// redirectWaiters empties the queue and sends its requests to other servers; p.mu is
// held.
func (p *Pool) redirectWaiters() {
	for w := p.queue.pop(); w != nil; w = p.queue.pop() {
		w.redirected = true
		close(w.ready)
	}
}

// cancelAdmission gives up an admission without a connection and admits the next
// waiter.
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

// admitWaiters admits waiters while more connections may be used; p.mu is held.
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
	// Read before c becomes idle, since another goroutine may use c from then on.
	timedOut := c.timedOut.Load()
	c.idleSince = time.Now()
	excess := p.Allowance != nil && p.Allowance.Excess() > 0
	p.mu.Lock()
	delete(p.acquired, c)
	p.useTime.observe(c.idleSince.Sub(c.acquiredAt))
	reusable = reusable && !p.closed && !excess && p.inUse+len(p.idle) <= p.maxConnections()
	if reusable {
		p.idle = append(p.idle, c)
	} else {
		// Closed before another request is admitted, since that may open a new
		// connection at once.
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
	if timedOut {
		p.closeIdle()
	}
}

// utilization is the number of connections in use and requests waiting, divided by the
// number of connections that may be in use.
func (p *Pool) utilization() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.inUse+p.queue.size) / float64(max(p.maxInUse(), 1))
}

// estimatedWait estimates how long a new request would wait for a connection.
func (p *Pool) estimatedWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.queue.size) * p.useTime.typical / time.Duration(max(p.maxInUse(), 1))
}

// handleServerLost redirects the requests that wait for a connection or for an attempt
// to connect, and closes the idle connections.
func (p *Pool) handleServerLost() {
	p.mu.Lock()
	p.redirectWaiters()
	for _, cancel := range p.connectAttempts {
		cancel()
	}
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections, as after the server was lost, or after one
// connection timed out: the cause may affect the others, too.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// close ends the pool; connections in use are closed when they are released.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.redirectWaiters()
	p.mu.Unlock()
	p.closeIdle()
	p.returnUnits()
}

// connectionCounts returns the connections in use, the idle ones, and the waiting
// requests.
func (p *Pool) connectionCounts() (inUse, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.idle), p.queue.size
}
