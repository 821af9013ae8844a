package proxy

import (
	"context"
	"slices"
	"time"
)

// access is what a configuration lets a session do: use a route for a workspace.
type access struct {
	// route and workspace aren't nil once the session has been accepted.
	route     *Route
	workspace *Workspace
}

// anonymousWorkspace is the workspace of callers that use a public route without a key.
var anonymousWorkspace = &Workspace{Name: "-"}

// authorize looks up the session's access in a configuration. Without a failure the access is complete.
func (s *Session) authorize(c *Configuration) (access, Failure) {
	route := c.Routes[s.database]
	if route == nil {
		return access{}, NoDatabase
	}
	if w := c.Keys[s.key]; w != nil {
		return access{route, w}, NoFailure
	}
	if route.Public {
		return access{route, anonymousWorkspace}, NoFailure
	}
	return access{}, UnknownKey
}

// updateAccess applies the operation's configuration to the session, and returns why the session may not go on, if so.
// A transaction keeps the route that it began with, also after a failure and until its caller has ended it, since
// a change to a route holds from the next transaction on; keys are withdrawn at once.
func (s *Session) updateAccess(op *operation) Failure {
	c := op.configuration
	if s.tx == nil && !s.transactionFailed {
		a, f := s.authorize(c)
		if f == NoFailure {
			s.access = a
		}
		return f
	}
	holder := c.Keys[s.key]
	switch {
	case s.access.workspace == anonymousWorkspace:
		// The transaction needed no key when it began.
		return NoFailure
	case holder != nil && holder.Name == s.access.workspace.Name:
		s.access.workspace = holder
		return NoFailure
	case holder == nil && !s.access.route.isPublicIn(c):
		return UnknownKey
	}
	// The session may go on under another workspace, or under none, but not with this transaction.
	eventKeyWithdrawn.Log(s.vm.Logger, "database", s.database, "workspace", s.access.workspace.Name, "configuration", c.Version, "outcome", "transaction rolled back")
	s.failTransaction()
	op.isRevoked = true
	return NoFailure
}

// isPublicIn reports whether a configuration has a public route to the route's database.
func (r *Route) isPublicIn(c *Configuration) bool {
	newest := c.Routes[r.Database]
	return newest != nil && newest.Public
}

// checkOut checks out a connection for a statement of the session.
func (s *Session) checkOut(ctx context.Context, op *operation, m *member, d demand, until time.Time) (*checkout, error) {
	co, err := op.group.checkOut(ctx, m, d, until)
	if err != nil {
		return nil, err
	}
	s.checkouts = append(slices.DeleteFunc(s.checkouts, func(c *checkout) bool { return c.released }), co)
	return co, nil
}

// closeCheckouts closes the connections that the session hasn't released.
func (s *Session) closeCheckouts() {
	for _, co := range s.checkouts {
		if !co.released {
			co.release(false)
		}
	}
}
