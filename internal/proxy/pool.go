package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// maxIdleTime is how long a connection may stay idle; servers close idle connections after
	// a minute.
	maxIdleTime = 30 * time.Second
	// connectTimeout limits opening a connection. An attempt continues after the request that
	// needed the connection has given up, because the server has already spent a slot on it.
	connectTimeout = 2500 * time.Millisecond
	// initialHandshake is the assumed time to open a connection until one has been measured.
	initialHandshake = 20 * time.Millisecond
	// refusedBackoff applies after a server refused a connection because it has too many or is
	// busy, failedBackoff after any other failed attempt to open one.
	refusedBackoff = 250 * time.Millisecond
	failedBackoff  = 100 * time.Millisecond
	// maxOpening limits the connections that are opened concurrently: each takes one of the
	// server's two or three slots, and the other VMs open theirs at the same time.
	maxOpening = 1
	// minReassignIdle is how long a connection must have been idle before it may be closed in
	// favor of another workspace. A caller that sends its requests in sequence returns within
	// that time.
	minReassignIdle = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
)

// Pool holds this VM's connections to one server.
//
// A connection belongs to one workspace, since a server learns at the start of a connection
// which workspace it serves. Opening a connection costs a server as much as a read. A workspace
// that has connections therefore waits for one of them unless opening another is faster, and
// only a connection that has been idle for some time is closed in favor of another workspace.
type Pool struct {
	Server  Server
	Connect Connect
	Logger  log.Logger
	// OnUnexpected is called for each answer that isn't, or may not be, that of the oldest unanswered command.
	// It may be nil.
	OnUnexpected func(attribution)
	// OnOpened is called with p.mu held when a connection has been opened. It may be nil.
	OnOpened func()
	// Share returns this VM's current limits for connections to the server.
	Share func() Share
	// TransactionIdleTimeout returns how long a transaction may be idle. It only serves to
	// compute the retry time in refusals, and may be nil.
	TransactionIdleTimeout func() time.Duration
	// Queue orders the statements on the pool's connections by urgency. It is nil if they run as
	// they come.
	Queue *serverQueue

	// relayedAt is when another VM last sent a batch for the server, on clock.Now.
	relayedAt atomic.Int64
	// AwaitCurrent is that of Placement, nil if zones aren't evacuated.
	AwaitCurrent func(until time.Time) bool
	// AwaitsReplicas reports whether the server acknowledges commits only once replicas have received them, and
	// ExpectedOutage how much longer it is expected to confirm none, when it has confirmed none for some time. Both
	// may be nil, and so may IsPrimary, which reports whether this VM regards the server as the primary.
	AwaitsReplicas func() bool
	IsPrimary      func() bool
	ExpectedOutage func(lasted time.Duration) time.Duration
	// AdmitCold waits for, or refuses, commands for a cold server. It is nil if none is limited.
	AdmitCold func(c *Conn, commands []Command, until time.Time) error

	// repeatedAt is when the server last sent a repeated answer, on clock.Now, or 0.
	repeatedAt atomic.Int64
	// sendsCold is true while this VM is the one that sends to the server because that is cold.
	sendsCold atomic.Bool
	// state is poolOpen if it is empty. retryAfter is told in refusals because of it. mu guards both.
	state      poolState
	retryAfter time.Duration

	mu               sync.Mutex
	workspacePools   map[WorkspaceName]*workspacePool
	idleTransactions idleTransactions
	// open counts all connections: idle, in use and being opened. opening counts only the
	// last.
	open, opening int
	// opened counts all connections so far.
	opened int
	// blocked has the requests that wait until a connection may be had, the most urgent first, if
	// the pool has a Queue.
	blocked []*blockedRequest
	// waiting counts the waiters of all workspaces.
	waiting int
	// unconfirmed has the requests that may commit.
	unconfirmed unconfirmedWrites
	// control is the connection for the VM's own commands.
	control controlConnection
	// averageHandshake is the average time to open a connection.
	averageHandshake time.Duration
	// dialNotBefore is the earliest time for the next attempt to open a connection, after one
	// that failed.
	dialNotBefore time.Time
	closed        bool
	// cancelDials cancels dialCtx, which all attempts to open connections run with. It is nil
	// before the first attempt.
	cancelDials context.CancelFunc
	dialCtx     context.Context
	dials       sync.WaitGroup
}

