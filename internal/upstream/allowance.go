package upstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

const (
	// growWithin bounds one attempt to be allowed one more connection.
	growWithin = time.Second
	// shedEvery is how often a pool looks for connections that it can do without.
	shedEvery = 5 * time.Second
	// idleFor is how long a connection may idle before its place goes to other VMs.
	idleFor = 30 * time.Second
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
	tick := time.NewTicker(shedEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Allowance.Shrunk():
		case <-tick.C:
		}
		p.shed()
	}
}

// shed closes idle connections and gives their places back.
func (p *Pool) shed() {
	excess := int(p.Allowance.Excess())
	p.mu.Lock()
	var doomed []*Conn
	for len(p.idle) > 0 && (excess > len(doomed) || time.Since(p.idle[0].idleSince) > idleFor) {
		doomed = append(doomed, p.idle[0])
		p.idle = p.idle[1:]
	}
	spare := p.held - p.inUse - len(p.idle) - len(doomed)
	given := len(doomed) + max(0, min(spare, excess-len(doomed)))
	p.held -= given
	p.mu.Unlock()
	for _, c := range doomed {
		c.close()
	}
	for range given {
		p.Allowance.Release()
	}
}

// grow asks for places while requests wait that the Limit lets go; p.mu is held.
func (p *Pool) grow() {
	if p.Allowance == nil || p.growing || p.closed || p.held >= p.bound()+p.resting {
		return
	}
	p.growing = true
	p.tasks.Go(p.growWhileWaiting)
}

func (p *Pool) growWhileWaiting() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), growWithin)
		err := p.Allowance.Acquire(ctx)
		cancel()
		p.mu.Lock()
		if err == nil {
			p.held++
		}
		p.grant()
		if p.queue.size == 0 || p.closed || p.held >= p.bound()+p.resting {
			p.growing = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// giveUp returns all places of a closed pool.
func (p *Pool) giveUp() {
	if p.Allowance == nil {
		return
	}
	p.tasks.Wait()
	p.mu.Lock()
	given := p.held - p.inUse
	p.held = p.inUse
	p.mu.Unlock()
	for range given {
		p.Allowance.Release()
	}
}
