package term

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// fenceResult is the outcome of fencing one server.
type fenceResult struct {
	status Status
	err    error
}

// fenceAll fences all servers with term t concurrently and returns the statuses of those
// that were fenced, at least a majority. After a majority it waits for the others for
// FenceGrace only.
func (p *Promoter) fenceAll(ctx context.Context, t position.Term) ([]Status, error) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	results := make(chan fenceResult, len(p.Group))
	for _, s := range p.Group {
		go func() {
			status, err := p.Servers.Fence(ctx, s, t)
			results <- fenceResult{status, err}
		}()
	}
	var fenced []Status
	var grace <-chan time.Time
	for range p.Group {
		select {
		case result := <-results:
			if errorx.IsOfType(result.err, ErrStale) {
				return nil, result.err
			}
			if result.err == nil && result.status.hasBegun(t) {
				return nil, ErrStale.New("term %d has already begun, as server %s reports", t, result.status.Server)
			}
			if result.err == nil && result.status.Term == t {
				fenced = append(fenced, result.status)
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

// hasBegun reports whether s shows that term t or a later one has had a primary. No log
// contains the start of a term before a primary was promoted in it, so a record that
// assigns a term which has begun is outdated.
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

// redirectReplicas makes the other servers replicate from the new primary. A server that
// can't be reached now is redirected later by the VM that monitors the group.
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

// hasCaughtUpReplica reports whether a replica has received everything that the primary
// had when its status was read just before.
func (p *Promoter) hasCaughtUpReplica(ctx context.Context, primary ServerName) bool {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	primaryStatus, err := p.Servers.Status(ctx, primary)
	if err != nil {
		return false
	}
	for _, s := range p.Group {
		if s == primary {
			continue
		}
		if status, err := p.Servers.Status(ctx, s); err == nil && status.Received.Compare(primaryStatus.Received) >= 0 {
			return true
		}
	}
	return false
}