// estimateHandshake returns the expected time to open a connection; p.mu is held.
func (p *Pool) estimateHandshake() time.Duration {
	if p.averageHandshake == 0 {
		return initialHandshake
	}
	return p.averageHandshake
}

// hasCapacity reports whether the share, with the allowance for idle transactions, permits
// another connection; p.mu is held.
func (p *Pool) hasCapacity() bool {
	share := p.Share().MaxOpen
	return p.open < share+p.idleAllowance(share)
}

// isOverCapacity reports whether more connections are open than may be kept when they become
// idle; p.mu is held.
func (p *Pool) isOverCapacity() bool {
	share := p.Share()
	return p.open > share.MaxIdle+p.idleAllowance(share.MaxOpen)
}

// Acquire returns an idle connection of the workspace or waits until deadline for one that is
// released or opened. It returns ErrBusy at once if the estimated wait is longer. No command has
// been sent to the server after ErrBusy, ErrConnect, ErrRefused, ErrWrongServer or ErrNoServer.
func (p *Pool) Acquire(ctx context.Context, w *Workspace, deadline time.Time) (*Conn, error) {
	return p.acquire(ctx, demand{workspace: w}, 0, deadline)
}

// acquire is Acquire for a demand with a rank (see Urgency.rank), which goes before those of a higher
// rank. It also returns ErrNoServer to a demand that may commit once the server isn't the primary any more.
func (p *Pool) acquire(ctx context.Context, d demand, rank int, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoServer.New("server %s was removed", p.Server.ID)
	}
	wp := p.workspacePool(d.workspace)
	if n := len(wp.idle); n > 0 {
		c := wp.idle[n-1]
		wp.idle = wp.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if err := p.admitWaiter(wp); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if wait := p.estimateWait(wp); wait > time.Until(deadline) {
		waiting := len(wp.waiters)
		p.mu.Unlock()
		return nil, ErrBusy.New("%s server %s: %d requests wait already, a connection takes about %s", retryAfterText(wait), p.Server.ID, waiting, wait)
	}
	wt := &waiter{result: make(chan acquireResult, 1), enqueuedAt: time.Now(), rank: rank, mayCommit: d.mayCommit}
	p.addWaiter(wp, wt)
	p.openForWaiters()
	if wp.opening == 0 {
		time.AfterFunc(p.estimateHandshake(), p.recheckWaiters)
	}
	if len(p.idleTransactions) > 0 {
		time.AfterFunc(longIdleThreshold, p.recheckWaiters)
	}
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case res := <-wt.result:
		return res.conn, res.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.cancelWait(wp, wt)
}

// cancelWait removes a waiter from its queue. If the waiter has just received its result,
// cancelWait returns that.
func (p *Pool) cancelWait(wp *workspacePool, wt *waiter) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range wp.waiters {
		if other == wt {
			wp.waiters = append(wp.waiters[:i:i], wp.waiters[i+1:]...)
			p.waiting--
			return nil, ErrBusy.New("no connection to server %s became available in time", p.Server.ID)
		}
	}
	res := <-wt.result
	return res.conn, res.err
}

