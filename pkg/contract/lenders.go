package contract

import (
	"context"
	"sync"
	"time"
)

const (
	// borrowTimeout bounds one call for tokens; its loan is lost with its answer.
	borrowTimeout = 250 * time.Millisecond
	// shyAfterFailure is how long a holder whose call failed isn't asked; twice as long
	// with each further failure, up to eight times.
	shyAfterFailure = 500 * time.Millisecond
	// askAgain is how soon a holder that had nothing is asked again at the earliest.
	askAgain = 2 * time.Millisecond
	// probeEvery is how soon a holder is asked that should have nothing.
	probeEvery = 100 * time.Millisecond
	// tripsAhead, leastAhead and mostAhead bound for how long demand is covered.
	tripsAhead = 4
	leastAhead = 5 * time.Millisecond
	mostAhead  = 60 * time.Millisecond
)

// lenders is what a VM knows of those that may lend it tokens of one contract.
type lenders struct {
	now  func() time.Time
	kick chan struct{}

	mu    sync.Mutex
	hints map[Holder]hint
	// trip is the usual time of a call.
	trip time.Duration
}

// hint is a holder's word on its spare tokens.
type hint struct {
	left   Tokens
	refill Refill
	cap    Tokens
	at     time.Time
	// shy is until when not to ask; failures counts the calls since an answer.
	shy      time.Time
	failures int
}

// estimate gives the tokens that a holder can spare at a time.
func (h hint) estimate(at time.Time) Micro {
	more, _ := h.refill.arrives(max(0, at.Sub(h.at)), 0)
	return min(Micro(h.left)*token+more, Micro(h.cap)*token)
}

// expect takes the holders of a new row, each with its whole share unless known.
func (l *lenders) expect(r Row, self Holder, name Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[Holder]hint{}
	for _, g := range r.Holders {
		share := g.Shares[name]
		if g.Holder == self || share.Cap == 0 {
			continue
		}
		h, known := l.hints[g.Holder]
		if !known {
			h = hint{left: share.Cap, refill: share.Refill, at: l.now()}
		}
		h.cap = share.Cap
		next[g.Holder] = h
	}
	l.hints = next
}

// supply is what all holders may lend within d.
func (l *lenders) supply(d time.Duration) Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var sum Micro
	for _, h := range l.hints {
		if h.failures > 0 {
			continue
		}
		more, _ := h.refill.arrives(d, 0)
		sum += h.estimate(now) + more
	}
	return Tokens(sum / token)
}

func (l *lenders) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// best picks the holder with the most to spare, or else the one heard of longest ago;
// if that isn't long enough, it gives the time until one may have a token.
func (l *lenders) best() (Holder, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var best Holder
	var most Micro
	var stale Holder
	soonest, age := probeEvery, probeEvery
	for holder, h := range l.hints {
		if a := now.Sub(h.at); a >= age && !now.Before(h.shy) {
			stale, age = holder, a
		}
		e := h.estimate(now)
		if now.Before(h.shy) {
			e = 0
		}
		if e > most || e == most && e > 0 && holder.VM < best.VM {
			best, most = holder, e
		}
		wait := max(h.shy.Sub(now), h.refill.takes(token-e))
		soonest = min(soonest, wait)
	}
	if most < token {
		best = stale
	}
	return best, max(soonest, askAgain), best != Holder{}
}

// ahead is how long demand should be covered in advance: some calls' time, and no
// more, since tokens that lie with a borrower keep their lender from refilling.
func (l *lenders) ahead() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(tripsAhead*l.trip, leastAhead), mostAhead)
}

func (l *lenders) answered(from Holder, a BorrowAnswer, trip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trip += (trip - l.trip) / 8
	if _, found := l.hints[from]; found {
		now := l.now()
		h := hint{left: a.Left, refill: a.Refill, cap: a.Cap, at: now}
		if a.Left == 0 {
			h.shy = now.Add(askAgain)
		}
		l.hints[from] = h
	}
}

func (l *lenders) failed(from Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, found := l.hints[from]
	if found {
		h.failures++
		h.at = l.now()
		h.shy = h.at.Add(shyAfterFailure << min(h.failures-1, 3))
		l.hints[from] = h
	}
}

// borrow gets tokens of one contract whenever they run low, until ctx ends.
func (s *Shares) borrow(ctx context.Context, name Name, p pot, from *lenders) {
	keep := time.NewTicker(s.LoanValidity / 4)
	defer keep.Stop()
	for ctx.Err() == nil {
		pause := s.borrowOnce(ctx, name, p, from)
		wait := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-from.kick:
			if pause < time.Hour {
				select {
				case <-wait.C:
				case <-ctx.Done():
				}
			}
		case <-wait.C:
		case <-keep.C:
			s.keepLoans(ctx, name, p, from)
		}
		wait.Stop()
	}
}

// borrowOnce asks the holder whose loan is used up, or the best if more is needed. It
// gives the time until the next may be asked.
func (s *Shares) borrowOnce(ctx context.Context, name Name, p pot, from *lenders) time.Duration {
	n := p.need()
	lender, found := p.owed()
	if !found && n == 0 {
		return time.Hour
	}
	if !found {
		var wait time.Duration
		if lender, wait, found = from.best(); !found {
			return wait
		}
	}
	s.borrowFrom(ctx, lender, p, from, BorrowRequest{Contract: name, Tokens: n, Done: p.done(lender)})
	return 0
}

// borrowFrom asks one holder. The loan's validity counts from before the question.
func (s *Shares) borrowFrom(ctx context.Context, lender Holder, p pot, from *lenders, r BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	asked := s.Now()
	a, err := s.Peers.Borrow(ctx, lender.VM, r)
	if err != nil {
		from.failed(lender)
		return
	}
	from.answered(lender, a, s.Now().Sub(asked))
	until := asked.Add(min(a.Valid, s.LoanValidity))
	p.prolong(lender, a.Kept, until)
	if a.Tokens > 0 {
		p.receive(loan{lender: lender, id: a.Loan, tokens: a.Tokens, until: until})
	}
}

// keepLoans extends loans of units, gives others back, and tells which are used up.
func (s *Shares) keepLoans(ctx context.Context, name Name, p pot, from *lenders) {
	var calls sync.WaitGroup
	for _, lender := range from.all() {
		r := BorrowRequest{Contract: name, Done: p.done(lender), Keep: p.kept(lender)}
		if len(r.Done)+len(r.Keep) > 0 {
			calls.Go(func() { s.borrowFrom(ctx, lender, p, from, r) })
		}
	}
	calls.Wait()
}

func (l *lenders) all() []Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Holder
	for h := range l.hints {
		list = append(list, h)
	}
	return list
}
