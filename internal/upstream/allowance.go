package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

const (
	// growWithin bounds one attempt to be allowed one more connection.
	unitRequestTimeout = time.Second
	// shedEvery is how often a pool looks for connections that it can do without.
	trimInterval = 5 * time.Second
	// idleFor is how long a connection may idle before its place goes to other VMs.
	idleTimeout = 30 * time.Second
)

// Allowance is this VM's part of a server's connections, such as contract.Units.
type Allowance interface {
	// Acquire waits for the right to one more connection.
	Acquire(ctx context.Context) error
	// Release gives one back.
	Release()
	// Excess is how many must be given back now.
	Excess() contract.Tokens
	// Shrunk gets a value when there may be an Excess.
	Shrunk() <-chan struct{}
}

// run gives places back that are idle or no longer this VM's, until ctx ends.
func (p *Pool) run(ctx context.Context) {
	if p.Allowance == nil {
		return
	}
	tick := time.NewTicker(trimInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Allowance.Shrunk():
		case <-tick.C:
		}
		p.trim()
	}
}

// shed closes idle connections and gives their places back.
func (p *Pool) trim() {
	excess := int(p.Allowance.Excess())
	p.mu.Lock()
	var surplus []*Conn
	for len(p.idle) > 0 && (excess > len(surplus) || time.Since(p.idle[0].idleSince) > idleTimeout) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
	}
	spare := p.units - p.inUse - len(p.idle) - len(surplus)
	given := len(surplus) + max(0, min(spare, excess-len(surplus)))
	p.units -= given
	p.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
	for range given {
		p.Allowance.Release()
	}
}

// grow asks for places while requests wait that the Limit lets go; p.mu is held.
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

// giveUp returns all places of a closed pool.
func (p *Pool) returnUnits() {
	if p.Allowance == nil {
		return
	}
	p.tasks.Wait()
	p.mu.Lock()
	given := p.units - p.inUse
	p.units = p.inUse
	p.mu.Unlock()
	for range given {
		p.Allowance.Release()
	}
}
