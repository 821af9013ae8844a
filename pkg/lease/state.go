package lease

import "time"

// State is what a member knows, for a dump.
type State struct {
	Self Member `json:"self"`
	Row  Row    `json:"row"`
	Held bool   `json:"held"`
	// Left of the lease if held, and until the successor may take over.
	Remaining  time.Duration `json:"left-ns"`
	TakeoverIn time.Duration `json:"not-before-ns"`
	// Writing: the outcome of a write isn't known yet.
	WritePending bool `json:"writing"`
}

// State gives a copy of what this member knows.
func (l *Lease) State() State {
	hold, held := l.Held()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := State{Self: l.Self, Row: l.row, Held: held, Remaining: hold.Remaining, WritePending: l.writePending}
	if l.row.Successor == l.Self {
		s.TakeoverIn = max(l.takeoverNotBefore-l.now(), 0)
	}
	return s
}
