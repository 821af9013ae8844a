package upstream

import "math"

// ConcurrencyLimit bounds the connections to one server that this VM has in use at
// once: FixedLimit or AdaptiveLimit. Neither admits more than the VM's share of the
// server's connections.
type ConcurrencyLimit interface{ limit() }

type (
	// FixedLimit admits as many connections as the VM's share.
	FixedLimit struct{}
	// AdaptiveLimit is an adaptive concurrency limit of at least one: it falls while
	// the server's response time is more than slownessTolerance times its baseline, and
	// rises again afterwards. It doesn't count idle transactions.
	AdaptiveLimit struct{}
)

func (FixedLimit) limit()    {}
func (AdaptiveLimit) limit() {}

// unlimited stands for a limit that never applies before the share does.
const unlimited = math.MaxInt32

// maxInUse returns how many connections may be in use at once; p.mu is held.
func (p *Pool) maxInUse() int { return min(p.maxConnections(), p.currentLimit()+p.idleTransactions) }

// maxConnections returns this VM's share of the server's connections; p.mu is held.
func (p *Pool) maxConnections() int {
	switch {
	case p.Allowance != nil:
		return p.units
	case p.Share != nil:
		return p.Share()
	}
	return 1
}

// currentLimit returns the bound of the ConcurrencyLimit, regardless of the share; p.mu
// is held.
func (p *Pool) currentLimit() int {
	switch p.ConcurrencyLimit.(type) {
	case AdaptiveLimit:
		return p.aimd.currentLimit()
	default:
		return unlimited
	}
}

// markInUse counts one more connection in use; p.mu is held.
func (p *Pool) markInUse() {
	p.inUse++
	p.aimd.peak = max(p.aimd.peak, p.inUse-p.idleTransactions)
}

// recordResponse updates the adaptive limit and admits waiters if it rose.
func (p *Pool) recordResponse(r responseTime) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.currentLimit()
	p.aimd.observe(r, p.inUse-p.idleTransactions)
	if p.currentLimit() > before {
		p.admitMore()
	}
}

// admitMore admits waiters after the number of connections that may be in use has
// risen, and requests units for those that still wait; p.mu is held.
func (p *Pool) admitMore() {
	p.admitWaiters()
	if p.queue.size > 0 {
		p.requestUnits()
	}
}
