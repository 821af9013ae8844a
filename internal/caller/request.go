package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxAttempts limits how often a request is sent. It is sent again only if it hasn't
// run or may run twice.
const maxAttempts = 4

// request is a Query message, or a batch of extended-protocol messages up to Sync or
// Flush.
type request struct {
	kind statementKind
	// send sends the messages on a connection and returns the replies to expect.
	send func(c *upstream.Conn) []step
	// executes is false if no statement is executed, as when one is only prepared.
	executes bool
	// mayEndEarlierTransaction is set if the request may end, by COMMIT or ROLLBACK, a
	// transaction that began before it.
	mayEndEarlierTransaction bool
	// andChain is set if it ends a transaction with AND CHAIN.
	andChain bool
	// modeStatements are its statements that set transaction modes.
	modeStatements []string
	// unknownModes is set if other statements may set transaction modes, too.
	unknownModes bool
	// statements are the executed statements, in order; nil if settings needn't be
	// tracked.
	statements []string
	// messages are the messages of a batch of the extended protocol.
	messages []pgproto3.FrontendMessage
	// replacementAnswer is sent to the caller in place of the server's answer, unless
	// that is an error.
	replacementAnswer []pgproto3.BackendMessage
	// endsWithFlush is set if a Flush ends the batch: the answer has no ReadyForQuery.
	endsWithFlush bool
	// mayAllowWrites is set if it may switch a read-only transaction to read-write.
	mayAllowWrites bool
	// attemptMayHaveWritten is set once a failed attempt may have written something.
	attemptMayHaveWritten bool
}

// runRequest runs a request, inside or outside of a transaction, and answers the
// caller.
func (s *Session) runRequest(ctx context.Context, r *request) error {
	start := time.Now()
	if s.transactionConn != nil && r.kind != kindEnd && s.server.endsTransactions.Load() {
		// A statement that is still running when the drain ends is cut off.
		return s.endForShutdown()
	}
	if s.transactionLost {
		return s.runInLostTransaction(ctx, r)
	}
	if s.transactionConn == nil && r.kind == kindEnd {
		r.kind = kindRead
	}
	if r.mayAllowWrites && s.transactionConn != nil && s.transactionConn.Role == upstream.Replica {
		s.refuse(ErrUnsupported.New("a read-only transaction can't be changed to read-write"))
		return s.finishRefused(r)
	}
	group, found := s.server.Upstreams.Group(s.database.Upstream)
	if !found {
		s.refuse(upstream.ErrNoServer.New("upstream %s isn't available on this VM yet", s.database.Upstream))
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

// finishRefused ends the answer to a request that the proxy refused.
func (s *Session) finishRefused(r *request) error {
	s.transactionLost = s.transactionLost || r.replacementAnswer != nil
	if r.endsWithFlush {
		s.skippingToSync = true
		return s.flush()
	}
	return s.sendReady()
}

// runWithRetries sends the request until it is answered, or may have run, or
// maxAttempts is reached.
func (s *Session) runWithRetries(ctx context.Context, group *upstream.Group, r *request) (upstream.Role, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.MaxWait)
	defer cancel()
	for number := 1; ; number++ {
		x := &attempt{session: s, request: r, group: group, inTransaction: s.transactionConn != nil, implicitTransaction: s.implicitTransaction, conn: s.transactionConn, answerStart: len(s.output.buffer)}
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
		retry := number < maxAttempts && x.isRetryable(err) && ctx.Err() == nil
		x.discard(err)
		if retry {
			eventRetry.Log(s.server.Logger, "workspace", s.workspace.Name, "attempt", number, "err", err)
			continue
		}
		return "", s.reportFailure(x, err)
	}
}
