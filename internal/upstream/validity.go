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
	// validityFor is how long a reading of the record lets this VM acknowledge commits
	// of its term, in groups that are acknowledged term-leased.
	commitPermitDuration = 3 * time.Second
	// validityEvery is how often the record is read for that.
	commitPermitRefreshInterval = time.Second
	// validityWait is how long a promoter waits for all validities to end: the longest
	// one on the slowest clock, with a margin for drift.
	commitPermitExpiryWait = commitPermitDuration + commitPermitDuration/20
)

// validity is this VM's leave to acknowledge commits of a term. It is counted from
// before the record was read, so a promoter that has written a newer term and waited
// validityWait knows that nobody acknowledges the old one any more.
type commitPermit struct {
	mu        sync.Mutex
	term      position.Term
	expiresAt time.Time
}

// run reads the record until ctx ends.
func (v *commitPermit) run(ctx context.Context, r termRecord) {
	tick := time.NewTicker(commitPermitRefreshInterval)
	defer tick.Stop()
	for {
		asked := time.Now()
		if row, err := r.Read(ctx); err == nil && row.Record.State == term.Active {
			v.extend(row.Record.Term, asked.Add(commitPermitDuration))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (v *commitPermit) extend(t position.Term, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.term, v.expiresAt = t, until
}

// holds tells whether commits of a term may be acknowledged now.
func (v *commitPermit) isValidFor(t position.Term) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.term == t && time.Now().Before(v.expiresAt)
}

// leased tells whether the group's rule lets this VM send writes to term t's primary.
func (g *Group) canWriteInTerm(t position.Term) bool {
	return g.AcknowledgeRule() != platform.TermLeased || g.commitPermit.isValidFor(t)
}

// ConfirmTerm accepts the commit at p while this VM holds a validity of p's term.
// ErrUnconfirmed when it doesn't, or has seen a later term.
func (g *Group) ConfirmTerm(p position.Position) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.commitPermit.isValidFor(p.Term) || g.term > p.Term {
		return ErrUnconfirmed.New("commit at %s: no validity of its term is held", p)
	}
	return nil
}
