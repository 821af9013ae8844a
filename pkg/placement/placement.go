// Package placement decides which servers and VMs may get which work: none in zones that are being
// evacuated, little while a server is cold, and only in the regions that a route and a workspace
// allow. It needs no network and no clock of its own.
package placement

import "time"

// Use is what a VM wants a server for.
type Use string

// The uses of a server.
const (
	// Read is a read, or the begin of a read-only transaction, that any server may run.
	Read Use = "read"
	// Lead is a write, a linearizable read or the begin of a transaction, which need the primary.
	Lead Use = "lead"
	// Continue is a statement of a transaction that is open on the server.
	Continue Use = "continue"
	// Verify has the server show that it is the primary, Control queries its status or demotes it.
	Verify  Use = "verify"
	Control Use = "control"
	// Connect opens a connection to it.
	Connect Use = "connect"
	// Promote makes it the primary.
	Promote Use = "promote"
)

// graceMargin is the part of the evacuation's bound that isn't grace: one second until every VM knows
// of the evacuation, and one until the statements that were sent before the grace ended have arrived.
const graceMargin = 2 * time.Second

// Evacuation has the rule by which zones are evacuated.
type Evacuation struct {
	// Bound is the time from the acknowledgement of the operator's row until nothing reaches the
	// zone's servers any more.
	Bound time.Duration
}

// Grace returns how long after a VM has learned of the evacuation it may still use the zone's
// primaries and the transactions that are open on its servers.
func (e Evacuation) Grace() time.Duration { return max(e.Bound-graceMargin, 0) }

// Server is what the decisions on a server depend on.
type Server struct {
	// Evacuated is true if its zone is being evacuated, and Elapsed the time since this VM, or the VM
	// that told it, learned of that.
	Evacuated bool
	Elapsed   time.Duration
	// Primary is true for the group's primary.
	Primary bool
	// Alone is true if all servers of the group are in zones that are being evacuated.
	Alone bool
}

// Allows reports whether a server may be used now.
func (e Evacuation) Allows(s Server, u Use) bool {
	if !s.Evacuated {
		return true
	}
	inGrace := s.Elapsed < e.Grace()
	switch u {
	case Lead:
		return inGrace && s.Primary && !s.Alone
	case Verify, Control:
		return inGrace && s.Primary
	case Continue:
		return inGrace
	}
	return false
}

// HandsOver reports whether the role of a primary is to be handed to another server.
func (e Evacuation) HandsOver(s Server) bool { return e.Allows(s, Control) && s.Evacuated && !s.Alone }

// IsClosed reports whether the connections to a server must be closed, since no use of it is left.
func (e Evacuation) IsClosed(s Server) bool { return !e.Allows(s, Continue) }

// retryFraction is the fraction of the time that an evacuation has lasted after which callers that
// were refused because of it are told to return. It is that of outages of primaries, whose end isn't
// known either.
const retryFraction = 4

// minRetry and maxRetry bound that time.
const (
	minRetry = 500 * time.Millisecond
	maxRetry = 30 * time.Second
)

// RetryAfter returns when a caller should return whose request only the zone can run: after the
// grace, while the role is being handed over, and later after a part of the time that the
// evacuation has lasted, since only the operator ends it.
func (e Evacuation) RetryAfter(s Server) time.Duration {
	if !s.Alone && s.Elapsed < e.Grace() {
		return e.Grace() - s.Elapsed
	}
	return min(max(s.Elapsed/retryFraction, minRetry), maxRetry)
}
