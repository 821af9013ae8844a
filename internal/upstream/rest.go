package upstream

import "time"

// restAfter is how long a transaction may leave its connection without a statement
// before an adaptive limit stops counting it.
const idleTransactionDelay = 10 * time.Millisecond

// rest is a time in which a connection is in use without a statement: between those of a
// transaction, or while a commit is confirmed. It isn't work for the server, so it
// doesn't keep others out; its user goes on without a wait.
type idlePhase struct {
	timer *time.Timer
	// counted is true once the connection counts as resting, ended once it doesn't any
	// more; both guarded by the pool's mu.
	counted, ended bool
}

// pause begins a rest that counts after a time.
func (c *Conn) beginIdlePhase(after time.Duration) {
	r := &idlePhase{}
	c.idlePhase = r
	if after == 0 {
		c.pool.countIdlePhase(r)
		return
	}
	r.timer = time.AfterFunc(after, func() { c.pool.countIdlePhase(r) })
}

// wake ends the rest, if there is one.
func (c *Conn) endIdlePhase() {
	r := c.idlePhase
	if r == nil {
		return
	}
	c.idlePhase = nil
	if r.timer != nil {
		r.timer.Stop()
	}
	c.pool.endIdlePhase(r)
}

// rest lets a waiter go ahead in place of a connection that rests.
func (p *Pool) countIdlePhase(r *idlePhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return
	}
	r.counted = true
	p.idleTransactions++
	p.admitMore()
}

func (p *Pool) endIdlePhase(r *idlePhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.ended = true
	if r.counted {
		p.idleTransactions--
	}
}
