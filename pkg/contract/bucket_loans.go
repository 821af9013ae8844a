package contract

import (
	"math"
	"time"
)

// lend debits at most n tokens and gives them a place in the cap until the loan is
// done or lapsed. The validity ends before this VM's own.
func (b *Bucket) lend(n Tokens, id LoanID, valid time.Duration) BorrowAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.advance(now)
	b.fade(now)
	valid = min(valid, b.valid.Sub(now))
	a := BorrowAnswer{Cap: b.share.Cap}
	if valid > 0 {
		free := b.spareTokens()
		a.Tokens = min(n, free)
		a.Left = free - a.Tokens
		a.Refill = max(0, b.share.Refill-Refill(b.steady*token))
	}
	if a.Tokens <= 0 {
		a.Tokens = 0
		return a
	}
	b.tokens -= Micro(a.Tokens) * token
	b.loans.out[id] = place{tokens: a.Tokens, until: now.Add(placeFor(valid))}
	a.Loan = id
	a.Valid = usableFor(valid)
	return a
}

// spareTokens is all but what the bucket needs itself very soon.
func (b *Bucket) spareTokens() Tokens {
	own := Micro(len(b.queue))*token + Micro(b.demand*b.lookahead()*token)
	return Tokens(max(0, b.tokens-own) / token)
}

// repaid frees the places of loans that are done.
func (b *Bucket) repaid(ids []LoanID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	b.loans.free(ids)
}

// receive adds a loan.
func (b *Bucket) receive(l loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans.held = append(b.loans.held, l)
	b.settle()
}

func (b *Bucket) spendLoan() bool {
	for i := range b.loans.held {
		if b.loans.held[i].tokens > 0 {
			b.loans.held[i].tokens--
			if b.loans.held[i].tokens == 0 && b.short != nil {
				b.short()
			}
			return true
		}
	}
	return false
}

// lookahead is in seconds.
func (b *Bucket) lookahead() float64 {
	if b.ahead == nil {
		return 0
	}
	return b.ahead().Seconds()
}

// owed finds a lender whose loan is used up, so that its place can be freed.
func (b *Bucket) owed() (Holder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.loans.held {
		if l.tokens == 0 {
			return l.lender, true
		}
	}
	return Holder{}, false
}

// done takes out the used loans of a lender.
func (b *Bucket) done(lender Holder) []LoanID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []LoanID
	kept := b.loans.held[:0]
	for _, l := range b.loans.held {
		if l.lender == lender && l.tokens == 0 {
			ids = append(ids, l.id)
			continue
		}
		kept = append(kept, l)
	}
	b.loans.held = kept
	return ids
}

// want is how many tokens to borrow now: for those who wait and for the demand
// until an answer can be there.
func (b *Bucket) want(now time.Time) Tokens {
	b.fade(now)
	ahead := b.demand * b.lookahead()
	own := float64(b.tokens) / token
	if now.Before(b.valid) {
		own += float64(b.share.Refill) / token * b.lookahead()
	}
	lack := float64(len(b.queue)) + ahead - own - float64(b.loans.heldTokens())
	return max(0, Tokens(math.Ceil(lack)))
}

func (b *Bucket) settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	return b.loans.lent() <= b.share.Cap
}

func (b *Bucket) need() Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.advance(now)
	return b.want(now)
}

// Tokens lent of a rate are spent soon, so their loans aren't extended.
func (b *Bucket) keep([]LoanID, time.Duration) ([]LoanID, time.Duration) { return nil, 0 }
func (b *Bucket) kept(Holder) []LoanID                                   { return nil }
func (b *Bucket) prolong(Holder, []LoanID, time.Time)                    {}
