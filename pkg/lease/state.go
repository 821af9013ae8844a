package lease

import "time"

// State is what a member knows, for a dump.
type State struct {
	Self Member `json:"self"`
	Row  Row    `json:"row"`
	Held bool   `json:"held"`
	// Left of the lease if held, and until the successor may take over.
	Left      time.Duration `json:"left-ns"`
	NotBefore time.Duration `json:"not-before-ns"`
	// Writing: the outcome of a write isn't known yet.
	Writing bool `json:"writing"`
}

// State gives a copy of what this member knows.
func (l *Lease) State() State {
	hold, held := l.Held()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := State{Self: l.Self, Row: l.row, Held: held, Left: hold.Left, Writing: l.writing}
	if l.row.Successor == l.Self {
		s.NotBefore = max(l.notBefore-l.now(), 0)
	}
	return s
}
