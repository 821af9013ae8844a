package term

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Promoter promotes primaries of one group. Its methods may be called concurrently; it
// runs one attempt at a time. The exported fields are set before the first call.
type Promoter struct {
	ID PromoterID
	// Group lists all servers of the group. Among equal candidates the first is promoted.
	Group   []ServerName
	Table   Table
	Servers ServerClient
	// NewChangeID returns an ID that it never returned before.
	NewChangeID func() ChangeID
	// CallTimeout limits one call to a server. FenceGrace is how long to wait for further
	// servers after a majority was fenced. Zero selects 1 s and 100 ms.
	CallTimeout, FenceGrace time.Duration
	// PromotionDelay is the pause between writing a new term to the table and fencing the
	// servers. It is for groups in which writes of a term may be acknowledged without
	// replicas under a time-limited permission, and must outlast that permission. If it
	// isn't zero, reserved terms can't be used.
	PromotionDelay time.Duration
	// RetryDelay is the pause before a write with unknown outcome is sent again, and
	// between two checks whether a replica has caught up. Zero selects 50 ms.
	RetryDelay time.Duration

	mutex sync.Mutex
	// attemptSlot is a semaphore that one attempt holds at a time. It guards the fields
	// below.
	attemptSlot chan struct{}
	// reservation is the record that this promoter wrote to reserve a term; it is zero if
	// there is none, or once a server was promoted in that term.
	reservation Record
	// reservedChoice is the server chosen for the reserved term, or empty if none was yet.
	reservedChoice ServerName
	// outcome is the record of a promotion in the reserved term, until RecordOutcome has
	// written or dropped it; otherwise nil.
	outcome *Record
}

// Promote runs a complete promotion in a new term and returns the record that it wrote.
// avoid, usually the old primary, is promoted only if no other server can be.
// ErrSuperseded: the record was changed meanwhile, usually by another attempt. ErrStale: a
// server has accepted a higher term, or the new term has already had a primary.
// ErrNoMajority: the record stays in state electing and any promoter may try again. Other
// errors are those of the table or of the promoted server. After an error the record shows
// the outcome, perhaps only later.
func (p *Promoter) Promote(ctx context.Context, reason string, avoid ServerName) (Record, error) {
	if err := p.beginAttempt(ctx); err != nil {
		return Record{}, err
	}
	defer p.endAttempt()
	row, err := p.Table.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	row.Record = p.startElection(row.Record, reason)
	row, err = p.swapRow(ctx, row)
	if err != nil {
		return Record{}, err
	}
	if err := sleep(ctx, p.PromotionDelay); err != nil {
		return Record{}, err
	}
	t := row.Record.Term
	fenced, err := p.fenceAll(ctx, t)
	if err != nil {
		return Record{}, err
	}
	status, err := p.promoteServer(ctx, choosePrimary(fenced, len(p.Group), avoid).Server, t)
	if err != nil {
		return Record{}, err
	}
	row.Record = activate(row.Record, status)
	row, err = p.swapRow(ctx, row)
	if err != nil {
		return Record{}, err
	}
	p.redirectReplicas(ctx, row.Record)
	return row.Record, nil
}

// HandOver moves the primary role of a server that is shutting down to a replica that has
// received its whole log. Writes go on until there is such a replica; ctx limits the wait.
func (p *Promoter) HandOver(ctx context.Context, reason string) (Record, error) {
	row, err := p.Table.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	leaving := row.Record.Primary
	for !p.hasCaughtUpReplica(ctx, leaving) {
		if err := sleep(ctx, p.retryDelay()); err != nil {
			return Record{}, err
		}
	}
	return p.Promote(ctx, reason, leaving)
}

// Reserve reserves the next term for this promoter in an active record, unless it has a
// reserved term already. It skips an unused reserved term of another promoter.
// ErrSuperseded: the record is in state electing, or was changed meanwhile.
func (p *Promoter) Reserve(ctx context.Context) (Record, error) {
	if err := p.beginAttempt(ctx); err != nil {
		return Record{}, err
	}
	defer p.endAttempt()
	row, err := p.Table.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	r := row.Record
	if r.State != Active {
		return r, ErrSuperseded.New("term %d is electing", r.Term)
	}
	if r.ReservedTerm > r.Term && r.Reserver == p.ID && r.ReservedTerm == p.reservation.ReservedTerm {
		return r, nil
	}
	row.Record.ReservedTerm, row.Record.Reserver = r.nextTerm(), p.ID
	row, err = p.swapRow(ctx, row)
	if err != nil {
		return Record{}, err
	}
	p.reservation, p.reservedChoice = row.Record, ""
	return row.Record, nil
}

