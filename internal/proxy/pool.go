package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// idleAtMost is how long a connection may idle; servers close theirs after a minute.
	maxIdleTime = 30 * time.Second
	// connectWithin bounds opening one. An attempt goes on when the request that wanted it
	// has given up: the server has already spent a slot on it.
	connectTimeout = 2500 * time.Millisecond
	// handshakeFirst is taken for the time to open one before it was measured.
	initialHandshake = 20 * time.Millisecond
	// refusedPause follows a server's word that it has too many connections, and
	// failedPause an attempt that failed otherwise.
	refusedBackoff = 250 * time.Millisecond
	failedBackoff  = 100 * time.Millisecond
	// maxOpening connections are opened at once: each takes a slot of the server, which
	// has two or three, and the other VMs open theirs.
	maxOpening = 1
	// restLeast is how long a connection must have idled before another workspace may
	// have its place: a caller that works in sequence comes back within that.
	minReassignIdle = 50 * time.Millisecond
	// smoothing weighs one observation in the averages of the pool.
	averageWeight = 0.1
)

// Pool holds this VM's connections to one server.
//
// A connection belongs to one workspace, since servers are told at its start for whom it
// is. Opening one costs a server as much as a read, so a workspace that has some waits for
// them unless that takes longer, and its connections change hands only when they rest.
type Pool struct {
	Server  Server
	Connect Connect
	// Share is how many connections this VM may have to the server at this moment.
	Share func() Share
	// TransactionIdle is how long a transaction may rest; nil for no bound.
	TransactionIdleTimeout func() time.Duration

	mu               sync.Mutex
	workspacePools   map[WorkspaceName]*workspacePool
	idleTransactions idleTransactions
	// open counts all connections: idle, in use and being opened.
	open, opening int
	// handshake is how long opening takes, on average.
	averageHandshake time.Duration
	// notBefore is when another may be opened, after an attempt that failed.
	dialNotBefore time.Time
	closed        bool
	// end stops the attempts to open connections, nil before the first.
	cancelDials context.CancelFunc
	dialCtx     context.Context
	dials       sync.WaitGroup
}

func (p *Pool) estimateHandshake() time.Duration {
	if p.averageHandshake == 0 {
		return initialHandshake
	}
	return p.averageHandshake
}

func (p *Pool) hasCapacity() bool {
	share := p.Share().MaxOpen
	return p.open < share+p.idleAllowance(share)
}

// crowded tells whether more connections are open than may rest; p.mu is held.
func (p *Pool) isOverCapacity() bool {
	share := p.Share()
	return p.open > share.MaxIdle+p.idleAllowance(share.MaxOpen)
}

// Take waits for a connection until deadline; at once if the wait would be longer.
// ErrBusy, ErrConnect, ErrRefused, ErrWrongServer, ErrNoServer; nothing was sent.
func (p *Pool) Acquire(ctx context.Context, w *Workspace, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoServer.New("server %s is gone", p.Server.ID)
	}
	wp := p.workspacePool(w)
	if n := len(wp.idle); n > 0 {
		c := wp.idle[n-1]
		wp.idle = wp.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if wait := p.estimateWait(wp); wait > time.Until(deadline) {
		waiting := len(wp.waiters)
		p.mu.Unlock()
		return nil, ErrBusy.New("%s server %s: %d wait before it, a connection takes about %s", retryAfterText(wait), p.Server.ID, waiting, wait)
	}
	wt := &waiter{result: make(chan acquireResult, 1), enqueuedAt: time.Now()}
	wp.waiters = append(wp.waiters, wt)
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

// giveUp takes a ticket out, unless it was granted in the last moment.
func (p *Pool) cancelWait(wp *workspacePool, wt *waiter) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range wp.waiters {
		if other == wt {
			wp.waiters = append(wp.waiters[:i:i], wp.waiters[i+1:]...)
			return nil, ErrBusy.New("no connection to server %s became free", p.Server.ID)
		}
	}
	res := <-wt.result
	return res.conn, res.err
}

// TakeAny takes any idle connection, for the VM's own commands, or opens one for the
// workspace that was served last. ErrBusy if all are in use.
func (p *Pool) AcquireAny(ctx context.Context, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	var lastUsed *workspacePool
	for _, wp := range p.workspacePools {
		if len(wp.idle) > 0 {
			c := wp.idle[0]
			wp.idle = wp.idle[1:]
			p.mu.Unlock()
			return c, nil
		}
		if lastUsed == nil || wp.lastUsed.After(lastUsed.lastUsed) {
			lastUsed = wp
		}
	}
	if !p.hasCapacity() {
		p.mu.Unlock()
		return nil, ErrBusy.New("server %s: all connections are in use", p.Server.ID)
	}
	w := anonymousWorkspace
	if lastUsed != nil {
		w = lastUsed.workspace
	}
	p.mu.Unlock()
	return p.Acquire(ctx, w, deadline)
}

