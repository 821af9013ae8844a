package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

const (
	// unitRequestTimeout bounds one request for the right to one more connection.
	unitRequestTimeout = time.Second
	// trimInterval is how often a pool looks for connections that it can close.
	trimInterval = 5 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed and the
	// right to it becomes available to other VMs.
	idleTimeout = 30 * time.Second
)

// Allowance grants this VM its part of a server's connections in units of one
// connection, such as contract.Units.
type Allowance interface {
	// Acquire waits for the right to one more connection.
	Acquire(ctx context.Context) error
	// Release returns the right to one connection.
	Release()
	// Excess returns how many units must be returned now.
	Excess() contract.Tokens
	// ExcessNotify returns a channel that receives a value when Excess may have risen
	// above 0.
	ExcessNotify() <-chan struct{}
}

// run closes idle connections that were idle for too long or exceed the allowance,
// until ctx ends.
func (p *Pool) run(ctx context.Context) {
	if p.Allowance == nil {
		return
	}
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Allowance.ExcessNotify():
		case <-ticker.C:
		}
		p.trim()
	}
}

// trim closes the connections that were idle for longer than idleTimeout, and further
// idle ones while the allowance is exceeded. It returns their units and, while there is
// still an excess, units that no connection uses.
func (p *Pool) trim() {
	excess := int(p.Allowance.Excess())
	p.mu.Lock()
	var surplus []*Conn
	for len(p.idle) > 0 && (excess > len(surplus) || time.Since(p.idle[0].idleSince) > idleTimeout) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
	}
	spare := p.units - p.inUse - len(p.idle) - len(surplus)
	returned := len(surplus) + max(0, min(spare, excess-len(surplus)))
	p.units -= returned
	p.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
	for range returned {
		p.Allowance.Release()
	}
}

// requestUnits starts a goroutine that acquires units while requests wait and the
// concurrency limit would admit more of them; p.mu is held.
func (p *Pool) requestUnits() {
	if p.Allowance == nil || p.requestingUnits || p.closed || p.units >= p.currentLimit()+p.idleTransactions {
		return
	}
	p.requestingUnits = true
	p.tasks.Go(p.requestUnitsWhileWaiting)
}

func (p *Pool) requestUnitsWhileWaiting() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), unitRequestTimeout)
		err := p.Allowance.Acquire(ctx)
		cancel()
		p.mu.Lock()
		if err == nil {
			p.units++
		}
		p.admitWaiters()
		if p.queue.size == 0 || p.closed || p.units >= p.currentLimit()+p.idleTransactions {
			p.requestingUnits = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// returnUnits returns all unused units of a closed pool.
func (p *Pool) returnUnits() {
	if p.Allowance == nil {
		return
	}
	p.tasks.Wait()
	p.mu.Lock()
	returned := p.units - p.inUse
	p.units = p.inUse
	p.mu.Unlock()
	for range returned {
		p.Allowance.Release()
	}
}
