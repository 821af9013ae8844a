// Package lease grants a right to one holder at a time and names its successor.
//
// A table row names a holder and a successor, each with its incarnation. The holder
// renews the lease by sending requests to the successor: each response promises that
// the successor won't take over for the lease's duration. A dead holder is therefore
// replaced within seconds, a lease survives a table outage of any length, and the table
// is written only when the holder or the successor changes. A member that is neither
// holder nor successor is an observer.
//
// Why there are never two holders:
//
//   - The holder counts a promise from before it sent the request, the successor from
//     when it answered, each on its own monotonic clock; the successor adds a margin for
//     clock drift. The first lease after a change of the row counts from before the
//     conditional write was first sent; the successor named in it waits from when it
//     received the row.
//   - Rule 1: a successor whose takeover was written, or may still be written, makes no
//     promises until the row's version has changed or the write is known to have no
//     effect.
//   - Rule 2: a holder that has sent a write to replace its successor counts only
//     promises that it requested before it sent that write, as long as the write may
//     have taken effect.
//   - Every write is conditional on the row's version. An unknown outcome is resolved by
//     sending the same write again: a delayed copy then finds another version. The
//     writer recognizes its own write by the change ID.
//   - A hand-over is a release: the holder stops using the lease under this version for
//     good and then notifies the successor, which takes over with its own write.
//   - Without a successor, the holder renews by writing the row, and any member that has
//     known the same version for the duration plus the margin may take over.
//
// While there is a successor, an observer probes the holder every RenewInterval, and the
// successor too if the holder is gone. It counts a member as gone if another incarnation
// runs under the member's name (it answers the probe, or is the observer itself), or if
// the probe stays unanswered and the VM list lacks the name. So missing heartbeats alone
// never make a member count as gone. Heartbeats only save probes: once a member has
// responded, the next probe follows after PollInterval as long as ObservedRun reports the
// same run as when the answered probe was sent, or after Duration if ObservedRun reported
// nothing then.
//
// Restarts: a new incarnation is neither holder nor successor and has made no promises.
// A holder that receives a response from another incarnation under its successor's name
// replaces the successor at once.
//
// If holder and successor fail together: only the successor's promises keep the holder's
// lease valid, so the lease expires at most one duration after the successor ends, and
// at once when the holder ends. An observer that counts both as gone writes itself into the
// row as claimant, unless the row has a recent claim of another observer. A live holder or
// successor reads the row every PollInterval and removes the claim. The claimant takes
// over, conditional on the version of its own claim, when one of the following was true
// without interruption:
//
//   - For the duration plus the margin, both were gone, and another incarnation ran under
//     at least one of the two names. That proves that the old incarnation ended, since a
//     name is run by one process at a time.
//   - For the longer of MaxListAge and twice PollInterval, and then for the duration plus
//     the margin, both were gone for either reason.
//
// So the VM list alone never decides. The second case goes wrong only if both are alive
// and renew with each other, are missing from the list for longer than its maximum age,
// can't be reached by the claimant, and can't reach the table while the claimant can.
// Where that risk is unacceptable, MaxListAge is set to the time an operator needs to
// stop a VM by hand.
//
// Assumptions: clocks don't stop while a process runs (on a VM that is suspended together
// with its clock, Now must include the suspended time) and drift by less than
// MaxDriftPermille; a name is run by one process at a time; incarnations and change IDs
// are never reused.
//
// A process may pause between calling Held and acting on the result. The action must be
// harmless even then: either fenced by Grant.Version, or charged to an amount that the
// next holder doesn't give out.
package lease

import (
	"context"
	"sync"
	"time"
)

