package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxAttempts bounds how often a request that hasn't run is sent elsewhere.
const maxAttempts = 4

// request is what is sent to a server in one go, up to one ReadyForQuery.
type request struct {
	kind kind
	// sends puts the messages on the connection and gives the steps of the answer.
	sends func(c *upstream.Conn) []step
	// runs is false when nothing of it executes, as when a statement is prepared.
	runs bool
	// sql is the text of a simple request.
	sql string
	// mayCommit is true when it may end a transaction that began before it.
	mayCommit bool
	// chains is true when it ends a transaction and begins another.
	chains bool
	// begins are the statements of it that decide the modes of a transaction.
	begins []string
	// unknownModes is true when others of it may.
	unknownModes bool
	// messages are those of an extended request.
	messages []pgproto3.FrontendMessage
	// instead is sent to the caller in place of the server's answer, but for an error.
	instead []pgproto3.BackendMessage
	// unsynced requests end with Flush: their answer has no ReadyForQuery.
	unsynced bool
	// widens is true when it may let a read-only transaction write.
	widens bool
	// maybeRan is true once an attempt was sent that may have written something.
	maybeRan bool
}

// perform runs a request outside or inside of a transaction and answers the caller.
func (s *Session) perform(ctx context.Context, r *request) error {
	began := time.Now()
	if s.failed {
		return s.performFailed(ctx, r)
	}
	if s.conn == nil && r.kind == kindEnd {
		r.kind = kindRead
	}
	if r.widens && s.conn != nil && s.conn.Role == upstream.Replica {
		s.refuse(ErrUnsupported.New("a transaction that was begun read only can't be made to write"))
		return s.endRefused(r)
	}
	group, found := s.server.Upstreams.Group(s.database.Upstream)
	if !found {
		s.refuse(upstream.ErrNoServer.New("upstream %s isn't served here yet", s.database.Upstream))
		return s.endRefused(r)
	}
	if s.conn == nil && r.runs {
		if err := s.admit(ctx); err != nil {
			s.refuse(err)
			return s.endRefused(r)
		}
	}
	role, err := s.attempts(ctx, group, r)
	if err != nil {
		return err
	}
	s.server.metrics.answered(s.workspace.Name, r.kind, role, time.Since(began))
	return nil
}

func (s *Session) admit(ctx context.Context) error {
	if s.server.Limiter == nil {
		return nil
	}
	return s.server.Limiter.Admit(ctx, s.workspace.Name)
}

// endRefused ends the answer to a request that savoryramp refused.
func (s *Session) endRefused(r *request) error {
	s.failed = s.failed || r.instead != nil
	if r.unsynced {
		s.skipping = true
		return s.flush()
	}
	return s.ready()
}

// attempts sends the request until it was answered, or may have run.
func (s *Session) attempts(ctx context.Context, group *upstream.Group, r *request) (upstream.Role, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.MaxWait)
	defer cancel()
	for attempt := 1; ; attempt++ {
		x := &exchange{session: s, request: r, group: group, inTransaction: s.conn != nil, implicit: s.implicit, conn: s.conn, began: len(s.out.bytes)}
		err := x.prepare(ctx)
		if err == nil {
			err = x.run(ctx)
		}
		if err == nil {
			role := x.conn.Role
			return role, s.settle(x)
		}
		if isType(err, errCaller) {
			x.drop()
			return "", err
		}
		r.maybeRan = r.maybeRan || x.mayHaveRun(err)
		again := attempt < maxAttempts && x.repeatable(err) && ctx.Err() == nil
		x.abandon(err)
		if again {
			eventRerun.Log(s.server.Logger, "workspace", s.workspace.Name, "attempt", attempt, "err", err)
			continue
		}
		return "", s.fail(x, err)
	}
}
