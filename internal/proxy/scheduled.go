package proxy

import (
	"context"
	"slices"
	"time"
)

// checkOut returns a connection for a demand, in its turn if the pool has a queue.
func (p *Pool) checkOut(ctx context.Context, d demand, until time.Time) (*Conn, error) {
	d.mayCommit = d.mayCommit && p.AwaitsReplicas != nil && p.AwaitsReplicas()
	if d.mayCommit {
		if err := p.admitWrite(ctx, until); err != nil {
			return nil, err
		}
	}
	c, err := p.acquireInTurn(ctx, d, until)
	if !d.mayCommit {
		return c, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.leaveWrite()
		return nil, err
	}
	c.mayCommit = true
	return c, nil
}

// acquireInTurn returns a connection for a demand that may have one.
func (p *Pool) acquireInTurn(ctx context.Context, d demand, until time.Time) (*Conn, error) {
	if p.Queue == nil {
		return p.acquire(ctx, d, 0, until)
	}
	return p.acquireScheduled(ctx, d, until)
}

// acquireScheduled waits for a place in service and returns a connection with it. The place comes
// first, so that no request waits for a connection that a less urgent one holds while it waits. A
// verification takes no place if there is an idle connection.
func (p *Pool) acquireScheduled(ctx context.Context, d demand, until time.Time) (*Conn, error) {
	if d.verification {
		if c := p.takeIdle(); c != nil {
			c.demand = d
			return c, nil
		}
	}
	for {
		place, err := p.Queue.enter(ctx, d, false, until)
		if err != nil {
			p.wakeBlocked()
			return nil, err
		}
		if b := p.blockUnlessProvided(d); b != nil {
			// All connections are held by transactions, whose statements need the place, or the
			// server has just refused one. The request comes back to its place in the order.
			place.leave(false)
			if err := p.awaitUnblocked(ctx, b, until); err != nil {
				return nil, err
			}
			if d.FirstDeadline.IsZero() {
				d.FirstDeadline = d.Deadline
			}
			continue
		}
		c, err := p.acquire(ctx, d, d.rank(), until)
		if err != nil {
			p.leaveAfterOpening(d.workspace, place, err)
			return nil, err
		}
		c.place, c.demand = place, d
		return c, nil
	}
}

// blockedRequest is a request that had its turn while the pool couldn't provide a connection.
type blockedRequest struct {
	rank int
	// ready is closed when a connection may be had.
	ready chan struct{}
}

// blockUnlessProvided returns nil if the pool can provide a connection for a demand. Otherwise it
// records the request among the blocked ones, the most urgent first.
func (p *Pool) blockUnlessProvided(d demand) *blockedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.canProvide(d.workspace.Name) {
		return nil
	}
	b := &blockedRequest{rank: d.rank(), ready: make(chan struct{})}
	n := len(p.blocked)
	p.blocked = append(p.blocked, b)
	for ; n > 0 && p.blocked[n-1].rank > b.rank; n-- {
		p.blocked[n], p.blocked[n-1] = p.blocked[n-1], b
	}
	return b
}

// awaitUnblocked waits until a blocked request may try again. It returns ErrBusy after until.
func (p *Pool) awaitUnblocked(ctx context.Context, b *blockedRequest, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-b.ready:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = slices.DeleteFunc(p.blocked, func(other *blockedRequest) bool { return other == b })
	return ErrBusy.New("no connection to server %s became available in time", p.Server.ID)
}

// wakeBlocked lets the most urgent blocked request try again if a connection may be had.
func (p *Pool) wakeBlocked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblock()
}

// unblock is wakeBlocked with p.mu held.
func (p *Pool) unblock() {
	if len(p.blocked) == 0 || time.Now().Before(p.dialNotBefore) {
		return
	}
	close(p.blocked[0].ready)
	p.blocked = p.blocked[1:]
}

// takeIdle returns the least recently used idle connection of some workspace, or nil if there is
// none.
func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wp := range p.workspacePools {
		if len(wp.idle) > 0 {
			c := wp.idle[0]
			wp.idle = wp.idle[1:]
			return c
		}
	}
	return nil
}