// balance opens a connection for a workspace that lacks one; p.mu is held.
func (p *Pool) openForWaiters() {
	if p.closed || p.opening >= maxOpening || time.Now().Before(p.dialNotBefore) {
		return
	}
	wp := p.longestWaiting()
	if wp == nil {
		return
	}
	if !p.hasCapacity() {
		donor := p.longestIdle(wp.workspace.Name)
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

// rebalance looks again at who waits.
func (p *Pool) recheckWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openForWaiters()
}

// closeIdle closes a line's oldest idle connection; p.mu is held.
func (p *Pool) closeOldestIdle(wp *workspacePool) {
	c := wp.idle[0]
	wp.idle = wp.idle[1:]
	p.uncount(wp)
	c.Link.Close()
}

// forget counts one connection of a line less; p.mu is held.
func (p *Pool) uncount(wp *workspacePool) {
	p.open--
	wp.open--
}

// dial opens a connection for a line, which is already counted.
func (p *Pool) dial(wp *workspacePool, w WorkspaceName) {
	ctx, cancel := context.WithTimeout(p.dialCtx, connectTimeout)
	defer cancel()
	began := time.Now()
	link, _, err := p.Connect(ctx, p.Server, w)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	wp.opening--
	if err != nil {
		p.handleDialError(wp, err)
		return
	}
	p.averageHandshake = movingAverage(p.averageHandshake, time.Since(began))
	c := &Conn{Link: link, Server: p.Server.ID, Workspace: w, pool: p, values: map[string]string{}, plans: map[Plan]StatementName{}}
	p.assignOrKeep(wp, c)
	p.openForWaiters()
}

// dialFailed lets those know who wait for nothing else; p.mu is held.
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
		wp.waiters = nil
	}
	time.AfterFunc(pause, p.recheckWaiters)
}

// put hands a connection to the line's first waiter, or keeps it; p.mu is held.
func (p *Pool) assignOrKeep(wp *workspacePool, c *Conn) {
	if len(wp.waiters) > 0 {
		wt := wp.waiters[0]
		wp.waiters = wp.waiters[1:]
		wt.result <- acquireResult{conn: c}
		return
	}
	if p.closed || p.isOverCapacity() {
		p.uncount(wp)
		c.Link.Close()
		return
	}
	c.idleSince = time.Now()
	wp.idle = append(wp.idle, c)
}

// Give takes a connection back. Only one that is outside of transactions with all
// commands answered may be kept.
func (p *Pool) Release(c *Conn, keep bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idleTransactions, c)
	wp := p.workspacePools[c.Workspace]
	wp.averageHold, wp.lastUsed = movingAverage(wp.averageHold, took), time.Now()
	if !keep || p.closed || p.hasStarvingWorkspace(wp) {
		p.uncount(wp)
		c.Link.Close()
	} else {
		p.assignOrKeep(wp, c)
	}
	p.openForWaiters()
}

// Shed closes connections that idle for long or are more than the share.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, wp := range p.workspacePools {
		for len(wp.idle) > 0 && (p.isOverCapacity() || time.Since(wp.idle[0].idleSince) > maxIdleTime) {
			p.closeOldestIdle(wp)
		}
		if wp.open == 0 && len(wp.waiters) == 0 && time.Since(wp.lastUsed) > maxIdleTime {
			delete(p.workspacePools, name)
		}
	}
	p.openForWaiters()
}

// Drop closes the idle connections, as after one of them was found broken or silent:
// whatever made it so may have made the others, too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *Pool) closeIdle() {
	for _, wp := range p.workspacePools {
		for len(wp.idle) > 0 {
			p.closeOldestIdle(wp)
		}
	}
}

// Close ends the pool; connections in use are closed as they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.cancelDials != nil {
		p.cancelDials()
	}
	p.closeIdle()
	for _, wp := range p.workspacePools {
		for _, wt := range wp.waiters {
			wt.result <- acquireResult{err: ErrNoServer.New("server %s is gone", p.Server.ID)}
		}
		wp.waiters = nil
	}
}

// Wait waits for the attempts under way; it is called after Close.
func (p *Pool) Wait() { p.dials.Wait() }

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(averageWeight*float64(sample-mean))
}
