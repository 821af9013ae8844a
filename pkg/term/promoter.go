package term

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Promoter promotes primaries of one group. Its methods may be called together; it
// runs one attempt at once. The exported fields are set before the first call.
type Promoter struct {
	ID PromoterID
	// Group is all servers of the group; its order breaks ties.
	Group   []ServerName
	Table   Table
	Servers ServerClient
	// NewChange gives an id never given before.
	NewChangeID func() ChangeID
	// Step bounds one call to a server, Grace the wait for the servers that answer
	// a fence after the majority did. Zero: 1 s and 100 ms.
	CallTimeout, FenceGrace time.Duration
	// Wait is kept between the write of a new term and its promotion, for users who
	// acknowledge by a validity of the term instead of by replicas. With it there is no
	// promotion in a reserved term.
	PromotionDelay time.Duration
	// Retry is the pause before a write with unknown outcome is sent again, and
	// between two looks at a replica that catches up. Zero: 50 ms.
	RetryDelay time.Duration

	mutex sync.Mutex
	// busy has room for one attempt; what follows belongs to the one inside.
	attemptSlot chan struct{}
	// reserved is the record that this promoter wrote with its reservation, or zero.
	reservation Record
	// chosen is fixed for the reserved term once the first server was chosen.
	reservedChoice ServerName
	// outcome of the reserved term, until it is recorded.
	outcome *Record
}

// Promote runs a whole promotion in a new term and gives the record it wrote.
// avoid, usually the old primary, is promoted only if no other server can be.
// ErrSuperseded: another attempt is ahead. ErrNoMajority: the record stays electing
// and any promoter may try again. Else the table's error. After any error the
// outcome is in the record, perhaps later.
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

// HandOver moves the primary to a replica that has received all, for a primary that
// leaves. It waits for such a replica before it stops any write; ctx bounds that.
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

// Reserve writes the right to the next term for this promoter into an active record,
// unless it has it already. It goes past an unspent number of another promoter.
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

// PromoteReserved promotes in the reserved term without the table and gives the
// record to be written by Record. It may be called again after an error; the server
// once chosen stays. ErrNotReserved: there is no term to use. ErrStale,
// ErrNoMajority: as in Promote.
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

// Record writes the outcome of PromoteReserved; nil if there is none to write.
// ErrSuperseded: the record is past it; the outcome is dropped.
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

// enter waits for the attempt under way to end.
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

func (p *Promoter) startElection(r Record, reason string) Record {
	r.Term, r.State = r.nextTerm(), Electing
	r.Promoter, r.Reason = p.ID, reason
	return r
}

func activate(r Record, primary Status) Record {
	r.State, r.Primary = Active, primary.Server
	r = r.withStarts(primary.Starts)
	return r.withStarts([]position.TermStart{{Term: r.Term, Offset: primary.Received.Offset}})
}

// record gives stored with the outcome of a reserved term. A later reservation,
// which may be in use by now, stays.
func mergeOutcome(stored, outcome Record) Record {
	reserved, reserver := stored.ReservedTerm, stored.Reserver
	stored = outcome.withStarts(stored.Starts)
	stored.ReservedTerm, stored.Reserver = reserved, reserver
	return stored
}

// swap writes row until the outcome is known. An earlier copy that comes late finds
// another version.
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
func (p *Promoter) fenceGrace() time.Duration { return orDefault(p.FenceGrace, 100*time.Millisecond) }

func (p *Promoter) retryDelay() time.Duration { return orDefault(p.RetryDelay, 50*time.Millisecond) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
