package budget

import "time"

// recheckInterval is how often a waiter looks for sessions that have stopped to make progress.
const recheckInterval = 50 * time.Millisecond

// Unlimited returns an account of a connection that this process opened. It is charged like others, and
// never closed for them; what it holds without room isn't counted as refused. It is
// nil for a nil Budget.
func (b *Budget) Unlimited() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, activity: Serving, shut: func() {}}
}

func (a *Account) isUnlimited() bool { return a.class == "" }

// charge adds to what the account holds. The budget's mu must be held.
func (a *Account) charge(n Bytes) {
	a.held += n
	a.budget.held += n
}

// Reserve charges an amount that the session is about to hold, and waits for room until a deadline. It
// returns false if there was none, or if the session was closed in favour of others.
func (a *Account) Reserve(n Bytes, deadline time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	if (len(b.waiters) == 0 || a.isUnlimited()) && b.fits(a, n) && !a.ended {
		a.charge(n)
		b.mu.Unlock()
		return true
	}
	if a.ended {
		b.mu.Unlock()
		return false
	}
	w := &waiter{account: a, needed: min(n, b.Limits.Total), granted: make(chan struct{})}
	b.enqueue(w)
	// A session that waits here isn't read from, so it can't make progress.
	before := a.activity
	a.activity = Serving
	b.closeForBytes()
	b.mu.Unlock()
	granted := w.await(deadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	a.move(before)
	if !granted && b.forget(w) {
		if !a.isUnlimited() {
			b.record(MemoryRefused, a.class, a.activity)
		}
		return false
	}
	return !a.ended
}

// await waits until the amount is charged, or until a deadline.
func (w *waiter) await(deadline time.Time) bool {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for time.Now().Before(deadline) {
		select {
		case <-w.granted:
			return true
		case <-tick.C:
			w.account.budget.mu.Lock()
			w.account.budget.closeForBytes()
			w.account.budget.mu.Unlock()
		}
	}
	return false
}

// Force charges an amount that the session holds already, whether or not there is room for it.
func (a *Account) Force(n Bytes) {
	if a == nil || n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.ended {
		a.charge(n)
	}
}

// GiveBack gives back a part of what the session holds beyond what it keeps.
func (a *Account) GiveBack(n Bytes) {
	if a == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held-a.kept)
	b.held -= n
	a.held -= n
	b.grant()
}

// Keep charges an amount that the session is about to keep between requests, negative for one that it
// drops. It returns false if the session or all sessions together keep too much.
func (a *Account) Keep(n Bytes) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || n > 0 && (a.kept+n > b.Limits.Session || b.kept+n > b.Limits.Total/2) {
		b.record(KeepRefused, a.class, a.activity)
		return false
	}
	a.kept += n
	b.kept += n
	a.charge(n)
	b.grant()
	return true
}

// ReleaseMessage gives back all that the session holds beyond what it keeps.
func (a *Account) ReleaseMessage() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.held == a.kept {
		return
	}
	b.held -= a.held - a.kept
	a.held = a.kept
	b.grant()
}

// Shrink lowers what the session holds for its current message to an amount.
func (a *Account) Shrink(n Bytes) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := a.held - a.kept - n; excess > 0 {
		b.held -= excess
		a.held -= excess
		b.grant()
	}
}

// Progress records what the session is doing, and that it has made progress.
func (a *Account) Progress(to Activity) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.move(to)
}

// move records what the session is doing, and that it has made progress. The budget's mu must be held.
func (a *Account) move(to Activity) {
	a.activity, a.progressAt, a.checksBefore = to, time.Now(), a.budget.checks
}

// Close ends the account and gives back all that it holds. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
}
