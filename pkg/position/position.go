// Package position compares places in a database group's log.
//
// A log entry is written in a term and has an offset. Offsets rise by one with
// every entry, across terms; a term begins where the promoted server's log ended.
// Sessions hold a Position as their floor: a server may answer them only when its
// own Position covers it.
package position

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// Term numbers the reigns of a group's primaries, from 1 upwards.
type Term int64

// Offset counts log entries of a group from its creation; 0 is an empty log.
type Offset int64

// Position is a place in a group's log.
type Position struct {
	// Term in which the entry at Offset was written.
	Term Term `json:"term"`
	// Offset of the last entry; never falls within one term.
	Offset Offset `json:"offset"`
}

// Start is where a term begins.
type TermStart struct {
	Term Term `json:"term"`
	// Offset of the last entry inherited from earlier terms.
	Offset Offset `json:"offset"`
}

var (
	errs = errorx.NewNamespace("position")
	// ErrMalformed means that a text is not of the form "term/offset".
	ErrMalformed = errs.NewType("malformed")
	// ErrLost means that a floor names an entry which no later term inherited.
	ErrLost = errs.NewType("lost")
)

// Parse reads the form that String writes, "term/offset" in decimal.
// A text of another form is ErrMalformed.
func Parse(text string) (Position, error) {
	before, after, found := strings.Cut(text, "/")
	term, errTerm := strconv.ParseInt(before, 10, 64)
	offset, errOffset := strconv.ParseInt(after, 10, 64)
	if !found || errTerm != nil || errOffset != nil || term < 0 || offset < 0 {
		return Position{}, ErrMalformed.New("position %q is not term/offset", text)
	}
	return Position{Term: Term(term), Offset: Offset(offset)}, nil
}

// String gives "term/offset".
func (p Position) String() string {
	return strconv.FormatInt(int64(p.Term), 10) + "/" + strconv.FormatInt(int64(p.Offset), 10)
}

// IsZero tells whether p is the empty log before the first term.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by offset: -1, 0 or 1.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term, p.Term == q.Term && p.Offset < q.Offset:
		return -1
	case p == q:
		return 0
	}
	return 1
}

// Covers tells whether a server at p has everything up to floor, given that floor
// survived into p's term (see Survives).
func (p Position) Covers(floor Position) bool {
	return p.Term >= floor.Term && p.Offset >= floor.Offset
}

// Max gives the later of two positions.
func Max(p, q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// Survives tells whether the entry at floor was inherited by every later term in
// starts: nil, or ErrLost. The order of starts doesn't matter.
func CheckSurvives(floor Position, starts []TermStart) error {
	for _, s := range starts {
		if s.Term > floor.Term && s.Offset < floor.Offset {
			return ErrLost.New("position %s did not survive into term %d, which starts after %d", floor, s.Term, s.Offset)
		}
	}
	return nil
}

// Clip lowers floor to what survived into the latest term in starts. It is for
// floors that were asked for, never for a session's own acknowledged writes.
func ClipFloor(floor Position, starts []TermStart) Position {
	for _, s := range starts {
		if s.Term > floor.Term && s.Offset < floor.Offset {
			floor.Offset = s.Offset
		}
	}
	return floor
}
