package upstream

import "math"

// Limit bounds the connections to one server that this VM has in use at once: Fixed or
// Adaptive. Neither lets through more than the VM's share of the server's contract.
type ConcurrencyLimit interface{ limit() }

type (
	// Fixed is the VM's share itself.
	FixedLimit struct{}
	// Adaptive is an adaptive concurrency limit: less than the share while the
	// server's response time is above its usual low, never less than one.
	AdaptiveLimit struct{}
)

func (FixedLimit) limit()    {}
func (AdaptiveLimit) limit() {}

// unlimited is a limit that leaves the share alone in force.
const unlimited = math.MaxInt32

// room is how many connections may be in use at once; p.mu is held.
func (p *Pool) maxInUse() int { return min(p.maxConnections(), p.currentLimit()+p.idleTransactions) }

// places is this VM's share of the server's connections; p.mu is held.
func (p *Pool) maxConnections() int {
	switch {
	case p.Allowance != nil:
		return p.units
	case p.Share != nil:
		return p.Share()
	}
	return 1
}

// bound is what the Limit allows, whatever the share; p.mu is held.
func (p *Pool) currentLimit() int {
	switch p.ConcurrencyLimit.(type) {
	case AdaptiveLimit:
		return p.aimd.currentLimit()
	default:
		return unlimited
	}
}

// begin counts one more connection in use; p.mu is held.
func (p *Pool) markInUse() {
	p.inUse++
	p.aimd.peak = max(p.aimd.peak, p.inUse-p.idleTransactions)
}

// responded takes note of a response and lets those go ahead who may now.
func (p *Pool) recordResponse(r responseTime) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.currentLimit()
	p.aimd.observe(r, p.inUse-p.idleTransactions)
	if p.currentLimit() > before {
		p.admitMore()
	}
}

// goOn lets those go ahead who may now that the Limit leaves more room; p.mu is held.
func (p *Pool) admitMore() {
	p.admitWaiters()
	if p.queue.size > 0 {
		p.requestUnits()
	}
}
