package lease

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// step performs the action that is due for this member's role in the row.
func (l *Lease) step(ctx context.Context) {
	if l.isReadDue() && l.readRow(ctx) != nil {
		l.delayNextRead()
		return
	}
	l.mutex.Lock()
	row, blocked := l.row, l.isBlockedObserver()
	l.mutex.Unlock()
	switch {
	case blocked:
	case row.Version == 0:
		l.writeRow(ctx, Row{Holder: l.Self}, l.alwaysDue)
	case row.Holder == l.Self:
		l.actAsHolder(ctx, row)
	case row.Successor == l.Self:
		l.actAsSuccessor(ctx, row)
	default:
		l.actAsObserver(ctx, row)
	}
}

// actAsHolder keeps a responsive successor in the row and removes claims. Without a
// successor it renews the lease by writing the row.
func (l *Lease) actAsHolder(ctx context.Context, row Row) {
	l.mutex.Lock()
	remaining := l.expiresAt - l.now()
	restarted := l.successorRestarted
	handingOver := l.released && l.now() < l.releasedAt+2*l.promiseTTL()
	l.mutex.Unlock()
	leaseAtRisk := restarted || remaining < l.ttl()/2
	next := Row{Version: row.Version, Holder: l.Self, Successor: row.Successor}
	switch {
	case handingOver:
	case row.Claimant != Member{}:
		l.writeRow(ctx, next, l.alwaysDue)
	case row.Successor == Member{}:
		next.Successor = l.findSuccessor(ctx, row)
		if leaseAtRisk || next.Successor != (Member{}) {
			l.writeRow(ctx, next, l.alwaysDue)
		}
	case leaseAtRisk:
		next.Successor = l.findSuccessor(ctx, row)
		l.writeRow(ctx, next, l.alwaysDue)
	}
}

// findSuccessor returns the first candidate that responds, takes part in the lease and
// isn't the current successor, or the zero Member if there is none.
func (l *Lease) findSuccessor(ctx context.Context, row Row) Member {
	for _, name := range l.Candidates() {
		if name == l.Self.Name {
			continue
		}
		response, err := l.send(ctx, name, Request{Kind: Probe, From: l.Self, Row: row})
		if err == nil && response.Promised && response.Responder != row.Successor {
			return response.Responder
		}
	}
	return Member{}
}

// actAsSuccessor removes claims, and takes over from takeoverNotBefore on: when its last
// promise and the wait since it received the row have ended, or at once after a release.
func (l *Lease) actAsSuccessor(ctx context.Context, row Row) {
	if (row.Claimant != Member{}) {
		l.writeRow(ctx, Row{Version: row.Version, Holder: row.Holder, Successor: l.Self}, l.alwaysDue)
		return
	}
	l.writeRow(ctx, Row{Version: row.Version, Holder: l.Self}, func() bool { return l.now() >= l.takeoverNotBefore })
}

// actAsObserver takes over from a holder that has no successor and didn't renew the lease in
// time. If there is a successor, it claims the lease when holder and successor are both
// gone, and takes over when they have been gone for long enough.
func (l *Lease) actAsObserver(ctx context.Context, row Row) {
	next := Row{Version: row.Version, Holder: l.Self}
	if (row.Successor == Member{}) {
		l.writeRow(ctx, next, func() bool { return l.now() >= l.rowReceivedAt+l.promiseTTL() })
		return
	}
	if !l.checkHolderAndSuccessorGone(ctx, row) {
		return
	}
	l.mutex.Lock()
	rowAge := l.now() - l.rowReceivedAt
	l.mutex.Unlock()
	if row.Claimant == l.Self {
		l.writeRow(ctx, next, l.hasTakeoverEvidence)
		return
	}
	if (row.Claimant == Member{}) || rowAge >= 2*l.claimWait() {
		l.writeRow(ctx, Row{Version: row.Version, Holder: row.Holder, Successor: row.Successor, Claimant: l.Self}, l.alwaysDue)
	}
}

// claimWait is how long holder and successor must both have been gone before a claimant
// takes over, unless another incarnation of one of them responds.
func (l *Lease) claimWait() time.Duration { return max(l.listTTL(), 2*l.pollPeriod()) + l.promiseTTL() }

// hasTakeoverEvidence reports whether holder and successor have been gone for long enough
// that a claimant may take over; see the package comment.
func (l *Lease) hasTakeoverEvidence() bool {
	now := l.now()
	restartProven := l.restartSeenSince > 0 && now >= l.restartSeenSince+l.promiseTTL()
	return restartProven || l.bothGoneSince > 0 && now >= l.bothGoneSince+l.claimWait()
}

