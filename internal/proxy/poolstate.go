package proxy

import "time"

// poolState says what a pool's connections may be used for.
type poolState string

const (
	// poolOpen allows all.
	poolOpen poolState = "open"
	// poolExisting allows what the connections that are open can run.
	poolExisting poolState = "existing"
	// poolTransactions allows the statements of transactions that are open.
	poolTransactions poolState = "transactions"
	// poolShut allows nothing. A shut pool is never opened again.
	poolShut poolState = "shut"
)

// setState changes what the pool's connections may be used for. Connections that are of no use any
// more are closed, apart from those that run a statement, and waiting requests that can't be served
// any more fail. It returns false if the pool is shut and has to be replaced. retryAfter is told in
// refusals.
func (p *Pool) setState(s poolState, retryAfter time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAfter = retryAfter
	before := p.currentState()
	if before == poolShut || before == s {
		return s == before
	}
	p.state = s
	if s == poolOpen {
		p.openForWaiters()
		return true
	}
	if p.cancelDials != nil {
		p.cancelDials()
		p.cancelDials = nil
	}
	for _, wp := range p.workspacePools {
		if s == poolExisting && wp.open > wp.opening {
			continue
		}
		for _, wt := range wp.waiters {
			wt.result <- acquireResult{err: p.stateError()}
		}
		wp.waiters = nil
	}
	if s != poolExisting {
		p.closeIdle()
	}
	if s == poolShut {
		p.closed = true
		for c := range p.idleTransactions {
			p.drop(c)
		}
	}
	return true
}

// currentState returns the pool's state; p.mu is held.
func (p *Pool) currentState() poolState {
	if p.state == "" {
		return poolOpen
	}
	return p.state
}

// stateError returns the error for what the state doesn't allow; p.mu is held.
func (p *Pool) stateError() error {
	return ErrNoServer.New("%s server %s is in a zone that is being evacuated", retryAfterText(p.retryAfter), p.Server.ID)
}

// admitWaiter returns an error if the state doesn't let a workspace's request wait for a connection;
// p.mu is held.
func (p *Pool) admitWaiter(wp *workspacePool) error {
	switch p.currentState() {
	case poolOpen:
		return nil
	case poolExisting:
		if wp.open > wp.opening {
			return nil
		}
	}
	return p.stateError()
}

// beginCommands takes a connection out of the idle transactions before commands are sent on it. It
// returns an error if the state doesn't allow them.
func (p *Pool) beginCommands(c *Conn, commands []Command, until time.Time) error {
	if p.AwaitCurrent != nil && !p.AwaitCurrent(until) {
		return ErrNoServer.New("%s the VM was paused and doesn't know yet which zones are being evacuated", retryAfterText(resumeRetry))
	}
	if p.AdmitCold != nil {
		if err := p.AdmitCold(c, commands, until); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.currentState()
	if state == poolShut || state == poolTransactions && !c.inTransaction {
		return p.stateError()
	}
	if c.inTransaction {
		delete(p.idleTransactions, c)
	}
	return nil
}

// resumeRetry is when callers of a VM that was paused should return: another VM has answered by then,
// or this one counts as cut off.
const resumeRetry = time.Second

// drop closes a connection whose transaction is idle; p.mu is held.
func (p *Pool) drop(c *Conn) {
	delete(p.idleTransactions, c)
	c.dropped = true
	p.uncount(p.workspacePools[c.Workspace])
	c.Link.Close()
}

// use returns the number of open connections, and of those in use, apart from idle transactions, and
// waiting requests.
func (p *Pool) use() (connections, statements int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	statements = p.open - p.opening - len(p.idleTransactions)
	for _, wp := range p.workspacePools {
		statements += len(wp.waiters) - len(wp.idle)
	}
	return p.open, statements
}
