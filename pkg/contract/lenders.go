package contract

import (
	"context"
	"sync"
	"time"
)

const (
	// borrowTimeout is the timeout of one borrow request. A loan whose response arrives
	// later is lost.
	borrowTimeout = 250 * time.Millisecond
	// failureBackoff is how long no request is sent to a holder after a failed call. It
	// doubles with each further failure, up to eight times the value.
	failureBackoff = 500 * time.Millisecond
	// emptyBackoff is the shortest time between two requests to a holder that had no
	// tokens to lend.
	emptyBackoff = 2 * time.Millisecond
	// probeInterval is the time after which a holder is queried although it is estimated
	// to have nothing to lend.
	probeInterval = 100 * time.Millisecond
	// The borrow horizon is horizonRoundTrips average round trips, but at least
	// minHorizon and at most maxHorizon.
	horizonRoundTrips = 4
	minHorizon        = 5 * time.Millisecond
	maxHorizon        = 60 * time.Millisecond
)

// lenders tracks the VMs that may lend tokens of one contract to this VM.
type lenders struct {
	now    func() time.Time
	notify chan struct{}

	mu     sync.Mutex
	states map[Holder]lenderState
	// roundTrip is the moving average of the duration of a borrow request.
	roundTrip time.Duration
}

// lenderState is what a holder last reported about its spare tokens, and when to query it
// again.
type lenderState struct {
	spare     Tokens
	refill    Refill
	cap       Tokens
	updatedAt time.Time
	// backoffUntil is when the holder may be queried again. failures counts the failed
	// calls since its last response.
	backoffUntil time.Time
	failures     int
}

// spareAt estimates how many tokens the holder can lend at the given time.
func (s lenderState) spareAt(at time.Time) MicroTokens {
	accrued, _ := s.refill.accrued(max(0, at.Sub(s.updatedAt)), 0)
	return min(MicroTokens(s.spare)*microPerToken+accrued, MicroTokens(s.cap)*microPerToken)
}

// setRow replaces the lenders by the holders of a new row. A holder that is new is
// assumed to be able to lend its whole share.
func (l *lenders) setRow(r Row, self Holder, name Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := map[Holder]lenderState{}
	for _, g := range r.Grants {
		share := g.Shares[name]
		if g.Holder == self || share.Cap == 0 {
			continue
		}
		state, known := l.states[g.Holder]
		if !known {
			state = lenderState{spare: share.Cap, refill: share.Refill, updatedAt: l.now()}
		}
		state.cap = share.Cap
		states[g.Holder] = state
	}
	l.states = states
}

// availableWithin estimates how many tokens all holders together can lend within d.
func (l *lenders) availableWithin(d time.Duration) Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var sum MicroTokens
	for _, state := range l.states {
		if state.failures > 0 {
			continue
		}
		accrued, _ := state.refill.accrued(d, 0)
		sum += state.spareAt(now) + accrued
	}
	return Tokens(sum / microPerToken)
}

// requestLoan notifies the borrowing loop that tokens should be borrowed.
func (l *lenders) requestLoan() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// pickLender returns the holder with the most spare tokens. If none has a whole token, it
// returns the one whose state is oldest, provided that it is at least probeInterval old.
// Otherwise it returns how long to wait until a holder may have a token.
func (l *lenders) pickLender() (Holder, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var best Holder
	var bestTokens MicroTokens
	var oldest Holder
	minWait, oldestAge := probeInterval, probeInterval
	for holder, state := range l.states {
		if stateAge := now.Sub(state.updatedAt); stateAge >= oldestAge && !now.Before(state.backoffUntil) {
			oldest, oldestAge = holder, stateAge
		}
		spare := state.spareAt(now)
		if now.Before(state.backoffUntil) {
			spare = 0
		}
		if spare > bestTokens || spare == bestTokens && spare > 0 && holder.VM < best.VM {
			best, bestTokens = holder, spare
		}
		wait := max(state.backoffUntil.Sub(now), state.refill.timeFor(microPerToken-spare))
		minWait = min(minWait, wait)
	}
	if bestTokens < microPerToken {
		best = oldest
	}
	return best, max(minWait, emptyBackoff), best != Holder{}
}

