package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/pkg/turn"
)

const (
	// idleAtMost is how long a connection may idle; servers close theirs after a minute.
	idleAtMost = 30 * time.Second
	// connectWithin bounds opening one: several round trips, and the server's own wait
	// for a slot while it is loaded.
	connectWithin = 600 * time.Millisecond
	// refusedPause follows a server's word that it has too many connections.
	refusedPause = 250 * time.Millisecond
	// smoothing weighs one observation in the averages of the pool.
	smoothing = 0.1
)

// Pool holds this VM's connections to one server.
//
// A connection belongs to one workspace, since servers are told at its start for whom it
// is. A workspace without a connection gets a new one while the VM's share has room,
// else in place of one that another workspace left idle for longest.
type Pool struct {
	// Server may change its state, never its id or address; guarded by the group.
	Server  Server
	Connect Connect
	// Share is how many connections this VM may have to the server at this moment.
	Share func() int

	mu sync.Mutex
	// idle connections, that given back last at the end.
	idle []*Conn
	// open counts the idle ones, those in use and those being opened.
	open  int
	queue turn.Queue
	// use is how long connections are taken for, on average.
	use time.Duration
	// handshake is how long opening takes, on average.
	handshake time.Duration
	// fullUntil is when to try again after the server wanted no more connections.
	fullUntil time.Time
	closed    bool
	// lastFor is the workspace of the last request.
	lastFor *Workspace
}

// outlook is what a request finds in a pool, for choosing between pools.
type outlook struct {
	// ready connections of the workspace, and room for a new one.
	ready, room bool
	// evictable connections of others stand idle.
	evictable bool
	waiting   int
	inUse     int
	share     int
	use       time.Duration
	handshake time.Duration
}

func (p *Pool) outlook(w WorkspaceName) outlook {
	p.mu.Lock()
	defer p.mu.Unlock()
	return outlook{
		ready: p.find(w) >= 0, room: p.roomy(), evictable: len(p.idle) > 0,
		waiting: p.queue.Len(), inUse: p.open - len(p.idle), share: p.Share(),
		use: p.use, handshake: p.handshake,
	}
}

// find is where the workspace's newest idle connection stands, -1 if there is none;
// p.mu is held.
func (p *Pool) find(w WorkspaceName) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].Workspace == w {
			return i
		}
	}
	return -1
}

func (p *Pool) roomy() bool { return p.open < p.Share() && !time.Now().Before(p.fullUntil) }

// Take waits for a connection until deadline. ErrBusy, ErrConnect, ErrRefused,
// ErrWrongServer; nothing was sent of the request.
func (p *Pool) Take(ctx context.Context, w *Workspace, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoServer.New("server %s is gone", p.Server.ID)
	}
	p.lastFor = w
	if i := p.find(w.Name); i >= 0 {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.mu.Unlock()
		return c, nil
	}
	if p.roomy() {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx, w, deadline)
	}
	if len(p.idle) > 0 {
		// Its place goes to the new one: open stays.
		old := p.idle[0]
		p.idle = p.idle[1:]
		p.mu.Unlock()
		old.Link.Close()
		return p.dial(ctx, w, deadline)
	}
	if wait := p.wait(); wait > time.Until(deadline) {
		p.mu.Unlock()
		return nil, ErrBusy.New("server %s: %d wait for %d connections, about %s", p.Server.ID, p.queue.Len(), p.Share(), wait)
	}
	t := p.queue.Push(string(w.Name), 1)
	p.mu.Unlock()
	return p.await(ctx, w, t, deadline)
}

// TakeAny takes any connection, for the VM's own commands; ErrBusy at once if none is
// free and there is no room for a new one.
func (p *Pool) TakeAny(ctx context.Context, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if p.closed || !p.roomy() {
		p.mu.Unlock()
		return nil, ErrBusy.New("server %s: all connections are in use", p.Server.ID)
	}
	p.open++
	w := p.lastFor
	p.mu.Unlock()
	if w == nil {
		w = openWorkspace
	}
	return p.dial(ctx, w, deadline)
}

// wait estimates how long one more would wait; p.mu is held.
func (p *Pool) wait() time.Duration {
	return time.Duration(p.queue.Len()+1) * p.use / time.Duration(max(p.open, 1))
}

// await waits for the turn t.
func (p *Pool) await(ctx context.Context, w *Workspace, t *turn.Ticket, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-t.Granted():
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	if !p.queue.Remove(t) {
		// Granted, perhaps in the last moment.
		p.mu.Unlock()
		c, _ := t.Value.(*Conn)
		if c == nil {
			return p.dial(ctx, w, deadline)
		}
		if c.Workspace == w.Name {
			return c, nil
		}
		c.Link.Close()
		return p.dial(ctx, w, deadline)
	}
	p.mu.Unlock()
	return nil, ErrBusy.New("no connection to server %s became free", p.Server.ID)
}

// dial opens a connection in a place that is already counted.
func (p *Pool) dial(ctx context.Context, w *Workspace, deadline time.Time) (*Conn, error) {
	until := time.Now().Add(connectWithin)
	if deadline.Before(until) {
		until = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	began := time.Now()
	link, floor, err := p.Connect(ctx, p.Server, w.Name)
	if err != nil {
		p.dialFailed(err)
		return nil, err
	}
	p.mu.Lock()
	p.handshake = average(p.handshake, time.Since(began))
	p.mu.Unlock()
	return &Conn{Link: link, Server: p.Server.ID, Workspace: w.Name, pool: p, values: map[string]string{}, plans: map[Plan]StatementName{}, floor: floor}, nil
}

func (p *Pool) dialFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isType(err, ErrRefused) {
		p.fullUntil = time.Now().Add(refusedPause)
	}
	p.passPlace()
}

// passPlace gives the place of a connection that ended to whoever waits; p.mu is held.
func (p *Pool) passPlace() {
	if p.open <= p.Share() {
		if t := p.queue.Pop(); t != nil {
			t.Grant(nil)
			return
		}
	}
	p.open--
}

// Give takes a connection back. Only one that is outside of transactions with all
// commands answered may be kept.
func (p *Pool) Give(c *Conn, keep bool, took time.Duration) {
	p.mu.Lock()
	p.use = average(p.use, took)
	if !keep || p.closed || p.open > p.Share() {
		p.passPlace()
		p.mu.Unlock()
		c.Link.Close()
		return
	}
	if t := p.queue.Pop(); t != nil {
		p.mu.Unlock()
		t.Grant(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Shed closes connections that idle for long or are more than the share.
func (p *Pool) Shed() {
	p.mu.Lock()
	var doomed []*Conn
	for len(p.idle) > 0 && (p.open > p.Share() || time.Since(p.idle[0].idleSince) > idleAtMost) {
		doomed = append(doomed, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	closeAll(doomed)
}

// Drop closes the idle connections, as after one of them was found broken or silent:
// whatever made it so may have made the others, too.
func (p *Pool) Drop() {
	p.mu.Lock()
	doomed := p.idle
	p.idle = nil
	p.open -= len(doomed)
	p.mu.Unlock()
	closeAll(doomed)
}

// Close ends the pool; connections in use are closed as they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for t := p.queue.Pop(); t != nil; t = p.queue.Pop() {
		p.open++
		t.Grant(nil)
	}
	p.mu.Unlock()
	p.Drop()
}

func closeAll(list []*Conn) {
	for _, c := range list {
		c.Link.Close()
	}
}

func average(before, one time.Duration) time.Duration {
	if before == 0 {
		return one
	}
	return before + time.Duration(smoothing*float64(one-before))
}
