package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// idleAtMost is how long a connection may idle; servers close theirs after a minute.
	idleAtMost = 30 * time.Second
	// connectWithin bounds opening one. An attempt goes on when the request that wanted it
	// has given up: the server has already spent a slot on it.
	connectWithin = 2500 * time.Millisecond
	// handshakeFirst is taken for the time to open one before it was measured.
	handshakeFirst = 20 * time.Millisecond
	// refusedPause follows a server's word that it has too many connections, and
	// failedPause an attempt that failed otherwise.
	refusedPause = 250 * time.Millisecond
	failedPause  = 100 * time.Millisecond
	// maxOpening connections are opened at once: each takes a slot of the server, which
	// has two or three, and the other VMs open theirs.
	maxOpening = 1
	// restLeast is how long a connection must have idled before another workspace may
	// have its place: a caller that works in sequence comes back within that.
	restLeast = 50 * time.Millisecond
	// smoothing weighs one observation in the averages of the pool.
	smoothing = 0.1
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
	TransactionIdle func() time.Duration

	mu    sync.Mutex
	lines map[WorkspaceName]*line
	rests rests
	// open counts all connections: idle, in use and being opened.
	open, opening int
	// handshake is how long opening takes, on average.
	handshake time.Duration
	// notBefore is when another may be opened, after an attempt that failed.
	notBefore time.Time
	closed    bool
	// end stops the attempts to open connections, nil before the first.
	end   context.CancelFunc
	ctx   context.Context
	tasks sync.WaitGroup
}

func (p *Pool) handshakeTime() time.Duration {
	if p.handshake == 0 {
		return handshakeFirst
	}
	return p.handshake
}

func (p *Pool) roomy() bool {
	share := p.Share().Open
	return p.open < share+p.spare(share)
}

// crowded tells whether more connections are open than may rest; p.mu is held.
func (p *Pool) crowded() bool {
	share := p.Share()
	return p.open > share.Rest+p.spare(share.Open)
}

// Take waits for a connection until deadline; at once if the wait would be longer.
// ErrBusy, ErrConnect, ErrRefused, ErrWrongServer, ErrNoServer; nothing was sent.
func (p *Pool) Take(ctx context.Context, w *Workspace, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoServer.New("server %s is gone", p.Server.ID)
	}
	l := p.line(w)
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if wait := p.wait(l); wait > time.Until(deadline) {
		waiting := len(l.waiting)
		p.mu.Unlock()
		return nil, ErrBusy.New("%s server %s: %d wait before it, a connection takes about %s", retryAfter(wait), p.Server.ID, waiting, wait)
	}
	t := &ticket{granted: make(chan grant, 1), since: time.Now()}
	l.waiting = append(l.waiting, t)
	p.balance()
	if l.opening == 0 {
		time.AfterFunc(p.handshakeTime(), p.rebalance)
	}
	if len(p.rests) > 0 {
		time.AfterFunc(restsLong, p.rebalance)
	}
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case g := <-t.granted:
		return g.conn, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.giveUp(l, t)
}

// giveUp takes a ticket out, unless it was granted in the last moment.
func (p *Pool) giveUp(l *line, t *ticket) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range l.waiting {
		if other == t {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			return nil, ErrBusy.New("no connection to server %s became free", p.Server.ID)
		}
	}
	g := <-t.granted
	return g.conn, g.err
}

// TakeAny takes any idle connection, for the VM's own commands, or opens one for the
// workspace that was served last. ErrBusy if all are in use.
func (p *Pool) TakeAny(ctx context.Context, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	var last *line
	for _, l := range p.lines {
		if len(l.idle) > 0 {
			c := l.idle[0]
			l.idle = l.idle[1:]
			p.mu.Unlock()
			return c, nil
		}
		if last == nil || l.usedAt.After(last.usedAt) {
			last = l
		}
	}
	if !p.roomy() {
		p.mu.Unlock()
		return nil, ErrBusy.New("server %s: all connections are in use", p.Server.ID)
	}
	w := openWorkspace
	if last != nil {
		w = last.workspace
	}
	p.mu.Unlock()
	return p.Take(ctx, w, deadline)
}

