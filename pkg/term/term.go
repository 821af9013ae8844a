// Package term promotes the primary of a database group.
//
// A group is a fixed set of servers, one of them the primary of the present term.
// The group's record lives in one table row and changes by conditional write only.
// A promotion writes the next term as electing, fences the servers with it, takes
// of a majority the one that has received most, promotes it and writes it as active.
//
// Nothing here rests on a clock or on there being one promoter:
//
//   - Each attempt writes a term of its own, and a conditional write gives a term to
//     one attempt. An attempt promotes one server, so a term has one primary.
//   - A record left electing is continued by the next term, never by the same one.
//   - A write is acknowledged when a majority has received it in its term (see
//     Confirmed). A fenced server receives nothing of earlier terms. The two
//     majorities meet, so the servers fenced show every acknowledged write, and a
//     write that none of them shows can't be acknowledged any more.
//   - A server that has seen a term begin tells so when it is fenced with it, and the
//     attempt ends: a record that is behind the servers can't give a term away twice.
//   - A promoter that pauses and goes on later meets servers with a higher term,
//     which refuse it, or a record with another version, which refuses it too.
//
// The reserved term lets one promoter act while the table is out. Reserve writes
// the next number with the promoter's id into the record; from then on every other
// attempt, the same promoter's in the table included, goes past that number. So
// only the reserver's PromoteReserved ever uses it, and it fixes its choice of
// server once, in memory. A restarted promoter has another id and can't use it.
// When the table is back, Record writes the outcome. If someone went past the
// number meanwhile, that attempt's fence met the reserved term's majority as any
// other, so its writes are inherited, and the servers' own list of starts carries the
// start of the reserved term into the record: record and servers agree.
//
// Assumed: the group's servers don't change while it runs; a server keeps its term
// and log through a restart; promoter ids are never used twice.
package term

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Server names a server of the group.
type ServerName string

// PromoterID names a promoter and its incarnation; a restart makes another.
type PromoterID string

// Version counts the writes of the row; 0 is no row.
type Version int64

// Change is made anew for each write, to recognise its effect.
type ChangeID string

// State is active or electing.
type State string

// The states of a record.
const (
	Active   State = "active"
	Electing State = "electing"
)

// Record is what the table says of the group.
type Record struct {
	// Term never falls; each attempt to promote has its own.
	Term  position.Term `json:"term"`
	State State         `json:"state"`
	// Primary of Term if active, else of the last active term.
	Primary ServerName `json:"primary"`
	// Promoter wrote Term.
	Promoter PromoterID `json:"promoter"`
	// Reason for the change to Term, for people.
	Reason string `json:"reason"`
	// Starts of the terms that were used, rising by term.
	Starts []position.TermStart `json:"starts"`
	// Reserved is a term that only Reserver may use; spent if not above Term.
	ReservedTerm position.Term `json:"reserved-term"`
	Reserver     PromoterID    `json:"reserver"`
}

// Row is the group's row of the table.
type Row struct {
	Version  Version
	ChangeID ChangeID
	Record   Record
}

// Table is the group's row in the platform's table.
type Table interface {
	// Read gives the row, strongly consistent; Version 0 if there is none.
	// Any error means that the table gave no answer.
	Read(ctx context.Context) (Row, error)
	// Swap writes row as version row.Version+1 if the stored version is row.Version.
	// ErrConflict: another version is stored. ErrUnavailable: nothing was or will be
	// written. Any other error, ErrOutcomeUnknown by custom: it may be, now or later.
	Swap(ctx context.Context, row Row) (Row, error)
}

// Status is what a server says of itself.
type Status struct {
	Server ServerName
	// Primary is true on a server that takes writes in Term.
	IsPrimary bool
	// Term is the highest the server has accepted.
	Term position.Term
	// Received is the end of the server's log. It bears a term only when the log has
	// all up to that term's start; until then that of the last entry.
	Received position.Position
	// Starts of the terms in the server's log; on a primary that of Term among them.
	Starts []position.TermStart
}

// Servers are the servers of the group, as the promoter reaches them.
type ServerClient interface {
	// Fence makes a server refuse all terms before t, and gives its status from then on.
	// ErrStale: the server has accepted a higher term.
	Fence(ctx context.Context, server ServerName, t position.Term) (Status, error)
	// Promote makes a server that was fenced with t, and with none higher, primary of t.
	Promote(ctx context.Context, server ServerName, t position.Term) (Status, error)
	// Follow makes a server replicate from the primary of t.
	Follow(ctx context.Context, server ServerName, t position.Term, primary ServerName) error
	// Status asks a server for its status.
	Status(ctx context.Context, server ServerName) (Status, error)
}

var (
	errs = errorx.NewNamespace("term")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the table did nothing.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may take effect, now or later.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrStale means that a server has accepted a higher term.
	ErrStale = errs.NewType("stale")
	// ErrSuperseded means that another attempt has gone on to a higher term.
	ErrSuperseded = errs.NewType("superseded")
	// ErrNoMajority means that too few servers could be fenced.
	ErrNoMajority = errs.NewType("no-majority")
	// ErrNotReserved means that the promoter has no unused reserved term.
	ErrNotReserved = errs.NewType("not-reserved")
)

// next gives the number for an attempt in the table; it passes over a reserved one.
func (r Record) nextTerm() position.Term { return max(r.Term, r.ReservedTerm) + 1 }

// withStarts adds starts that the record lacks.
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
