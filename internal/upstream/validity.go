package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

const (
	// commitPermitDuration is how long this VM may acknowledge commits of a term after
	// it read the record, in groups with the acknowledge rule term-leased.
	commitPermitDuration = 3 * time.Second
	// commitPermitRefreshInterval is how often the record is read to extend the permit.
	commitPermitRefreshInterval = time.Second
	// commitPermitExpiryWait is how long a promoter waits for the permits of all VMs to
	// expire: their duration plus a margin for clock drift.
	commitPermitExpiryWait = commitPermitDuration + commitPermitDuration/20
)

// commitPermit is this VM's right to acknowledge commits of a term. Its duration counts
// from before the record was read, so a promoter that has written a newer term and
// waited commitPermitExpiryWait knows that no VM acknowledges commits of the old term
// any more.
type commitPermit struct {
	mu        sync.Mutex
	term      position.Term
	expiresAt time.Time
}

// run reads the record periodically, and extends the permit if the record could be read
// and shows an active term, until ctx ends.
func (p *commitPermit) run(ctx context.Context, r termRecord) {
	ticker := time.NewTicker(commitPermitRefreshInterval)
	defer ticker.Stop()
	for {
		readStartedAt := time.Now()
		if row, err := r.Read(ctx); err == nil && row.Record.State == term.Active {
			p.extend(row.Record.Term, readStartedAt.Add(commitPermitDuration))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *commitPermit) extend(t position.Term, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term, p.expiresAt = t, until
}

// isValidFor reports whether commits of a term may be acknowledged now.
func (p *commitPermit) isValidFor(t position.Term) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == t && time.Now().Before(p.expiresAt)
}

// canWriteInTerm reports whether the group's acknowledge rule lets this VM send writes
// to the primary of term t.
func (g *Group) canWriteInTerm(t position.Term) bool {
	return g.AcknowledgeRule() != platform.TermLeased || g.commitPermit.isValidFor(t)
}

// ConfirmTerm accepts the commit at p while this VM has a valid permit for p's term. It
// returns ErrUnconfirmed if it has none, or has seen a later term.
func (g *Group) ConfirmTerm(p position.Position) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.commitPermit.isValidFor(p.Term) || g.term > p.Term {
		return ErrUnconfirmed.New("commit at %s: this VM has no valid permit for its term", p)
	}
	return nil
}