// canProvide reports whether a workspace has an idle connection or one can be opened for it. It is
// true for a closed pool, which refuses requests. p.mu is held.
func (p *Pool) canProvide(w WorkspaceName) bool {
	if wp := p.workspacePools[w]; p.closed || wp != nil && (len(wp.idle) > 0 || wp.opening > 0) {
		return true
	}
	return !time.Now().Before(p.dialNotBefore) && (p.hasCapacity() || p.workspaceWithLongestIdle(w) != nil)
}

// leaveAfterOpening gives up the place of a request without a connection. If a connection that was
// opened for the request is still being opened, that keeps the place. err is the reason why the
// request has no connection, or nil if the place only served to open one.
func (p *Pool) leaveAfterOpening(w *Workspace, pl *place, err error) {
	p.mu.Lock()
	if wp := p.workspacePools[w.Name]; err != nil && wp != nil && wp.opening > len(wp.places) {
		wp.places = append(wp.places, pl)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	pl.leave(false)
}

// leavePlaces gives up the places of requests that no longer wait for the connection whose opening
// has ended; p.mu is held.
func (p *Pool) leavePlaces(wp *workspacePool) {
	for _, pl := range wp.places {
		pl.leave(false)
	}
	wp.places = nil
}

// maxOpening returns how many connections may be opened at the same time. With a queue, each has a
// place in it.
func (p *Pool) maxOpening() int {
	if p.Queue == nil {
		return maxOpening
	}
	return max(p.Server.Slots, defaultSlots)
}

// minReassignIdle returns how long a connection must have been idle before another workspace may
// get its place. With a queue, requests wait before they have a connection, and the one to close is
// the least recently used one.
func (p *Pool) minReassignIdle() time.Duration {
	if p.Queue == nil {
		return minReassignIdle
	}
	return 0
}

// addWaiter adds a waiter before those that are less urgent; p.mu is held.
func (p *Pool) addWaiter(wp *workspacePool, wt *waiter) {
	p.waiting++
	n := len(wp.waiters)
	wp.waiters = append(wp.waiters, wt)
	for ; n > 0 && wp.waiters[n-1].rank > wt.rank; n-- {
		wp.waiters[n], wp.waiters[n-1] = wp.waiters[n-1], wt
	}
}

// before reports whether a waiter is more urgent than another or, if they are equally urgent, has
// waited longer.
func (wt *waiter) before(other *waiter) bool {
	if wt.rank != other.rank {
		return wt.rank < other.rank
	}
	return wt.enqueuedAt.Before(other.enqueuedAt)
}

// enterService waits for a place in service if the commands need one that the connection doesn't
// have yet. It returns ErrBusy, before anything is sent, if there is none in time.
func (c *Conn) enterService(commands []Command, until time.Time) error {
	if c.pool.Queue == nil || !takesSlot(commands) {
		return nil
	}
	if c.place != nil && c.place.expiry != nil && !c.place.claim() {
		c.place = nil
	}
	if c.place != nil {
		c.place.expiry = nil
		return nil
	}
	d := c.demand
	if d.workspace == nil {
		d.workspace = &Workspace{Name: c.Workspace}
	}
	d.Objective, d.Deadline, d.FirstDeadline = time.Time{}, until, time.Time{}
	place, err := c.pool.Queue.enter(context.Background(), d, c.inTransaction, until)
	c.place = place
	return err
}

// leaveService gives up the connection's place after commands that needed it. A transaction that
// has just begun keeps it for its first statement. Only the times of statements that succeeded, or
// that weren't answered in time, count as service times: a server that fails fast isn't fast.
func (c *Conn) leaveService(commands []Command, answers []Answer, err error) {
	if c.place == nil {
		return
	}
	if !takesSlot(commands) {
		if c.inTransaction && c.place.expiry == nil {
			c.place.hold()
		}
		return
	}
	measured := isType(err, ErrTimeout) || len(answers) > 0 && answers[len(answers)-1].Succeeded()
	c.place.leave(measured)
	c.place = nil
}

// leave gives up the place of a connection that is released without having used it.
func (c *Conn) leave() {
	if c.place != nil {
		c.place.leave(false)
		c.place = nil
	}
}

// takesSlot reports whether commands occupy a slot of the server: statements do; beginning and
// ending a transaction without one, and setting up a connection, don't.
func takesSlot(commands []Command) bool {
	for _, c := range commands {
		if _, forwards := c.(Forward); forwards {
			return true
		}
	}
	return false
}