// AcquireAny returns any idle connection, for the VM's own commands, or opens one for the
// workspace that was served last. If callers hold all connections or wait for one, it returns the control connection. It
// returns the errors of Acquire and of acquireControl.
func (p *Pool) AcquireAny(ctx context.Context, deadline time.Time) (*Conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if !p.hasCapacity() || p.currentState() != poolOpen || p.waiting > 0 || len(p.blocked) > 0 || p.Queue != nil && p.Queue.isFull() {
		p.mu.Unlock()
		return p.acquireControl(ctx, deadline)
	}
	w := anonymousWorkspace
	if last := p.lastUsedWorkspace(); last != nil {
		w = last.workspace
	}
	p.mu.Unlock()
	if p.Queue == nil {
		return p.Acquire(ctx, w, deadline)
	}
	place, err := p.Queue.enter(ctx, demand{workspace: w}, true, deadline)
	if err != nil {
		return nil, err
	}
	c, err := p.Acquire(ctx, w, deadline)
	p.leaveAfterOpening(w, place, err)
	return c, err
}

// openForWaiters starts opening a connection for the workspace that has waited longest for one,
// unless maxOpening, a recent failure or the share prevents it; p.mu is held.
func (p *Pool) openForWaiters() {
	if p.waiting == 0 || p.closed || p.currentState() != poolOpen || p.opening >= p.maxOpening() || time.Now().Before(p.dialNotBefore) {
		return
	}
	wp := p.longestWaiting()
	if wp == nil {
		return
	}
	if !p.hasCapacity() {
		donor := p.workspaceWithLongestIdle(wp.workspace.Name)
		if donor == nil {
			return
		}
		p.closeOldestIdle(donor)
	}
	if p.cancelDials == nil {
		p.dialCtx, p.cancelDials = context.WithCancel(context.Background())
	}
	p.open++
	p.opening++
	wp.open++
	wp.opening++
	w := wp.workspace.Name
	p.dials.Go(func() { p.dial(wp, w) })
}

// recheckWaiters calls openForWaiters from a timer.
func (p *Pool) recheckWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblock()
	p.openForWaiters()
}

// closeOldestIdle closes a workspace's oldest idle connection; p.mu is held.
func (p *Pool) closeOldestIdle(wp *workspacePool) {
	c := wp.idle[0]
	wp.idle = wp.idle[1:]
	p.uncount(wp)
	c.Link.Close()
}

// uncount decrements the connection counts of the pool and a workspace; p.mu is held.
func (p *Pool) uncount(wp *workspacePool) {
	p.open--
	wp.open--
	p.unblock()
}

// dial opens a connection for a workspace, which is already counted as open.
func (p *Pool) dial(wp *workspacePool, w WorkspaceName) {
	ctx, cancel := context.WithTimeout(p.dialCtx, connectTimeout)
	defer cancel()
	if p.AwaitCurrent != nil {
		p.AwaitCurrent(time.Now().Add(connectTimeout))
	}
	began := time.Now()
	link, _, err := p.Connect(ctx, p.Server, w)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	wp.opening--
	p.leavePlaces(wp)
	if err != nil {
		p.handleDialError(wp, err)
		return
	}
	if p.OnOpened != nil {
		p.OnOpened()
	}
	p.averageHandshake = movingAverage(p.averageHandshake, time.Since(began))
	p.opened++
	c := &Conn{Link: link, Server: p.Server.ID, Workspace: w, pool: p, number: p.opened, alignment: alignment{phase: Idle}, values: map[string]string{}, plans: map[planDigest]StatementName{}}
	p.assignOrKeep(wp, c)
	p.openForWaiters()
}

// handleDialError delays the next attempt, and fails the workspace's waiters if it has no other
// connection; p.mu is held.
func (p *Pool) handleDialError(wp *workspacePool, err error) {
	p.uncount(wp)
	pause := failedBackoff
	if isType(err, ErrRefused) {
		pause = refusedBackoff
	}
	p.dialNotBefore = time.Now().Add(pause)
	if wp.open == 0 {
		for _, wt := range wp.waiters {
			wt.result <- acquireResult{err: err}
		}
		p.waiting -= len(wp.waiters)
		wp.waiters = nil
	}
	time.AfterFunc(pause, p.recheckWaiters)
}

