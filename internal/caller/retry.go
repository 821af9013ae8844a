package caller

import (
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// mayHaveWritten reports whether the failed attempt may have written something. Even a
// statement classified as a read may write on a primary, unless it was wrapped in a
// read-only transaction.
func (x *attempt) mayHaveWritten(err error) bool {
	if !x.sent || !x.request.executes || isType(err, errReadOnly) {
		return false
	}
	switch x.request.kind {
	case kindBegin, kindBeginReadOnly:
		return false
	case kindRead:
		return x.conn.Role == upstream.Primary && !x.wrappedReadOnly
	}
	return true
}

// isRetryable reports whether the request may be sent again: it hasn't run or may run
// twice, and nothing of its answer was sent to the caller.
func (x *attempt) isRetryable(err error) bool {
	if x.inTransaction || x.forwarded {
		return false
	}
	if isType(err, errReadOnly) {
		return !x.request.attemptMayHaveWritten || x.session.proxySettings.idempotent
	}
	if isType(err, errBelowFloor) || x.wrappedReadOnly && isType(err, upstream.ErrNoServer) {
		return true
	}
	if !isType(err, upstream.ErrSilent) && !isType(err, upstream.ErrBroken) {
		return false
	}
	switch x.request.kind {
	case kindRead, kindBegin, kindBeginReadOnly:
		return !x.request.attemptMayHaveWritten || x.session.proxySettings.idempotent
	}
	return !x.sent || !x.request.executes || x.session.proxySettings.idempotent
}

// discard drops the answer of a failed attempt and closes its connection. If a server
// rejected a write, the request counts as a write from then on, and a primary that
// rejects writes is marked as unusable.
func (x *attempt) discard(err error) {
	output := &x.session.output
	output.discardHeld()
	if !x.forwarded {
		output.buffer = output.buffer[:min(x.answerStart, len(output.buffer))]
	}
	if isType(err, errReadOnly) && x.conn != nil {
		x.request.kind = kindWrite
		if x.conn.Role == upstream.Primary && !x.wrappedReadOnly {
			x.group.MarkUnusable(x.conn.Server)
		}
	}
	x.releaseConn()
}

func (x *attempt) releaseConn() {
	x.session.setConnInUse(nil)
	if x.conn != nil {
		x.conn.Release(false)
	}
	x.session.transactionConn, x.session.implicitTransaction, x.session.uncommittedSettings = nil, false, nil
}

// reportFailure sends the caller the error of a failed request.
func (s *Session) reportFailure(x *attempt, err error) error {
	s.refuse(x.outcomeError(err))
	if x.inTransaction && !x.request.mayEndEarlierTransaction && !x.implicitTransaction {
		s.transactionLost = true
	}
	return s.finishRefused(x.request)
}

// outcomeError returns the error for the caller, which says whether the request has
// run.
func (x *attempt) outcomeError(err error) error {
	switch {
	case isType(err, upstream.ErrUnconfirmed):
		return err
	case x.request.attemptMayHaveWritten && !(x.inTransaction && !x.request.mayEndEarlierTransaction):
		return ErrUnknownOutcome.Wrap(err, "no answer after the statement was sent")
	case errorx.HasTrait(err, upstream.NotExecuted) && !x.sent:
		return err
	case isType(err, errBelowFloor), isType(err, errReadOnly):
		return err
	case x.inTransaction && !x.request.mayEndEarlierTransaction:
		return ErrTransactionLost.Wrap(err, "the transaction was lost before its commit was sent")
	case x.request.kind == kindRead, x.request.kind == kindBegin, x.request.kind == kindBeginReadOnly, !x.request.executes:
		return err
	}
	return ErrUnknownOutcome.Wrap(err, "no answer after the statement was sent")
}
