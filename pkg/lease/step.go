package lease

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// step does what is due for this member's part in the row.
func (l *Lease) step(ctx context.Context) {
	if l.readDue() && l.reread(ctx) != nil {
		l.backOff()
		return
	}
	l.mutex.Lock()
	row, blind := l.row, l.blind()
	l.mutex.Unlock()
	switch {
	case blind:
	case row.Version == 0:
		l.write(ctx, Row{Holder: l.Self}, l.always)
	case row.Holder == l.Self:
		l.hold(ctx, row)
	case row.Successor == l.Self:
		l.succeed(ctx, row)
	default:
		l.watch(ctx, row)
	}
}

// hold keeps a successor that answers.
func (l *Lease) hold(ctx context.Context, row Row) {
	l.mutex.Lock()
	left := l.until - l.now()
	restarted := l.restarted
	handing := l.released && l.now() < l.releasedAt+2*l.wait()
	l.mutex.Unlock()
	silent := restarted || left < l.duration()/2
	next := Row{Version: row.Version, Holder: l.Self, Successor: row.Successor}
	switch {
	case handing:
	case row.Claimant != Member{}:
		l.write(ctx, next, l.always)
	case row.Successor == Member{}:
		next.Successor = l.candidate(ctx, row)
		if silent || next.Successor != (Member{}) {
			l.write(ctx, next, l.always)
		}
	case silent:
		next.Successor = l.candidate(ctx, row)
		l.write(ctx, next, l.always)
	}
}

// candidate gives a member that answers, not the present successor; nobody if none does.
func (l *Lease) candidate(ctx context.Context, row Row) Member {
	for _, n := range l.Candidates() {
		if n == l.Self.Name {
			continue
		}
		answer, err := l.ask(ctx, n, Request{Kind: Probe, From: l.Self, Row: row})
		if err == nil && answer.Promised && answer.Self != row.Successor {
			return answer.Self
		}
	}
	return Member{}
}

// succeed takes over when the last promise has ended.
func (l *Lease) succeed(ctx context.Context, row Row) {
	if (row.Claimant != Member{}) {
		l.write(ctx, Row{Version: row.Version, Holder: row.Holder, Successor: l.Self}, l.always)
		return
	}
	l.write(ctx, Row{Version: row.Version, Holder: l.Self}, func() bool { return l.now() >= l.notBefore })
}

// watch takes over from a holder without a successor, or from two that are gone.
func (l *Lease) watch(ctx context.Context, row Row) {
	next := Row{Version: row.Version, Holder: l.Self}
	if (row.Successor == Member{}) {
		l.write(ctx, next, func() bool { return l.now() >= l.learned+l.wait() })
		return
	}
	if !l.gone(ctx, row) {
		return
	}
	l.mutex.Lock()
	stood := l.now() - l.learned
	l.mutex.Unlock()
	if row.Claimant == l.Self {
		l.write(ctx, next, l.evident)
		return
	}
	if (row.Claimant == Member{}) || stood >= 2*l.claim() {
		l.write(ctx, Row{Version: row.Version, Holder: row.Holder, Successor: row.Successor, Claimant: l.Self}, l.always)
	}
}

// claim is how long both must have been silent and off the list.
func (l *Lease) claim() time.Duration { return max(l.listLag(), 2*l.poll()) + l.wait() }

// evident tells whether the evidence has lasted; see the package's comment.
func (l *Lease) evident() bool {
	now := l.now()
	certain := l.certainSince > 0 && now >= l.certainSince+l.wait()
	return certain || l.goneSince > 0 && now >= l.goneSince+l.claim()
}

// gone asks holder and successor, and keeps since when they have been gone.
func (l *Lease) gone(ctx context.Context, row Row) bool {
	certain := false
	for _, m := range []Member{row.Holder, row.Successor} {
		gone, other := l.goneOne(ctx, m, row)
		if !gone {
			l.evidence(row.Version, false, false)
			return false
		}
		certain = certain || other
	}
	l.evidence(row.Version, true, certain)
	return true
}

// goneOne tells whether m is gone, and whether another incarnation has shown it.
func (l *Lease) goneOne(ctx context.Context, m Member, row Row) (gone, certain bool) {
	if m.Name == l.Self.Name {
		return true, true
	}
	now := l.hear(m)
	if l.stands(now) {
		return false, false
	}
	answer, err := l.ask(ctx, m.Name, Request{Kind: Probe, From: l.Self, Row: row})
	if err == nil {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.learn(answer.Row)
		if answer.Self == m {
			l.sign = now
		}
		return answer.Self != m, true
	}
	listed, ok := l.Listed()
	return ok && !slices.Contains(listed, m.Name), false
}

func (l *Lease) evidence(v Version, gone, certain bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.goneSince = since(l.goneSince, l.now(), gone && l.row.Version == v)
	l.certainSince = since(l.certainSince, l.now(), certain && l.row.Version == v)
}

func since(before, now time.Duration, holds bool) time.Duration {
	if !holds {
		return 0
	}
	if before > 0 {
		return before
	}
	return now
}

func (l *Lease) always() bool { return true }

// write sends row, if it is due still, until its outcome is known.
func (l *Lease) write(ctx context.Context, row Row, due func() bool) {
	if !l.begin(row, due) {
		return
	}
	row.Change = l.NewChange()
	l.mutex.Lock()
	sent := l.sent
	l.mutex.Unlock()
	for first := true; ; first = false {
		written, err := l.swap(ctx, row)
		if err == nil {
			l.adopt(written, sent)
			return
		}
		if first && errorx.IsOfType(err, ErrUnavailable) {
			l.end()
			return
		}
		if errorx.IsOfType(err, ErrConflict) && l.settle(ctx, row, sent) {
			return
		}
		if pause(ctx, l.every()) != nil {
			return
		}
	}
}

// begin notes that a write is sent now. From here on rules 1 and 2 bind.
func (l *Lease) begin(row Row, due func() bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.row.Version != row.Version || !due() {
		return false
	}
	l.writing, l.sent = true, l.now()
	return true
}

func (l *Lease) swap(ctx context.Context, row Row) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.bound())
	defer cancel()
	return l.Table.Swap(ctx, row)
}

// settle reads the row after a conflict and takes the write's effect if it is there.
func (l *Lease) settle(ctx context.Context, row Row, sent time.Duration) bool {
	if l.reread(ctx) != nil {
		return false
	}
	l.mutex.Lock()
	stored := l.row
	l.mutex.Unlock()
	if stored.Change == row.Change {
		l.adopt(stored, sent)
	}
	return true
}

// adopt takes the effect of this member's own write, first sent at the time sent.
func (l *Lease) adopt(row Row, sent time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.learn(row)
	if l.row.Change != row.Change || row.Holder != l.Self {
		return
	}
	if l.released && sent <= l.releasedAt {
		return
	}
	l.released = false
	l.until = max(l.until, sent+l.duration())
	l.wake()
}

// end notes that the write is void.
func (l *Lease) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writing = false
}
