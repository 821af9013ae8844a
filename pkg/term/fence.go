package term

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

type fenceResult struct {
	status Status
	err    error
}

// fence fences all servers at once and gives a majority or more.
func (p *Promoter) fenceAll(ctx context.Context, t position.Term) ([]Status, error) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	answers := make(chan fenceResult, len(p.Group))
	for _, s := range p.Group {
		go func() {
			status, err := p.Servers.Fence(ctx, s, t)
			answers <- fenceResult{status, err}
		}()
	}
	var fenced []Status
	var grace <-chan time.Time
	for range p.Group {
		select {
		case a := <-answers:
			if errorx.IsOfType(a.err, ErrStale) {
				return nil, a.err
			}
			if a.err == nil && a.status.hasBegun(t) {
				return nil, ErrStale.New("term %d has begun already, server %s tells", t, a.status.Server)
			}
			if a.err == nil && a.status.Term == t {
				fenced = append(fenced, a.status)
			}
		case <-grace:
			return p.sortByGroup(fenced), nil
		}
		if grace == nil && len(fenced) >= Majority(len(p.Group)) {
			grace = time.After(p.fenceGrace())
		}
	}
	if len(fenced) < Majority(len(p.Group)) {
		return nil, ErrNoMajority.New("term %d: %d of %d servers are fenced", t, len(fenced), len(p.Group))
	}
	return p.sortByGroup(fenced), nil
}

// begun tells whether t, or a later term, has had a primary. Before its promotion no
// log holds a term's start, so a record that gave the number away is wrong.
func (s Status) hasBegun(t position.Term) bool {
	if s.IsPrimary && s.Term >= t || s.Received.Term >= t {
		return true
	}
	return slices.ContainsFunc(s.Starts, func(start position.TermStart) bool { return start.Term >= t })
}

func (p *Promoter) sortByGroup(fenced []Status) []Status {
	slices.SortFunc(fenced, func(a, b Status) int {
		return slices.Index(p.Group, a.Server) - slices.Index(p.Group, b.Server)
	})
	return fenced
}

func (p *Promoter) promoteServer(ctx context.Context, s ServerName, t position.Term) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	return p.Servers.Promote(ctx, s, t)
}

// follow tells the other servers; one that doesn't hear is told by whoever watches it.
func (p *Promoter) redirectReplicas(ctx context.Context, r Record) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	var done sync.WaitGroup
	for _, s := range p.Group {
		if s != r.Primary {
			done.Go(func() { _ = p.Servers.Follow(ctx, s, r.Term, r.Primary) })
		}
	}
	done.Wait()
}

// caughtUp tells whether a replica has received all that the primary had just before.
func (p *Promoter) hasCaughtUpReplica(ctx context.Context, primary ServerName) bool {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	all, err := p.Servers.Status(ctx, primary)
	if err != nil {
		return false
	}
	for _, s := range p.Group {
		if s == primary {
			continue
		}
		if status, err := p.Servers.Status(ctx, s); err == nil && status.Received.Compare(all.Received) >= 0 {
			return true
		}
	}
	return false
}
