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
	kind statementKind
	// sends puts the messages on the connection and gives the steps of the answer.
	send func(c *upstream.Conn) []step
	// runs is false when nothing of it executes, as when a statement is prepared.
	executes bool
	// mayCommit is true when it may end a transaction that began before it.
	mayCommit bool
	// chains is true when it ends a transaction and begins another.
	andChain bool
	// begins are the statements of it that decide the modes of a transaction.
	modeStatements []string
	// unknownModes is true when others of it may.
	unknownModes bool
	// statements are the ones that execute, in order, if they are to be followed.
	statements []string
	// messages are those of an extended request.
	messages []pgproto3.FrontendMessage
	// instead is sent to the caller in place of the server's answer, but for an error.
	replacementAnswer []pgproto3.BackendMessage
	// unsynced requests end with Flush: their answer has no ReadyForQuery.
	endsWithFlush bool
	// widens is true when it may let a read-only transaction write.
	mayAllowWrites bool
	// maybeRan is true once an attempt was sent that may have written something.
	attemptMayHaveWritten bool
}

// perform runs a request outside or inside of a transaction and answers the caller.
func (s *Session) runRequest(ctx context.Context, r *request) error {
	start := time.Now()
	if s.transactionLost {
		return s.runInLostTransaction(ctx, r)
	}
	if s.transactionConn == nil && r.kind == kindEnd {
		r.kind = kindRead
	}
	if r.mayAllowWrites && s.transactionConn != nil && s.transactionConn.Role == upstream.Replica {
		s.refuse(ErrUnsupported.New("a transaction that was begun read only can't be made to write"))
		return s.finishRefused(r)
	}
	group, found := s.server.Upstreams.Group(s.database.Upstream)
	if !found {
		s.refuse(upstream.ErrNoServer.New("upstream %s isn't served here yet", s.database.Upstream))
		return s.finishRefused(r)
	}
	if s.transactionConn == nil && r.executes {
		if err := s.admit(ctx); err != nil {
			s.refuse(err)
			return s.finishRefused(r)
		}
	}
	role, err := s.runWithRetries(ctx, group, r)
	if err != nil {
		return err
	}
	s.server.metrics.recordAnswer(s.workspace.Name, r.kind, role, time.Since(start))
	return nil
}

func (s *Session) admit(ctx context.Context) error {
	if s.server.Limiter == nil {
		return nil
	}
	return s.server.Limiter.Admit(ctx, s.workspace.Name)
}

// endRefused ends the answer to a request that savoryramp refused.
func (s *Session) finishRefused(r *request) error {
	s.transactionLost = s.transactionLost || r.replacementAnswer != nil
	if r.endsWithFlush {
		s.skippingToSync = true
		return s.flush()
	}
	return s.sendReady()
}

// attempts sends the request until it was answered, or may have run.
func (s *Session) runWithRetries(ctx context.Context, group *upstream.Group, r *request) (upstream.Role, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.MaxWait)
	defer cancel()
	for attempt := 1; ; attempt++ {
		x := &exchange{session: s, request: r, group: group, inTransaction: s.transactionConn != nil, implicitTransaction: s.implicitTransaction, conn: s.transactionConn, answerStart: len(s.output.buffer)}
		err := x.acquireConn(ctx)
		if err == nil {
			err = x.run(ctx)
		}
		if err == nil {
			role := x.conn.Role
			return role, s.finishRequest(x)
		}
		if isType(err, errCallerGone) {
			x.releaseConn()
			return "", err
		}
		r.attemptMayHaveWritten = r.attemptMayHaveWritten || x.mayHaveWritten(err)
		retry := attempt < maxAttempts && x.isRetryable(err) && ctx.Err() == nil
		x.discard(err)
		if retry {
			eventRetry.Log(s.server.Logger, "workspace", s.workspace.Name, "attempt", attempt, "err", err)
			continue
		}
		return "", s.reportFailure(x, err)
	}
}
