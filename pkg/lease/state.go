package lease

import "time"

// State is a snapshot of what a member knows, for diagnostics.
type State struct {
	Self Member `json:"self"`
	Row  Row    `json:"row"`
	Held bool   `json:"held"`
	// Remaining is how long the lease stays valid, if this member holds it.
	Remaining time.Duration `json:"left-ns"`
	// TakeoverIn is the time until this member, if it is the successor, may take over.
	TakeoverIn time.Duration `json:"not-before-ns"`
	// WritePending means that the outcome of a write isn't known yet.
	WritePending bool `json:"writing"`
}

// State returns a snapshot of what this member knows.
func (l *Lease) State() State {
	grant, held := l.Held()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := State{Self: l.Self, Row: l.row, Held: held, Remaining: grant.Remaining, WritePending: l.writePending}
	if l.row.Successor == l.Self {
		s.TakeoverIn = max(l.takeoverNotBefore-l.now(), 0)
	}
	return s
}