// Lease is one member's part in a lease. Exported fields are set before Run, which is
// called once.
type Lease struct {
	Self  Member
	Table Table
	Peers Peers
	// Candidates returns the names that may become successor, the preferred one first.
	Candidates func() []Name
	// ListedNames returns all names on the VM list, or false if the list can't be read.
	ListedNames func() ([]Name, bool)
	// ObservedRun returns the run of a name's process if other evidence than a response,
	// such as a recent heartbeat, shows that it is alive; each start of the process is a
	// new run. It returns false without such evidence. If nil, an observer probes the
	// holder every RenewInterval.
	ObservedRun func(Name) (RunID, bool)
	// NewChangeID returns an ID that it never returned before.
	NewChangeID func() ChangeID
	// Now reads a monotonic clock; nil selects Go's.
	Now func() time.Duration
	// Duration is how long a promise lasts. Zero selects 3 s.
	Duration time.Duration
	// RenewInterval is the time between renewals. Zero selects a sixth of Duration.
	RenewInterval time.Duration
	// PollInterval is the time between periodic reads of the row. Zero selects 30 s.
	PollInterval time.Duration
	// MaxListAge is the maximum age of the VM list. Zero selects 60 s.
	MaxListAge time.Duration

	mutex sync.Mutex
	// row is the newest known row. This member first received it at rowReceivedAt.
	row           Row
	rowReceivedAt time.Duration
	// expiresAt is when the lease ends if this member is the holder in row and receives no
	// further promise. Only a newer row or a release ends the lease earlier.
	expiresAt time.Duration
	// released is set by a hand-over at releasedAt, and cleared when another member becomes
	// the holder or a write that this member sent after releasedAt takes effect.
	released   bool
	releasedAt time.Duration
	// successorRestarted means that another incarnation responded under the successor's
	// name.
	successorRestarted bool
	// takeoverNotBefore is the earliest time at which this member may take over if it is
	// the successor in row. Only a release lowers it.
	takeoverNotBefore time.Duration
	// writePending means that a write, first sent at writeSentAt, may still take effect.
	writePending bool
	writeSentAt  time.Duration
	// bothGoneSince is the time since which holder and successor have both counted as gone.
	// restartSeenSince is the time since which, in addition, another incarnation has run
	// under the name of at least one of them. Each is zero while its condition isn't true.
	bothGoneSince, restartSeenSince time.Duration
	// lastProbe is the latest probe that was answered by the very incarnation for which it
	// was meant, the holder or successor of the row at that time.
	lastProbe probeContext
	// lastReadAt is when the row was last read, 0 before the first read. failedReads
	// counts the periodic reads that have failed since then; until nextReadAt, an observer
	// doesn't read again unless the row was read before and has no successor (see isReadDue).
	lastReadAt  time.Duration
	failedReads int
	nextReadAt  time.Duration
	stopped     bool
	changed     chan struct{}
}

// Grant describes a valid lease.
type Grant struct {
	// Version rises with each new holder and is the fencing token of the holder's actions.
	Version Version
	// Remaining is how long the lease stays valid without another promise.
	Remaining time.Duration
}

// Held returns the lease if this member holds it now, and false if not. Callers check it
// right before every action that requires the lease.
func (l *Lease) Held() (Grant, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	remaining := l.expiresAt - l.now()
	if l.row.Holder != l.Self || l.released || remaining <= 0 {
		return Grant{}, false
	}
	return Grant{Version: l.row.Version, Remaining: remaining}, true
}

// Changed returns a channel that is closed when a newer row is received or the lease is
// acquired or released. Expiry doesn't close it; only Held shows that a lease expired.
func (l *Lease) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changedChannel()
}

// Run takes part in the lease until ctx ends. It doesn't hand over; see HandOver.
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

// HandOver releases the lease and asks the successor to take over at once. If the request
// is lost, the successor takes over when its last promise ends. Without a successor, any
// member may take over later. HandOver does nothing if this member isn't the holder or has
// released the lease already. An error is that of Peers.Send.
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

// HandleRequest answers a request from another member.
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
			l.takeoverNotBefore = max(l.takeoverNotBefore, l.now()+l.promiseTTL())
			response.Promised = true
		}
	}
	return response
}

// renewLoop requests a promise from the successor every RenewInterval while this member is
// the holder, even while a write is pending.
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

// recordPromise extends the lease by a promise that was requested at requestedAt.
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
	l.expiresAt = max(l.expiresAt, requestedAt+l.ttl())
}

// updateRow stores row if it is newer than the known one. No write of this member is
// pending after that: a pending one was conditional on an older version, so it has either
// taken effect already or never will.
func (l *Lease) updateRow(row Row) {
	if row.Version <= l.row.Version {
		return
	}
	if row.Holder != l.Self {
		l.expiresAt, l.released = 0, false
	}
	l.row, l.rowReceivedAt = row, l.now()
	l.writePending, l.successorRestarted = false, false
	l.bothGoneSince, l.restartSeenSince = 0, 0
	if row.Successor == l.Self {
		l.takeoverNotBefore = max(l.takeoverNotBefore, l.now()+l.promiseTTL())
	}
	l.notifyChanged()
}

func (l *Lease) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
}

// notifyChanged closes the channel that Changed returned.
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
