// Package term promotes the primary of a database group.
//
// A group is a fixed set of servers, one of them the primary of the current term. The
// group's record is stored in one table row and changes by conditional writes only. A
// promotion writes the next term with state electing, fences the servers with that term,
// chooses the server with the most up-to-date log (highest term, then highest offset)
// among a fenced majority, promotes it, and writes the term with state active. A server
// that is to be avoided, such as the old primary, is chosen only if no other server has
// every write that may have been acknowledged.
//
// Safety depends neither on clocks nor on there being only one promoter:
//
//   - Each attempt writes a term of its own, and a conditional write assigns a term to
//     one attempt only. An attempt promotes one server, so a term has one primary.
//   - A record left in state electing is continued with the next term, never with the
//     same one.
//   - A write is acknowledged when a majority has received it in its term (see
//     ConfirmedPosition). A fenced server receives nothing of earlier terms. Any two
//     majorities overlap, so the fenced servers hold every acknowledged write, and a
//     write that none of them holds can't be acknowledged any more.
//   - A server that has seen a term begin reports this when it is fenced with that term,
//     and the attempt ends. So a record that is older than the servers' state can't assign
//     a term twice.
//   - A promoter that pauses and resumes later is refused, either by servers that have
//     accepted a higher term or because the record has another version.
//
// A reserved term lets one promoter act while the table is unavailable. Reserve writes
// the next term and the promoter's ID into the record; from then on every other attempt,
// including those that the same promoter makes through the table, skips that term. So
// only PromoteReserved of the reserving promoter ever uses it, and it chooses a server
// only once, in memory. A restarted promoter has another ID and can't use it. When the
// table is available again, RecordOutcome writes the outcome. If another attempt has used
// a later term meanwhile, its fencing reached a majority that overlaps the one of the
// reserved term, as always, so the acknowledged writes of the reserved term are inherited.
// The promoted server's own list of term starts then adds the start of the reserved term
// to the record, so that record and servers agree.
//
// Assumptions: the group's servers don't change while it runs; a server keeps its term
// and log through a restart; promoter IDs are never reused.
package term

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// ServerName identifies a server of the group.
type ServerName string

// PromoterID identifies one incarnation of a promoter; a restart creates a new ID.
type PromoterID string

// Version counts the writes of the row; 0 means that there is no row.
type Version int64

// ChangeID is unique to each write, so that the writer recognizes the row it wrote.
type ChangeID string

// State of a record is active or electing.
type State string

// The states of a record.
const (
	Active   State = "active"
	Electing State = "electing"
)

// Record is the group's state as stored in the table.
type Record struct {
	// Term never decreases; each attempt to promote has its own.
	Term  position.Term `json:"term"`
	State State         `json:"state"`
	// Primary of Term if the state is active, otherwise of the last active term.
	Primary ServerName `json:"primary"`
	// Promoter is the one that wrote Term.
	Promoter PromoterID `json:"promoter"`
	// Reason for the change to Term, for operators.
	Reason string `json:"reason"`
	// Starts holds the starts of all terms known to have had a primary, in ascending order.
	Starts []position.TermStart `json:"starts"`
	// ReservedTerm is a term that only Reserver may use. It can't be used any more once
	// Term has reached it.
	ReservedTerm position.Term `json:"reserved-term"`
	Reserver     PromoterID    `json:"reserver"`
}

// Row is the group's row of the table.
type Row struct {
	Version  Version
	ChangeID ChangeID
	Record   Record
}

// Table gives access to the group's row in the platform's table.
type Table interface {
	// Read returns the row with strong consistency, or Version 0 if there is none.
	// An error means that the table didn't respond.
	Read(ctx context.Context) (Row, error)
	// Swap writes row as version row.Version+1 if the stored version is row.Version.
	// ErrConflict: another version is stored. ErrUnavailable: nothing was or will be
	// written. After any other error, by convention ErrOutcomeUnknown, the write may take
	// effect, now or later.
	Swap(ctx context.Context, row Row) (Row, error)
}

// Status is the state that a server reports.
type Status struct {
	Server ServerName
	// IsPrimary is true if the server accepts writes in Term.
	IsPrimary bool
	// Term is the highest term that the server has accepted.
	Term position.Term
	// Received is the end of the server's log. Its term is the highest known term whose
	// start offset the log has reached, or the term of the last entry if that is higher.
	Received position.Position
	// Starts holds the starts of the terms in the server's log; on a primary it includes
	// the start of Term.
	Starts []position.TermStart
}

// ServerClient sends commands to the servers of the group.
type ServerClient interface {
	// Fence makes a server refuse all terms before t and returns its status after that.
	// ErrStale: the server has accepted a higher term.
	Fence(ctx context.Context, server ServerName, t position.Term) (Status, error)
	// Promote makes a server the primary of t; t must be the highest term that it was
	// fenced with.
	Promote(ctx context.Context, server ServerName, t position.Term) (Status, error)
	// Follow makes a server replicate from the primary of t.
	Follow(ctx context.Context, server ServerName, t position.Term, primary ServerName) error
	// Status returns a server's status.
	Status(ctx context.Context, server ServerName) (Status, error)
}

var (
	errs = errorx.NewNamespace("term")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the table didn't execute a read or write and never will.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, or may do so later.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrStale means that a server has accepted a higher term, or that the term of the
	// attempt has already had a primary.
	ErrStale = errs.NewType("stale")
	// ErrSuperseded means that the record has another version than expected, usually because
	// another attempt has written a higher term, or that the record has reached the term of
	// the attempt. Reserve also returns it while the record is in state electing.
	ErrSuperseded = errs.NewType("superseded")
	// ErrNoMajority means that fewer servers than a majority could be fenced.
	ErrNoMajority = errs.NewType("no-majority")
	// ErrNotReserved means that the promoter has no reserved term left to use.
	ErrNotReserved = errs.NewType("not-reserved")
)

// nextTerm returns the term for a new attempt through the table. It skips a reserved term.
func (r Record) nextTerm() position.Term { return max(r.Term, r.ReservedTerm) + 1 }

// withStarts returns the record with those of starts added that it lacks.
func (r Record) withStarts(starts []position.TermStart) Record {
	merged := make([]position.TermStart, 0, len(r.Starts)+len(starts))
	merged = append(merged, r.Starts...)
	for _, s := range starts {
		merged = insertStart(merged, s)
	}
	r.Starts = merged
	return r
}

func insertStart(starts []position.TermStart, s position.TermStart) []position.TermStart {
	at := len(starts)
	for at > 0 && starts[at-1].Term >= s.Term {
		at--
	}
	if at < len(starts) && starts[at].Term == s.Term {
		return starts
	}
	starts = append(starts, position.TermStart{})
	copy(starts[at+1:], starts[at:])
	starts[at] = s
	return starts
}
