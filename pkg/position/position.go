// Package position compares positions in the log of a database group.
//
// A log entry is written in a term and has an offset. Offsets rise by one with every
// entry, across terms; a term begins where the promoted server's log ended. A session
// keeps a Position as its floor: a server may answer the session only if the server's own
// Position covers that floor.
package position

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// Term numbers the periods in which a group has the same primary, from 1 upwards.
type Term int64

// Offset counts the log entries of a group since its creation; 0 is an empty log.
type Offset int64

// Position identifies an entry in a group's log.
type Position struct {
	// Term in which the entry at Offset was written.
	Term Term `json:"term"`
	// Offset of the entry; on one server it never decreases within a term.
	Offset Offset `json:"offset"`
}

// TermStart is the point in the log at which a term begins.
type TermStart struct {
	Term Term `json:"term"`
	// Offset of the last entry inherited from earlier terms.
	Offset Offset `json:"offset"`
}

var (
	errs = errorx.NewNamespace("position")
	// ErrMalformed means that a text doesn't have the form "term/offset".
	ErrMalformed = errs.NewType("malformed")
	// ErrLost means that a floor is at an entry that a later term didn't inherit.
	ErrLost = errs.NewType("lost")
)

// Parse parses the form that String returns, "term/offset" in decimal. For any other text
// it returns ErrMalformed.
func Parse(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, "/")
	term, errTerm := strconv.ParseInt(termText, 10, 64)
	offset, errOffset := strconv.ParseInt(offsetText, 10, 64)
	if !found || errTerm != nil || errOffset != nil || term < 0 || offset < 0 {
		return Position{}, ErrMalformed.New("position %q is not term/offset", text)
	}
	return Position{Term: Term(term), Offset: Offset(offset)}, nil
}

// String returns "term/offset".
func (p Position) String() string {
	return strconv.FormatInt(int64(p.Term), 10) + "/" + strconv.FormatInt(int64(p.Offset), 10)
}

// IsZero reports whether p is the position of an empty log before the first term.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns -1, 0 or 1 if p is before, equal to or after q, by term and then offset.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term, p.Term == q.Term && p.Offset < q.Offset:
		return -1
	case p == q:
		return 0
	}
	return 1
}

// Covers reports whether a server at p has everything up to floor, provided that the entry
// at floor was inherited by p's term (see CheckSurvives).
func (p Position) Covers(floor Position) bool {
	return p.Term >= floor.Term && p.Offset >= floor.Offset
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// CheckSurvives returns nil if every later term in starts inherited the entry at floor,
// and ErrLost otherwise. The order of starts doesn't matter.
func CheckSurvives(floor Position, starts []TermStart) error {
	for _, s := range starts {
		if s.Term > floor.Term && s.Offset < floor.Offset {
			return ErrLost.New("position %s did not survive into term %d, which starts after %d", floor, s.Term, s.Offset)
		}
	}
	return nil
}

// ClipFloor lowers floor to what every later term in starts inherited. Use it only for
// floors that a client requested, never for a session's own acknowledged writes.
func ClipFloor(floor Position, starts []TermStart) Position {
	for _, s := range starts {
		if s.Term > floor.Term && s.Offset < floor.Offset {
			floor.Offset = s.Offset
		}
	}
	return floor
}