// horizon returns for how long demand should be covered by borrowing in advance. It is a
// few round trips and no more, since unused tokens at a borrower stay reserved in the
// lender's cap and prevent it from refilling.
func (l *lenders) horizon() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(horizonRoundTrips*l.roundTrip, minHorizon), maxHorizon)
}

// recordAnswer updates the state of a lender from its response.
func (l *lenders) recordAnswer(lender Holder, a BorrowAnswer, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roundTrip += (duration - l.roundTrip) / 8
	if _, found := l.states[lender]; found {
		now := l.now()
		state := lenderState{spare: a.SpareTokens, refill: a.SpareRefill, cap: a.Cap, updatedAt: now}
		if a.SpareTokens == 0 {
			state.backoffUntil = now.Add(emptyBackoff)
		}
		l.states[lender] = state
	}
}

// recordFailure starts or extends the backoff of a lender whose call failed.
func (l *lenders) recordFailure(lender Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, found := l.states[lender]
	if found {
		state.failures++
		state.updatedAt = l.now()
		state.backoffUntil = state.updatedAt.Add(failureBackoff << min(state.failures-1, 3))
		l.states[lender] = state
	}
}

// runBorrowing borrows tokens of one contract whenever too few are left, until ctx ends.
func (s *Shares) runBorrowing(ctx context.Context, name Name, bal balance, lenderStates *lenders) {
	extendTicker := time.NewTicker(s.LoanValidity / 4)
	defer extendTicker.Stop()
	for ctx.Err() == nil {
		pause := s.borrowOnce(ctx, name, bal, lenderStates)
		wait := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-lenderStates.notify:
			if pause < time.Hour {
				select {
				case <-wait.C:
				case <-ctx.Done():
				}
			}
		case <-wait.C:
		case <-extendTicker.C:
			s.extendLoans(ctx, name, bal, lenderStates)
		}
		wait.Stop()
	}
}

// borrowOnce sends one borrow request, if needed: to a holder whose loan is used up, or
// else to the best lender. It returns how long to wait before the next request.
func (s *Shares) borrowOnce(ctx context.Context, name Name, bal balance, lenderStates *lenders) time.Duration {
	needed := bal.tokensToBorrow()
	lender, found := bal.lenderWithUsedUpLoan()
	if !found && needed == 0 {
		return time.Hour
	}
	if !found {
		var wait time.Duration
		if lender, wait, found = lenderStates.pickLender(); !found {
			return wait
		}
	}
	s.borrowFrom(ctx, lender, bal, lenderStates, BorrowRequest{Contract: name, Tokens: needed, ClosedLoans: bal.closeLoans(lender)})
	return 0
}

// borrowFrom sends a borrow request to one holder. The loan's validity counts from before
// the request was sent.
func (s *Shares) borrowFrom(ctx context.Context, lender Holder, bal balance, lenderStates *lenders, r BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	sentAt := s.Now()
	answer, err := s.Peers.Borrow(ctx, lender.VM, r)
	if err != nil {
		lenderStates.recordFailure(lender)
		return
	}
	lenderStates.recordAnswer(lender, answer, s.Now().Sub(sentAt))
	until := sentAt.Add(min(answer.ValidFor, s.LoanValidity))
	bal.extendBorrowed(lender, answer.ExtendedLoans, until)
	if answer.Tokens > 0 {
		bal.addLoan(loan{lender: lender, id: answer.Loan, tokens: answer.Tokens, validUntil: until})
	}
}

// extendLoans asks lenders to extend the loans of units in use, and closes the loans that
// are unused or used up.
func (s *Shares) extendLoans(ctx context.Context, name Name, bal balance, lenderStates *lenders) {
	var calls sync.WaitGroup
	for _, lender := range lenderStates.holders() {
		r := BorrowRequest{Contract: name, ClosedLoans: bal.closeLoans(lender), ExtendLoans: bal.loansToExtend(lender)}
		if len(r.ClosedLoans)+len(r.ExtendLoans) > 0 {
			calls.Go(func() { s.borrowFrom(ctx, lender, bal, lenderStates, r) })
		}
	}
	calls.Wait()
}

func (l *lenders) holders() []Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Holder
	for h := range l.states {
		list = append(list, h)
	}
	return list
}
