package caller

import (
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// mayHaveRun tells whether the attempt may have written something: what is taken for
// a read may write on a primary, unless it is guarded.
func (x *exchange) mayHaveRun(err error) bool {
	if !x.sent || !x.request.runs || isType(err, errReadOnly) {
		return false
	}
	switch x.request.kind {
	case kindBegin, kindBeginReadOnly:
		return false
	case kindRead:
		return x.conn.Role == upstream.Primary && !x.guarded
	}
	return true
}

// repeatable tells whether the request may be sent again: it hasn't run, or it may
// run twice; and the caller has seen nothing of its answer.
func (x *exchange) repeatable(err error) bool {
	if x.inTransaction || x.forwarded {
		return false
	}
	if isType(err, errReadOnly) {
		return !x.request.maybeRan || x.session.settings.idempotent
	}
	if isType(err, errStale) || x.guarded && isType(err, upstream.ErrNoServer) {
		return true
	}
	if !isType(err, upstream.ErrSilent) && !isType(err, upstream.ErrBroken) {
		return false
	}
	switch x.request.kind {
	case kindRead, kindBegin, kindBeginReadOnly:
		return !x.request.maybeRan || x.session.settings.idempotent
	}
	return !x.sent || !x.request.runs || x.session.settings.idempotent
}

// abandon closes the connection of a failed attempt; its answer has no reader now.
func (x *exchange) abandon(err error) {
	o := &x.session.out
	o.takeBack()
	if !x.forwarded {
		o.bytes = o.bytes[:min(x.began, len(o.bytes))]
	}
	if isType(err, errReadOnly) && x.conn != nil {
		x.request.kind = kindWrite
		if x.conn.Role == upstream.Primary && !x.guarded {
			x.group.MarkUnusable(x.conn.Server)
		}
	}
	x.drop()
}

func (x *exchange) drop() {
	x.session.use(nil)
	if x.conn != nil {
		x.conn.Release(false)
	}
	x.session.conn, x.session.implicit, x.session.changes = nil, false, nil
}

// fail tells the caller what became of its request.
func (s *Session) fail(x *exchange, err error) error {
	s.refuse(x.verdict(err))
	if x.inTransaction && !x.request.mayCommit && !x.implicit {
		s.failed = true
	}
	return s.endRefused(x.request)
}

// verdict says of a failed attempt whether the request ran.
func (x *exchange) verdict(err error) error {
	switch {
	case isType(err, upstream.ErrUnconfirmed):
		return err
	case x.request.maybeRan && !(x.inTransaction && !x.request.mayCommit):
		return ErrUnknownOutcome.Wrap(err, "no answer after the statement was sent")
	case errorx.HasTrait(err, upstream.NotExecuted) && !x.sent:
		return err
	case isType(err, errStale), isType(err, errReadOnly):
		return err
	case x.inTransaction && !x.request.mayCommit:
		return ErrTransactionLost.Wrap(err, "the transaction was lost before its commit was sent")
	case x.request.kind == kindRead, x.request.kind == kindBegin, x.request.kind == kindBeginReadOnly, !x.request.runs:
		return err
	}
	return ErrUnknownOutcome.Wrap(err, "no answer after the statement was sent")
}
