package proxy

import "time"

// longIdleThreshold is how long a transaction must have waited for its caller's next statement
// before it counts as idle for long. Callers that work without a pause send the next statement
// within a few round trips.
const longIdleThreshold = 200 * time.Millisecond

// idleTransactions maps each connection whose transaction waits for its caller's next statement
// to the time since when it does.
//
// An idle transaction holds its connection for up to the transaction idle timeout, so enough of
// them would hold all connections. Connections that have been idle in a transaction for long
// therefore don't count against the share: for each of them one more may be opened, up to twice
// the share. Once as many transactions as the share are idle for long, the workspaces that have
// them can't begin further ones at this server.
type idleTransactions map[*Conn]time.Time

// countLongIdle counts the transactions that have been idle for long, in total and of one
// workspace.
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

// longestIdleDuration returns how long the oldest idle transaction has been idle.
func (r idleTransactions) longestIdleDuration() time.Duration {
	var longest time.Duration
	for _, idleSince := range r {
		longest = max(longest, time.Since(idleSince))
	}
	return longest
}

// admitTransaction returns ErrBusy if the connection's workspace may not begin a transaction
// because too many are idle.
func (p *Pool) admitTransaction(c *Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, own := p.idleTransactions.countLongIdle(c.Workspace)
	if own == 0 || all < p.Share().MaxOpen {
		return nil
	}
	wait := longIdleThreshold
	if p.TransactionIdleTimeout != nil {
		wait = max(wait, p.TransactionIdleTimeout()-p.idleTransactions.longestIdleDuration())
	}
	return ErrBusy.New("%s server %s: %d transactions are idle, %d of them of workspace %s", retryAfterText(wait), p.Server.ID, all, own, c.Workspace)
}

// markIdle records that the connection's transaction waits for its caller; beginCommands records that
// it no longer does.
func (p *Pool) markIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleTransactions == nil {
		p.idleTransactions = idleTransactions{}
	}
	p.idleTransactions[c] = time.Now()
	if p.currentState() == poolShut {
		p.drop(c)
	}
}

// idleAllowance returns by how many the open connections may exceed the share because of idle
// transactions; p.mu is held.
func (p *Pool) idleAllowance(share int) int {
	longIdle, _ := p.idleTransactions.countLongIdle("")
	return min(longIdle, share)
}
