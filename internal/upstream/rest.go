package upstream

import "time"

// idleTransactionDelay is how long a transaction may run no statement before an
// adaptive limit stops counting its connection.
const idleTransactionDelay = 10 * time.Millisecond

// idlePhase is a period in which a connection is in use but runs no statement: between
// the statements of a transaction, or while a commit waits for confirmation. It causes
// no work on the server, so another request may be admitted meanwhile; the user of the
// connection continues without waiting.
type idlePhase struct {
	timer *time.Timer
	// counted is true once the phase is included in Pool.idleTransactions, ended once
	// it is over; both are guarded by the pool's mu.
	counted, ended bool
}

// beginIdlePhase begins an idle phase that is counted after a delay.
func (c *Conn) beginIdlePhase(delay time.Duration) {
	phase := &idlePhase{}
	c.idlePhase = phase
	if delay == 0 {
		c.pool.countIdlePhase(phase)
		return
	}
	phase.timer = time.AfterFunc(delay, func() { c.pool.countIdlePhase(phase) })
}

// endIdlePhase ends the idle phase, if there is one.
func (c *Conn) endIdlePhase() {
	phase := c.idlePhase
	if phase == nil {
		return
	}
	c.idlePhase = nil
	if phase.timer != nil {
		phase.timer.Stop()
	}
	c.pool.endIdlePhase(phase)
}

// countIdlePhase admits a waiter in place of the connection that is idle.
func (p *Pool) countIdlePhase(phase *idlePhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if phase.ended {
		return
	}
	phase.counted = true
	p.idleTransactions++
	p.admitMore()
}

func (p *Pool) endIdlePhase(phase *idlePhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	phase.ended = true
	if phase.counted {
		p.idleTransactions--
	}
}
