// Package lease keeps one holder of a thing, with a named successor.
//
// A row of a table names a holder and a successor, each with its incarnation. The
// holder renews by message: each answer is the successor's promise not to take over
// for the lease's duration. So a dead holder is replaced in seconds, an outage of the
// table of any length is outlived, and the table is written only at a change.
//
// Why there are never two holders:
//
//   - The holder counts a promise from before it asked, the successor from when it
//     answered, each on its own monotonic clock, the successor longer by the margin
//     for drift. The first lease after a change runs from before the conditional write
//     was first sent; the successor named in it waits from when it learned the row.
//   - Rule 1: a successor whose take-over is written, or may yet be, promises nothing
//     until the row's version has moved or the write is known to be void.
//   - Rule 2: a holder whose replacement of its successor may have been written counts
//     only promises asked for before it was sent.
//   - Every write is conditional on the version, and an unknown outcome is settled by
//     sending the same write again: a late copy finds another version. Its effect is
//     recognised by the change id.
//   - A hand-over is a release: the holder stops for good under this version, then
//     tells the successor, which takes over by its own write.
//   - Without a successor the row itself is renewed, and whoever has known the same
//     version for the duration and the margin may take over.
//
// A third member asks the holder every Every whether it is gone; after an answer that it
// isn't, only after Poll while Hears tells of the same process, or after Duration if Hears
// doesn't tell of it. So nobody is taken for gone but by an answer, or for want of one.
//
// Restarts: a new incarnation is neither holder nor successor and has no promises. A
// holder that hears another incarnation under its successor's name replaces it at once.
//
// Both gone at once: only a promise of the successor keeps the holder's lease valid, so
// it ends one duration after the successor's end, and at once with the holder's. A third
// member that hears from neither writes itself into the row as claimant. A holder or
// successor that lives reads the row every Poll and writes the claim away. The claimant
// takes over, on the version of its own claim, when all through
//
//   - the duration with margin, one of the two names has answered as another
//     incarnation (proof that the old one ended, since a name runs once), and
//     the other the same or is off the VM list; or
//   - the longer of ListLag and twice Poll, and the duration with margin after it, both
//     were silent and off the VM list.
//
// So the list alone decides nothing. For the second case to err, both must live and
// renew with each other, be off the list for longer than it lags, not be reached by the
// claimant, and be cut from the table that the claimant can write. Whoever can't accept
// that sets ListLag to what an operator needs to stop a VM by hand.
//
// Assumed: clocks don't stop while a process runs (a VM that is suspended with its clock
// needs a Now which counts that time) and drift less than Drift; a name is run by one
// process at a time; incarnations and change ids are never used twice.
//
// A process may pause between asking Held and acting on it. So the effect must be
// harmless then: fenced by the Version, or counted against what a successor lacks.
package lease

import (
	"context"
	"sync"
	"time"
)

// Lease takes part in one lease. Exported fields are set before Run, which is called
// once.
type Lease struct {
	Self  Member
	Table Table
	Peers Peers
	// Candidates to be named successor, the best first.
	Candidates func() []Name
	// Listed gives all names on the VM list; false if it can't be read.
	ListedNames func() ([]Name, bool)
	// Hears gives the run of a name's process if it lives by a sign other than an answer,
	// such as a heartbeat, of a moment ago: another run after each start. False of
	// processes that aren't heard of. Nil: the holder is asked every Every.
	ObservedRun func(Name) (RunID, bool)
	// NewChange gives an id never given before.
	NewChangeID func() ChangeID
	// Now reads a monotonic clock; nil: Go's.
	Now func() time.Duration
	// Duration of a promise. Zero: 3 s.
	Duration time.Duration
	// Every is the time between renewals. Zero: a sixth of Duration.
	RenewInterval time.Duration
	// Poll is the time between readings of the row without cause. Zero: 30 s.
	PollInterval time.Duration
	// ListLag bounds how old the VM list is. Zero: 60 s.
	MaxListAge time.Duration

	mutex sync.Mutex
	// row is the newest known, learned when it became so.
	row          Row
	rowUpdatedAt time.Duration
	// until is when the lease ends, for the holder in row; never lowered but by a
	// newer row or a release.
	expiresAt time.Duration
	// released is set from a hand-over until a write of this member took effect that
	// was sent after it.
	released   bool
	releasedAt time.Duration
	// restarted: another incarnation answered under the successor's name.
	successorRestarted bool
	// notBefore is when the successor in row may take over; lowered by a release only.
	takeoverNotBefore time.Duration
	// writing: a write sent first at sent may take effect.
	writePending bool
	writeSentAt  time.Duration
	// goneSince and certainSince: the evidence of a claimant, zero without.
	bothGoneSince, restartSeenSince time.Duration
	// sign is the last answer of a holder or successor that it is the one asked for.
	lastProbe probeResult
	// read is when the row was last read, 0 before. Since then failed readings failed;
	// a third member makes the next not before readAfter.
	lastReadAt  time.Duration
	failedReads int
	nextReadAt  time.Duration
	stopped     bool
	changed     chan struct{}
}

