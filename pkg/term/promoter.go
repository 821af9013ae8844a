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
	Group   []Server
	Table   Table
	Servers Servers
	// NewChange gives an id never given before.
	NewChange func() Change
	// Step bounds one call to a server, Grace the wait for the servers that answer
	// a fence after the majority did. Zero: 1 s and 100 ms.
	Step, Grace time.Duration
	// Wait is kept between the write of a new term and its promotion, for users who
	// acknowledge by a validity of the term instead of by replicas. With it there is no
	// promotion in a reserved term.
	Wait time.Duration
	// Retry is the pause before a write with unknown outcome is sent again, and
	// between two looks at a replica that catches up. Zero: 50 ms.
	Retry time.Duration

	mutex sync.Mutex
	// busy has room for one attempt; what follows belongs to the one inside.
	busy chan struct{}
	// reserved is the record that this promoter wrote with its reservation, or zero.
	reserved Record
	// chosen is fixed for the reserved term once the first server was chosen.
	chosen Server
	// outcome of the reserved term, until it is recorded.
	outcome *Record
}

// Promote runs a whole promotion in a new term and gives the record it wrote.
// avoid, usually the old primary, is promoted only if no other server can be.
// ErrSuperseded: another attempt is ahead. ErrNoMajority: the record stays electing
// and any promoter may try again. Else the table's error. After any error the
// outcome is in the record, perhaps later.
func (p *Promoter) Promote(ctx context.Context, reason string, avoid Server) (Record, error) {
	if err := p.enter(ctx); err != nil {
		return Record{}, err
	}
	defer p.leave()
	row, err := p.Table.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	row.Record = p.claim(row.Record, reason)
	row, err = p.swap(ctx, row)
	if err != nil {
		return Record{}, err
	}
	if err := pause(ctx, p.Wait); err != nil {
		return Record{}, err
	}
	t := row.Record.Term
	fenced, err := p.fence(ctx, t)
	if err != nil {
		return Record{}, err
	}
	status, err := p.promote(ctx, choose(fenced, len(p.Group), avoid).Server, t)
	if err != nil {
		return Record{}, err
	}
	row.Record = activate(row.Record, status)
	row, err = p.swap(ctx, row)
	if err != nil {
		return Record{}, err
	}
	p.follow(ctx, row.Record)
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
	for !p.caughtUp(ctx, leaving) {
		if err := pause(ctx, p.retry()); err != nil {
			return Record{}, err
		}
	}
	return p.Promote(ctx, reason, leaving)
}

// Reserve writes the right to the next term for this promoter into an active record,
// unless it has it already. It goes past an unspent number of another promoter.
func (p *Promoter) Reserve(ctx context.Context) (Record, error) {
	if err := p.enter(ctx); err != nil {
		return Record{}, err
	}
	defer p.leave()
	row, err := p.Table.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	r := row.Record
	if r.State != Active {
		return r, ErrSuperseded.New("term %d is electing", r.Term)
	}
	if r.Reserved > r.Term && r.Reserver == p.ID && r.Reserved == p.reserved.Reserved {
		return r, nil
	}
	row.Record.Reserved, row.Record.Reserver = r.next(), p.ID
	row, err = p.swap(ctx, row)
	if err != nil {
		return Record{}, err
	}
	p.reserved, p.chosen = row.Record, ""
	return row.Record, nil
}

// PromoteReserved promotes in the reserved term without the table and gives the
// record to be written by Record. It may be called again after an error; the server
// once chosen stays. ErrNotReserved: there is no term to use. ErrStale,
// ErrNoMajority: as in Promote.
func (p *Promoter) PromoteReserved(ctx context.Context, reason string, avoid Server) (Record, error) {
	if err := p.enter(ctx); err != nil {
		return Record{}, err
	}
	defer p.leave()
	if p.outcome != nil {
		return *p.outcome, nil
	}
	r := p.reserved
	if r.Reserved == 0 || p.Wait > 0 {
		return Record{}, ErrNotReserved.New("promoter %s has reserved no term", p.ID)
	}
	t := r.Reserved
	if p.chosen == "" {
		fenced, err := p.fence(ctx, t)
		if err != nil {
			return Record{}, err
		}
		p.chosen = choose(fenced, len(p.Group), avoid).Server
	}
	status, err := p.promote(ctx, p.chosen, t)
	if err != nil {
		return Record{}, err
	}
	r.Term, r.Promoter, r.Reason = t, p.ID, reason
	r = activate(r, status)
	p.outcome, p.reserved = &r, Record{}
	p.follow(ctx, r)
	return r, nil
}

// Record writes the outcome of PromoteReserved; nil if there is none to write.
// ErrSuperseded: the record is past it; the outcome is dropped.
func (p *Promoter) Record(ctx context.Context) error {
	if err := p.enter(ctx); err != nil {
		return err
	}
	defer p.leave()
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
	row.Record = record(row.Record, *p.outcome)
	_, err = p.swap(ctx, row)
	if err == nil {
		p.outcome = nil
	}
	return err
}

// enter waits for the attempt under way to end.
func (p *Promoter) enter(ctx context.Context) error {
	p.mutex.Lock()
	if p.busy == nil {
		p.busy = make(chan struct{}, 1)
	}
	p.mutex.Unlock()
	select {
	case p.busy <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Promoter) leave() { <-p.busy }

func (p *Promoter) claim(r Record, reason string) Record {
	r.Term, r.State = r.next(), Electing
	r.Promoter, r.Reason = p.ID, reason
	return r
}

func activate(r Record, primary Status) Record {
	r.State, r.Primary = Active, primary.Server
	r = r.withStarts(primary.Starts)
	return r.withStarts([]position.Start{{Term: r.Term, Offset: primary.Received.Offset}})
}

// record gives stored with the outcome of a reserved term. A later reservation,
// which may be in use by now, stays.
func record(stored, outcome Record) Record {
	reserved, reserver := stored.Reserved, stored.Reserver
	stored = outcome.withStarts(stored.Starts)
	stored.Reserved, stored.Reserver = reserved, reserver
	return stored
}

// swap writes row until the outcome is known. An earlier copy that comes late finds
// another version.
func (p *Promoter) swap(ctx context.Context, row Row) (Row, error) {
	row.Change = p.NewChange()
	sent := false
	for {
		written, err := p.Table.Swap(ctx, row)
		switch {
		case err == nil:
			return written, nil
		case errorx.IsOfType(err, ErrConflict):
			return p.recognise(ctx, row)
		case errorx.IsOfType(err, ErrUnavailable) && !sent:
			return Row{}, err
		}
		sent = true
		if err := pause(ctx, p.retry()); err != nil {
			return Row{}, ErrOutcomeUnknown.Wrap(err, "the record may have been written")
		}
	}
}

func (p *Promoter) recognise(ctx context.Context, row Row) (Row, error) {
	for {
		stored, err := p.Table.Read(ctx)
		if err == nil && stored.Change == row.Change {
			return stored, nil
		}
		if err == nil {
			return Row{}, ErrSuperseded.New("the record is at version %d, term %d", stored.Version, stored.Record.Term)
		}
		if err := pause(ctx, p.retry()); err != nil {
			return Row{}, ErrOutcomeUnknown.Wrap(err, "the record may have been written")
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (p *Promoter) step() time.Duration  { return either(p.Step, time.Second) }
func (p *Promoter) grace() time.Duration { return either(p.Grace, 100*time.Millisecond) }
func (p *Promoter) retry() time.Duration { return either(p.Retry, 50*time.Millisecond) }

func either(set, standard time.Duration) time.Duration {
	if set > 0 {
		return set
	}
	return standard
}