// balance opens a connection for a workspace that lacks one; p.mu is held.
func (p *Pool) balance() {
	if p.closed || p.opening >= maxOpening || time.Now().Before(p.notBefore) {
		return
	}
	l := p.neediest()
	if l == nil {
		return
	}
	if !p.roomy() {
		rested := p.rested(l.workspace.Name)
		if rested == nil {
			return
		}
		p.closeIdle(rested)
	}
	if p.end == nil {
		p.ctx, p.end = context.WithCancel(context.Background())
	}
	p.open++
	p.opening++
	l.open++
	l.opening++
	w := l.workspace.Name
	p.tasks.Go(func() { p.dial(l, w) })
}

// rebalance looks again at who waits.
func (p *Pool) rebalance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance()
}

// closeIdle closes a line's oldest idle connection; p.mu is held.
func (p *Pool) closeIdle(l *line) {
	c := l.idle[0]
	l.idle = l.idle[1:]
	p.forget(l)
	c.Link.Close()
}

// forget counts one connection of a line less; p.mu is held.
func (p *Pool) forget(l *line) {
	p.open--
	l.open--
}

// dial opens a connection for a line, which is already counted.
func (p *Pool) dial(l *line, w WorkspaceName) {
	ctx, cancel := context.WithTimeout(p.ctx, connectWithin)
	defer cancel()
	began := time.Now()
	link, _, err := p.Connect(ctx, p.Server, w)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	l.opening--
	if err != nil {
		p.dialFailed(l, err)
		return
	}
	p.handshake = average(p.handshake, time.Since(began))
	c := &Conn{Link: link, Server: p.Server.ID, Workspace: w, pool: p, values: map[string]string{}, plans: map[Plan]StatementName{}}
	p.put(l, c)
	p.balance()
}

// dialFailed lets those know who wait for nothing else; p.mu is held.
func (p *Pool) dialFailed(l *line, err error) {
	p.forget(l)
	pause := failedPause
	if isType(err, ErrRefused) {
		pause = refusedPause
	}
	p.notBefore = time.Now().Add(pause)
	if l.open == 0 {
		for _, t := range l.waiting {
			t.granted <- grant{err: err}
		}
		l.waiting = nil
	}
	time.AfterFunc(pause, p.rebalance)
}

// put hands a connection to the line's first waiter, or keeps it; p.mu is held.
func (p *Pool) put(l *line, c *Conn) {
	if len(l.waiting) > 0 {
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		t.granted <- grant{conn: c}
		return
	}
	if p.closed || p.crowded() {
		p.forget(l)
		c.Link.Close()
		return
	}
	c.idleSince = time.Now()
	l.idle = append(l.idle, c)
}

// Give takes a connection back. Only one that is outside of transactions with all
// commands answered may be kept.
func (p *Pool) Give(c *Conn, keep bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rests, c)
	l := p.lines[c.Workspace]
	l.use, l.usedAt = average(l.use, took), time.Now()
	if !keep || p.closed || p.starving(l) {
		p.forget(l)
		c.Link.Close()
	} else {
		p.put(l, c)
	}
	p.balance()
}

// Shed closes connections that idle for long or are more than the share.
func (p *Pool) Shed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.lines {
		for len(l.idle) > 0 && (p.crowded() || time.Since(l.idle[0].idleSince) > idleAtMost) {
			p.closeIdle(l)
		}
		if l.open == 0 && len(l.waiting) == 0 && time.Since(l.usedAt) > idleAtMost {
			delete(p.lines, name)
		}
	}
	p.balance()
}

// Drop closes the idle connections, as after one of them was found broken or silent:
// whatever made it so may have made the others, too.
func (p *Pool) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

func (p *Pool) drop() {
	for _, l := range p.lines {
		for len(l.idle) > 0 {
			p.closeIdle(l)
		}
	}
}

// Close ends the pool; connections in use are closed as they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.end != nil {
		p.end()
	}
	p.drop()
	for _, l := range p.lines {
		for _, t := range l.waiting {
			t.granted <- grant{err: ErrNoServer.New("server %s is gone", p.Server.ID)}
		}
		l.waiting = nil
	}
}

// Wait waits for the attempts under way; it is called after Close.
func (p *Pool) Wait() { p.tasks.Wait() }

func average(before, one time.Duration) time.Duration {
	if before == 0 {
		return one
	}
	return before + time.Duration(smoothing*float64(one-before))
}