// PromoteReserved promotes a server in the reserved term without access to the table, and
// returns the record from which RecordOutcome will update the table. After an error it may
// be called again; once a server has been chosen, each further call promotes that same
// server and ignores avoid. ErrNotReserved: there is no reserved term to use. ErrStale: a
// server has accepted a higher term, or the reserved term has already had a primary.
// ErrNoMajority: fewer servers than a majority could be fenced.
func (p *Promoter) PromoteReserved(ctx context.Context, reason string, avoid ServerName) (Record, error) {
	if err := p.beginAttempt(ctx); err != nil {
		return Record{}, err
	}
	defer p.endAttempt()
	if p.outcome != nil {
		return *p.outcome, nil
	}
	r := p.reservation
	if r.ReservedTerm == 0 || p.PromotionDelay > 0 {
		return Record{}, ErrNotReserved.New("promoter %s has reserved no term", p.ID)
	}
	t := r.ReservedTerm
	if p.reservedChoice == "" {
		fenced, err := p.fenceAll(ctx, t)
		if err != nil {
			return Record{}, err
		}
		p.reservedChoice = choosePrimary(fenced, len(p.Group), avoid).Server
	}
	status, err := p.promoteServer(ctx, p.reservedChoice, t)
	if err != nil {
		return Record{}, err
	}
	r.Term, r.Promoter, r.Reason = t, p.ID, reason
	r = activate(r, status)
	p.outcome, p.reservation = &r, Record{}
	p.redirectReplicas(ctx, r)
	return r, nil
}

// RecordOutcome writes the outcome of PromoteReserved, if there is one, to the table.
// ErrSuperseded: the record has reached the reserved term or a later one, and the outcome
// is dropped; or the record was changed meanwhile, and the outcome is kept for another call.
func (p *Promoter) RecordOutcome(ctx context.Context) error {
	if err := p.beginAttempt(ctx); err != nil {
		return err
	}
	defer p.endAttempt()
	if p.outcome == nil {
		return nil
	}
	row, err := p.Table.Read(ctx)
	if err != nil {
		return err
	}
	if row.Record.Term >= p.outcome.Term {
		p.outcome = nil
		return ErrSuperseded.New("the record is at term %d", row.Record.Term)
	}
	row.Record = mergeOutcome(row.Record, *p.outcome)
	_, err = p.swapRow(ctx, row)
	if err == nil {
		p.outcome = nil
	}
	return err
}

// beginAttempt waits until no other attempt is running. Further attempts then wait until
// endAttempt is called.
func (p *Promoter) beginAttempt(ctx context.Context) error {
	p.mutex.Lock()
	if p.attemptSlot == nil {
		p.attemptSlot = make(chan struct{}, 1)
	}
	p.mutex.Unlock()
	select {
	case p.attemptSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Promoter) endAttempt() { <-p.attemptSlot }

// startElection returns the record for a new attempt, with the next term in state electing.
func (p *Promoter) startElection(r Record, reason string) Record {
	r.Term, r.State = r.nextTerm(), Electing
	r.Promoter, r.Reason = p.ID, reason
	return r
}

// activate returns the record for a completed promotion, with the start of its term.
func activate(r Record, primary Status) Record {
	r.State, r.Primary = Active, primary.Server
	r = r.withStarts(primary.Starts)
	return r.withStarts([]position.TermStart{{Term: r.Term, Offset: primary.Received.Offset}})
}

// mergeOutcome returns the stored record updated with the outcome of a reserved term. A
// later reservation, which may already be in use, is kept.
func mergeOutcome(stored, outcome Record) Record {
	reserved, reserver := stored.ReservedTerm, stored.Reserver
	stored = outcome.withStarts(stored.Starts)
	stored.ReservedTerm, stored.Reserver = reserved, reserver
	return stored
}

// swapRow sends a conditional write of row until its outcome is known or ctx ends. A
// delayed copy of the write finds another version and has no effect.
func (p *Promoter) swapRow(ctx context.Context, row Row) (Row, error) {
	row.ChangeID = p.NewChangeID()
	sent := false
	for {
		written, err := p.Table.Swap(ctx, row)
		switch {
		case err == nil:
			return written, nil
		case errorx.IsOfType(err, ErrConflict):
			return p.resolveConflict(ctx, row)
		case errorx.IsOfType(err, ErrUnavailable) && !sent:
			return Row{}, err
		}
		sent = true
		if err := sleep(ctx, p.retryDelay()); err != nil {
			return Row{}, ErrOutcomeUnknown.Wrap(err, "the record may have been written")
		}
	}
}

// resolveConflict reads the stored row after a conflict, to find out whether an earlier
// copy of the write of row took effect.
func (p *Promoter) resolveConflict(ctx context.Context, row Row) (Row, error) {
	for {
		stored, err := p.Table.Read(ctx)
		if err == nil && stored.ChangeID == row.ChangeID {
			return stored, nil
		}
		if err == nil {
			return Row{}, ErrSuperseded.New("the record is at version %d, term %d", stored.Version, stored.Record.Term)
		}
		if err := sleep(ctx, p.retryDelay()); err != nil {
			return Row{}, ErrOutcomeUnknown.Wrap(err, "the record may have been written")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (p *Promoter) callTimeout() time.Duration { return orDefault(p.CallTimeout, time.Second) }
func (p *Promoter) fenceGrace() time.Duration  { return orDefault(p.FenceGrace, 100*time.Millisecond) }

func (p *Promoter) retryDelay() time.Duration { return orDefault(p.RetryDelay, 50*time.Millisecond) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
