package proxy

import "time"

// restsLong is how long a transaction must have waited for its caller's next statement
// before it counts as resting: callers that work come back within some round trips.
const longIdleThreshold = 200 * time.Millisecond

// rests are the connections whose transactions wait for their callers, since when.
//
// Callers that begin a transaction and then rest hold connections, each for as long as a
// transaction may be idle, and enough of them would hold all. So resting ones don't count
// against the share: as many again may be open beside them. And once they are as many as
// the share, their workspaces begin no further transactions at this server.
type idleTransactions map[*Conn]time.Time

// long counts those that have rested for long, all and of one workspace.
func (r idleTransactions) countLongIdle(w WorkspaceName) (all, own int) {
	for c, idleSince := range r {
		if time.Since(idleSince) < longIdleThreshold {
			continue
		}
		all++
		if c.Workspace == w {
			own++
		}
	}
	return all, own
}

// oldest is for how long the first of them has rested.
func (r idleTransactions) longestIdle() time.Duration {
	var longest time.Duration
	for _, idleSince := range r {
		longest = max(longest, time.Since(idleSince))
	}
	return longest
}

// begins tells whether the connection's workspace may begin a transaction. ErrBusy.
func (p *Pool) admitTransaction(c *Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, own := p.idleTransactions.countLongIdle(c.Workspace)
	if own == 0 || all < p.Share().MaxOpen {
		return nil
	}
	wait := longIdleThreshold
	if p.TransactionIdleTimeout != nil {
		wait = max(wait, p.TransactionIdleTimeout()-p.idleTransactions.longestIdle())
	}
	return ErrBusy.New("%s server %s: %d transactions rest, %d of them of workspace %s", retryAfterText(wait), p.Server.ID, all, own, c.Workspace)
}

// rest takes note that a connection's transaction waits for its caller, works that it
// doesn't any more.
func (p *Pool) markIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleTransactions == nil {
		p.idleTransactions = idleTransactions{}
	}
	p.idleTransactions[c] = time.Now()
}

func (p *Pool) markActive(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idleTransactions, c)
}

// spare is how many connections more than the share may be open; p.mu is held.
func (p *Pool) idleAllowance(share int) int {
	longIdle, _ := p.idleTransactions.countLongIdle("")
	return min(longIdle, share)
}
