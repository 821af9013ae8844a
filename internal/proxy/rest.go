package proxy

import "time"

// restsLong is how long a transaction must have waited for its caller's next statement
// before it counts as resting: callers that work come back within some round trips.
const restsLong = 200 * time.Millisecond

// rests are the connections whose transactions wait for their callers, since when.
//
// Callers that begin a transaction and then rest hold connections, each for as long as a
// transaction may be idle, and enough of them would hold all. So resting ones don't count
// against the share: as many again may be open beside them. And once they are as many as
// the share, their workspaces begin no further transactions at this server.
type rests map[*Conn]time.Time

// long counts those that have rested for long, all and of one workspace.
func (r rests) long(w WorkspaceName) (all, own int) {
	for c, since := range r {
		if time.Since(since) < restsLong {
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
func (r rests) oldest() time.Duration {
	var longest time.Duration
	for _, since := range r {
		longest = max(longest, time.Since(since))
	}
	return longest
}

// begins tells whether the connection's workspace may begin a transaction. ErrBusy.
func (p *Pool) begins(c *Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, own := p.rests.long(c.Workspace)
	if own == 0 || all < p.Share().Open {
		return nil
	}
	wait := restsLong
	if p.TransactionIdle != nil {
		wait = max(wait, p.TransactionIdle()-p.rests.oldest())
	}
	return ErrBusy.New("%s server %s: %d transactions rest, %d of them of workspace %s", retryAfter(wait), p.Server.ID, all, own, c.Workspace)
}

// rest takes note that a connection's transaction waits for its caller, works that it
// doesn't any more.
func (p *Pool) rest(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rests == nil {
		p.rests = rests{}
	}
	p.rests[c] = time.Now()
}

func (p *Pool) works(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rests, c)
}

// spare is how many connections more than the share may be open; p.mu is held.
func (p *Pool) spare(share int) int {
	all, _ := p.rests.long("")
	return min(all, share)
}