// Hold is a valid lease.
type Grant struct {
	// Version rises with each new holder; effects are fenced by it.
	Version Version
	// Left is how long the lease is valid without another promise.
	Remaining time.Duration
}

// Held tells whether this member holds the lease now. It is asked at each use, right
// before the effect.
func (l *Lease) Held() (Grant, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	remaining := l.expiresAt - l.now()
	if l.row.Holder != l.Self || l.released || remaining <= 0 {
		return Grant{}, false
	}
	return Grant{Version: l.row.Version, Remaining: remaining}, true
}

// Changed is closed when a newer row is learned or the lease was gained or released.
// That a lease ran out is seen by Held only.
func (l *Lease) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changedChannel()
}

// Run takes part until ctx ends. It doesn't hand over: see HandOver.
func (l *Lease) Run(ctx context.Context) error {
	var renewals sync.WaitGroup
	renewals.Go(func() { l.renewLoop(ctx) })
	defer renewals.Wait()
	defer l.stop()
	for {
		changed := l.Changed()
		l.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(l.renewInterval()):
		}
	}
}

// HandOver stops holding and tells the successor to take over at once. If that isn't
// heard, the successor takes over when its promise ends. An error is that of Ask.
func (l *Lease) HandOver(ctx context.Context) error {
	l.mutex.Lock()
	row := l.row
	if row.Holder != l.Self || l.released {
		l.mutex.Unlock()
		return nil
	}
	l.released, l.releasedAt = true, l.now()
	l.notifyChanged()
	l.mutex.Unlock()
	if row.Successor == (Member{}) {
		return nil
	}
	_, err := l.Peers.Send(ctx, row.Successor.Name, Request{Kind: Release, From: l.Self, Row: row})
	return err
}

// Answer answers a request from another member.
func (l *Lease) HandleRequest(request Request) Response {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updateRow(request.Row)
	response := Response{Responder: l.Self, Row: l.row}
	fromHolderToSuccessor := l.row.Holder == request.From && l.row.Successor == l.Self
	switch request.Kind {
	case Probe:
		response.Promised = !l.stopped
	case Release:
		if fromHolderToSuccessor && request.Row.Version == l.row.Version {
			l.takeoverNotBefore = l.now()
			l.notifyChanged()
		}
	case Renew:
		if fromHolderToSuccessor && !l.writePending && !l.stopped {
			l.takeoverNotBefore = max(l.takeoverNotBefore, l.now()+l.takeoverDelay())
			response.Promised = true
		}
	}
	return response
}

// renew asks the successor for promises, also while a write is under way.
func (l *Lease) renewLoop(ctx context.Context) {
	for sleep(ctx, l.renewInterval()) == nil {
		l.mutex.Lock()
		row, requestedAt := l.row, l.now()
		idle := row.Holder != l.Self || row.Successor == (Member{}) || l.released
		l.mutex.Unlock()
		if idle {
			continue
		}
		response, err := l.send(ctx, row.Successor.Name, Request{Kind: Renew, From: l.Self, Row: row})
		if err == nil {
			l.recordPromise(requestedAt, response)
		}
	}
}

// count takes a promise that was asked for at the time asked.
func (l *Lease) recordPromise(requestedAt time.Duration, response Response) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updateRow(response.Row)
	if l.row.Holder != l.Self || l.released {
		return
	}
	if response.Responder != l.row.Successor {
		l.successorRestarted = l.successorRestarted || response.Responder.Name == l.row.Successor.Name
		return
	}
	if !response.Promised || l.writePending && requestedAt > l.writeSentAt {
		return
	}
	l.expiresAt = max(l.expiresAt, requestedAt+l.duration())
}

// learn takes a newer row. Writes conditional on an older version are settled by it.
func (l *Lease) updateRow(row Row) {
	if row.Version <= l.row.Version {
		return
	}
	if row.Holder != l.Self {
		l.expiresAt, l.released = 0, false
	}
	l.row, l.rowUpdatedAt = row, l.now()
	l.writePending, l.successorRestarted = false, false
	l.bothGoneSince, l.restartSeenSince = 0, 0
	if row.Successor == l.Self {
		l.takeoverNotBefore = max(l.takeoverNotBefore, l.now()+l.takeoverDelay())
	}
	l.notifyChanged()
}

func (l *Lease) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
}

// wake closes the channel of Changed.
func (l *Lease) notifyChanged() {
	close(l.changedChannel())
	l.changed = nil
}

func (l *Lease) changedChannel() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (l *Lease) send(ctx context.Context, to Name, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	return l.Peers.Send(ctx, to, request)
}
