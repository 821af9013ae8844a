package upstream

import "math"

// Limit bounds the connections to one server that this VM has in use at once: Fixed or
// Adaptive. Neither lets through more than the VM's share of the server's contract.
type Limit interface{ limit() }

type (
	// Fixed is the VM's share itself.
	Fixed struct{}
	// Adaptive is an adaptive concurrency limit: less than the share while the
	// server's response time is above its usual low, never less than one.
	Adaptive struct{}
)

func (Fixed) limit()    {}
func (Adaptive) limit() {}

// unlimited is a limit that leaves the share alone in force.
const unlimited = math.MaxInt32

// room is how many connections may be in use at once; p.mu is held.
func (p *Pool) room() int { return min(p.places(), p.bound()+p.resting) }

// places is this VM's share of the server's connections; p.mu is held.
func (p *Pool) places() int {
	switch {
	case p.Allowance != nil:
		return p.held
	case p.Share != nil:
		return p.Share()
	}
	return 1
}

// bound is what the Limit allows, whatever the share; p.mu is held.
func (p *Pool) bound() int {
	switch p.Limit.(type) {
	case Adaptive:
		return p.aimd.bound()
	default:
		return unlimited
	}
}

// begin counts one more connection in use; p.mu is held.
func (p *Pool) begin() {
	p.inUse++
	p.aimd.peak = max(p.aimd.peak, p.inUse-p.resting)
}

// responded takes note of a response and lets those go ahead who may now.
func (p *Pool) responded(r responseTime) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.bound()
	p.aimd.observe(r, p.inUse-p.resting)
	if p.bound() > before {
		p.goOn()
	}
}

// goOn lets those go ahead who may now that the Limit leaves more room; p.mu is held.
func (p *Pool) goOn() {
	p.grant()
	if p.queue.size > 0 {
		p.grow()
	}
}