// checkHolderAndSuccessorGone reports whether holder and successor are both gone, probes
// them where that is needed to find out, and records since when both have been gone.
func (l *Lease) checkHolderAndSuccessorGone(ctx context.Context, row Row) bool {
	restartSeen := false
	for _, m := range []Member{row.Holder, row.Successor} {
		gone, memberRestarted := l.checkMemberGone(ctx, m, row)
		if !gone {
			l.recordEvidence(row.Version, false, false)
			return false
		}
		restartSeen = restartSeen || memberRestarted
	}
	l.recordEvidence(row.Version, true, restartSeen)
	return true
}

// checkMemberGone probes m unless its last response is still valid. It reports whether m is
// gone as defined in the package comment and, if so, whether that is proven because another
// incarnation runs under m's name.
func (l *Lease) checkMemberGone(ctx context.Context, m Member, row Row) (gone, restarted bool) {
	if m.Name == l.Self.Name {
		return true, true
	}
	current := l.newProbeContext(m)
	if l.isLastProbeValid(current) {
		return false, false
	}
	response, err := l.send(ctx, m.Name, Request{Kind: Probe, From: l.Self, Row: row})
	if err == nil {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.updateRow(response.Row)
		if response.Responder == m {
			l.lastProbe = current
		}
		return response.Responder != m, true
	}
	listed, ok := l.ListedNames()
	return ok && !slices.Contains(listed, m.Name), false
}

// recordEvidence updates bothGoneSince and restartSeenSince after a check of holder and
// successor of row version v. If a newer row was received meanwhile, both are reset.
func (l *Lease) recordEvidence(v Version, gone, restartSeen bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bothGoneSince = conditionSince(l.bothGoneSince, l.now(), gone && l.row.Version == v)
	l.restartSeenSince = conditionSince(l.restartSeenSince, l.now(), restartSeen && l.row.Version == v)
}

// conditionSince returns since when a condition has held: previous if it held before, now
// if it has just begun, and 0 if it doesn't hold.
func conditionSince(previous, now time.Duration, holds bool) time.Duration {
	if !holds {
		return 0
	}
	if previous > 0 {
		return previous
	}
	return now
}

// alwaysDue is the condition of writes that don't have to wait.
func (l *Lease) alwaysDue() bool { return true }

// writeRow writes row if that is still due, and retries until the outcome is known or ctx
// ends.
func (l *Lease) writeRow(ctx context.Context, row Row, isDue func() bool) {
	if !l.beginWrite(row, isDue) {
		return
	}
	row.ChangeID = l.NewChangeID()
	l.mutex.Lock()
	sentAt := l.writeSentAt
	l.mutex.Unlock()
	for first := true; ; first = false {
		written, err := l.swapRow(ctx, row)
		if err == nil {
			l.applyWrite(written, sentAt)
			return
		}
		if first && errorx.IsOfType(err, ErrUnavailable) {
			l.clearPendingWrite()
			return
		}
		if errorx.IsOfType(err, ErrConflict) && l.resolveConflict(ctx, row, sentAt) {
			return
		}
		if sleep(ctx, l.renewInterval()) != nil {
			return
		}
	}
}

// beginWrite reports whether the write of row is still due. If so, it records that the
// write is sent now; from then on, rules 1 and 2 of the package comment apply.
func (l *Lease) beginWrite(row Row, isDue func() bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.row.Version != row.Version || !isDue() {
		return false
	}
	l.writePending, l.writeSentAt = true, l.now()
	return true
}

func (l *Lease) swapRow(ctx context.Context, row Row) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	return l.Table.Swap(ctx, row)
}

// resolveConflict reads the stored row after a conflict. If the stored row is the one that
// an earlier copy of this write has written, it applies the write. It reports whether the
// row could be read.
func (l *Lease) resolveConflict(ctx context.Context, row Row, sentAt time.Duration) bool {
	if l.readRow(ctx) != nil {
		return false
	}
	l.mutex.Lock()
	stored := l.row
	l.mutex.Unlock()
	if stored.ChangeID == row.ChangeID {
		l.applyWrite(stored, sentAt)
	}
	return true
}

// applyWrite updates the state after this member's own write, first sent at sentAt, took
// effect.
func (l *Lease) applyWrite(row Row, sentAt time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updateRow(row)
	if l.row.ChangeID != row.ChangeID || row.Holder != l.Self {
		return
	}
	if l.released && sentAt <= l.releasedAt {
		return
	}
	l.released = false
	l.expiresAt = max(l.expiresAt, sentAt+l.ttl())
	l.notifyChanged()
}

// clearPendingWrite records that the pending write will never take effect.
func (l *Lease) clearPendingWrite() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writePending = false
}
