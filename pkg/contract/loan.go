package contract

import (
	"math"
	"time"
)

// LoanID names a loan among those of its lender.
type LoanID int64

// BorrowRequest asks a holder for tokens.
type BorrowRequest struct {
	Contract Name   `json:"contract"`
	Tokens   Tokens `json:"tokens"`
	// Done are earlier loans of this lender whose tokens are all used or gone.
	Done []LoanID `json:"done,omitempty"`
	// Keep are earlier loans of units of a Count to be valid for longer.
	Keep []LoanID `json:"keep,omitempty"`
}

// BorrowAnswer hands over tokens, which the lender has debited before.
type BorrowAnswer struct {
	Loan   LoanID `json:"loan,omitempty"`
	Tokens Tokens `json:"tokens,omitempty"`
	// Valid is counted by the borrower from before it asked.
	Valid time.Duration `json:"valid,omitempty"`
	// Kept are the loans of Keep that were extended by Valid.
	Kept []LoanID `json:"kept,omitempty"`
	// Left is what the lender has for others, Refill what it gets beside its own
	// demand, and Cap the most it ever has.
	Left   Tokens `json:"left"`
	Refill Refill `json:"refill"`
	Cap    Tokens `json:"cap"`
}

// loan is held by its borrower.
type loan struct {
	lender Holder
	id     LoanID
	tokens Tokens
	until  time.Time
}

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
		free := b.free()
		a.Tokens = min(n, free)
		a.Left = free - a.Tokens
		a.Refill = max(0, b.share.Refill-Refill(b.demand*token))
	}
	if a.Tokens <= 0 {
		a.Tokens = 0
		return a
	}
	b.tokens -= Micro(a.Tokens) * token
	b.out[id] = place{tokens: a.Tokens, until: now.Add(valid + valid/drift)}
	a.Loan = id
	a.Valid = valid - valid/drift
	return a
}

// free is what the bucket can spare: all but what it needs itself very soon.
func (b *Bucket) free() Tokens {
	own := Micro(len(b.queue))*token + Micro(b.demand*b.lookahead()*token)
	return Tokens(max(0, b.tokens-own) / token)
}

// repaid frees the places of loans that are done.
func (b *Bucket) repaid(ids []LoanID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	for _, id := range ids {
		delete(b.out, id)
	}
}

// receive adds a loan.
func (b *Bucket) receive(l loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = append(b.held, l)
	b.settle()
}

func (b *Bucket) spendLoan() bool {
	for i := range b.held {
		if b.held[i].tokens > 0 {
			b.held[i].tokens--
			if b.held[i].tokens == 0 && b.short != nil {
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
	for _, l := range b.held {
		if l.tokens == 0 {
			return l.lender, true
		}
	}
	return Holder{}, false
}

func (b *Bucket) heldTokens() Tokens {
	var sum Tokens
	for _, l := range b.held {
		sum += l.tokens
	}
	return sum
}

// expire drops lapsed loans, and places of loans that have lapsed for sure.
func (b *Bucket) expire(now time.Time) {
	for id, p := range b.out {
		if !now.Before(p.until) {
			delete(b.out, id)
		}
	}
	kept := b.held[:0]
	for _, l := range b.held {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	b.held = kept
}

// done takes out the used loans of a lender.
func (b *Bucket) done(lender Holder) []LoanID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []LoanID
	kept := b.held[:0]
	for _, l := range b.held {
		if l.lender == lender && l.tokens == 0 {
			ids = append(ids, l.id)
			continue
		}
		kept = append(kept, l)
	}
	b.held = kept
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
	lack := float64(len(b.queue)) + ahead - own - float64(b.heldTokens())
	if lack <= 0 {
		return 0
	}
	return Tokens(math.Ceil(lack))
}

func (b *Bucket) settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	return b.lent() <= b.share.Cap
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