// assignOrKeep hands a connection to the workspace's first waiter, or keeps it idle if the
// share allows that, or else closes it; p.mu is held.
func (p *Pool) assignOrKeep(wp *workspacePool, c *Conn) {
	if len(wp.waiters) > 0 {
		wt := wp.waiters[0]
		wp.waiters = wp.waiters[1:]
		p.waiting--
		wt.result <- acquireResult{conn: c}
		return
	}
	if p.closed || p.currentState() == poolTransactions || p.isOverCapacity() {
		p.uncount(wp)
		c.Link.Close()
		return
	}
	c.idleSince = time.Now()
	wp.idle = append(wp.idle, c)
	p.unblock()
}

// Release returns a connection to the pool, or closes it if keep is false, if the pool is
// closed, if the share doesn't allow it to stay idle, or if another workspace needs its place.
// keep must be false if a transaction is open or an answer is outstanding. took is how long the
// connection was in use.
func (p *Pool) Release(c *Conn, keep bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idleTransactions, c)
	if c.mayCommit {
		c.mayCommit = false
		p.leaveWrite()
	}
	if c.dropped {
		return
	}
	if c.isControl {
		p.releaseControl(c, keep)
		return
	}
	wp := p.workspacePools[c.Workspace]
	wp.averageHold, wp.lastUsed = movingAverage(wp.averageHold, took), time.Now()
	if !keep || c.mustClose() || p.closed || p.currentState() == poolTransactions || p.hasStarvingWorkspace(wp) {
		p.uncount(wp)
		c.Link.Close()
	} else {
		p.assignOrKeep(wp, c)
	}
	p.openForWaiters()
}

// Trim closes idle connections that have been idle for too long or exceed the share, and removes
// the parts of the pool that no workspace uses any more.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.control.idle; c != nil && time.Since(c.idleSince) > maxIdleTime {
		p.closeIdleControl()
	}
	for name, wp := range p.workspacePools {
		for len(wp.idle) > 0 && (p.isOverCapacity() || time.Since(wp.idle[0].idleSince) > maxIdleTime) {
			p.closeOldestIdle(wp)
		}
		if wp.open == 0 && len(wp.waiters) == 0 && time.Since(wp.lastUsed) > maxIdleTime {
			delete(p.workspacePools, name)
		}
	}
	p.unblock()
	if p.Queue != nil {
		p.Queue.trim()
		// The time as owner of the connections counts from the first call.
		_ = p.Share()
	}
	p.openForWaiters()
}

// CloseIdle closes all idle connections. It is called when a connection was found broken or the
// server didn't answer, because the cause may affect the others too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle is CloseIdle with p.mu held.
func (p *Pool) closeIdle() {
	p.closeIdleControl()
	for _, wp := range p.workspacePools {
		for len(wp.idle) > 0 {
			p.closeOldestIdle(wp)
		}
	}
}

// Close closes the pool and its idle connections and fails its waiters; connections in use are
// closed on release.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.cancelDials != nil {
		p.cancelDials()
	}
	for _, b := range p.blocked {
		close(b.ready)
	}
	p.blocked = nil
	p.closeIdle()
	for _, wp := range p.workspacePools {
		for _, wt := range wp.waiters {
			wt.result <- acquireResult{err: ErrNoServer.New("server %s was removed", p.Server.ID)}
		}
		p.waiting -= len(wp.waiters)
		wp.waiters = nil
	}
}

// Wait waits for pending attempts to open connections. It must be called after Close.
func (p *Pool) Wait() { p.dials.Wait() }

// repeatMemory is for how long a server is taken for one that repeats answers.
const repeatMemory = time.Minute

// repeatsAnswers reports whether the server is known to repeat answers.
func (p *Pool) repeatsAnswers() bool {
	at := p.repeatedAt.Load()
	return at != 0 && clock.Since(clock.Instant(at)) < repeatMemory
}

// countUnexpected counts an answer that isn't, or may not be, that of the awaited command.
func (p *Pool) countUnexpected(whose attribution) {
	if p.OnUnexpected != nil {
		p.OnUnexpected(whose)
	}
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(averageWeight*float64(sample-mean))
}
