package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// transaction is a caller's open transaction. It begins at a server with its first
// statement there, so that a caller's pause after the begin holds no connection.
type transaction struct {
	route    *Route
	readOnly bool
	// arrived is when its begin came.
	arrivedAt clock.Instant
	// idle is how long it may rest.
	idleTimeout time.Duration
	// lease is its connection, nil before the first statement.
	checkout *checkout
	wrote    bool
}

// settleWithin bounds the end of a transaction at the server after its caller has been
// answered; it covers a round trip to the farthest zone many times over.
const rollbackTimeout = 300 * time.Millisecond

func (s *Session) begin(op *operation, b Begin) Answer {
	if s.tx != nil {
		return s.failStatement(BadStatement, "a transaction is open already")
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRateAnswer(op.workspace, wait)
	}
	s.tx = &transaction{route: op.route, readOnly: b.ReadOnly, arrivedAt: op.arrivedAt, idleTimeout: op.configuration.TransactionIdleTimeout}
	return okAnswer
}

// breakTransaction rolls the open transaction back; its caller learns of it with the
// next statement. The connection is settled later.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	if s.tx.checkout != nil {
		s.pendingRollbacks = append(s.pendingRollbacks, s.tx.checkout)
	}
	s.tx, s.transactionFailed = nil, true
}

// answerBroken answers in a transaction that has failed.
func (s *Session) answerInFailedTransaction(op *operation) Answer {
	switch op.request.Statement.(type) {
	case Rollback:
		s.transactionFailed = false
		return okAnswer
	case Commit:
		s.transactionFailed = false
		return Answer{Failure: Aborted, Detail: "the transaction had failed and was rolled back"}
	}
	return Answer{Failure: BadStatement, Detail: "the transaction has failed"}
}

// inTransaction runs a read or write in the open transaction.
func (s *Session) runInTransaction(ctx context.Context, op *operation, writes bool) Answer {
	if writes && s.tx.readOnly {
		return s.failStatement(NotPrimary, "the transaction only reads")
	}
	if op.group == nil {
		return s.failStatement(Busy, "service has no servers yet")
	}
	if a := s.openTransaction(ctx, op); !a.Succeeded() {
		s.failTransaction()
		return s.vm.refund(op, a)
	}
	co := s.tx.checkout
	until := op.deadline
	if attemptEnd := time.Now().Add(s.vm.attemptTimeout(op.route)); attemptEnd.Before(until) {
		until = attemptEnd
	}
	a, err := co.forward(s, op, position.Position{}, until)
	if err != nil {
		co.release(false)
		s.tx.checkout = nil
		s.failTransaction()
		co.recordFailure(err)
		// Its commit was never sent, and a connection that ends rolls back.
		return Answer{Failure: Aborted, Detail: "server " + string(co.server) + ": " + err.Error()}
	}
	if a.Succeeded() {
		s.tx.wrote = s.tx.wrote || writes
		a.Phase = InTransaction
		return a
	}
	if a.Failure == NotPrimary {
		op.group.clearPrimary(co.server, "refused a statement of a transaction")
	}
	s.failTransaction()
	a.Phase = Failed
	return a
}

// open begins the transaction at a server. After a failure nothing of it stands there.
func (s *Session) openTransaction(ctx context.Context, op *operation) Answer {
	if s.tx.checkout != nil {
		return okAnswer
	}
	var co *checkout
	var a Answer
	if s.tx.readOnly && op.route.Consistency != Linearizable {
		readOp := *op
		readOp.arrivedAt = s.tx.arrivedAt
		co, a = s.beginReadOnly(ctx, &readOp)
	} else {
		co, a = s.beginOnPrimary(ctx, op)
	}
	s.tx.checkout = co
	return a
}

// openLeading begins a transaction at the primary, which refuses each of its statements
// once it has been replaced.
func (s *Session) beginOnPrimary(ctx context.Context, op *operation) (*checkout, Answer) {
	for {
		co, refusal := s.checkOutPrimary(ctx, op)
		if co == nil {
			return nil, refusal
		}
		a, err := co.beginAt(s, BeginAt{}, s.attemptDeadline(op))
		if err == nil && a.Succeeded() {
			return co, a
		}
		co.release(err == nil || notSent(err))
		if refusal := s.awaitPrimaryRetry(ctx, op, co, a, err); !refusal.Succeeded() {
			return nil, refusal
		}
	}
}

// leadFailed takes note of a primary that didn't do what hadn't run, and pauses before
// the next attempt; a failure when there is no time for one.
func (s *Session) awaitPrimaryRetry(ctx context.Context, op *operation, co *checkout, a Answer, err error) Answer {
	id := co.server
	switch {
	case err != nil:
		co.recordFailure(err)
	case a.Failure == NotPrimary:
		op.group.clearPrimary(id, "refused to act as primary")
	}
	eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", id, "failure", a.Failure, "err", err)
	if isType(err, ErrBusy) {
		// Its wait would be longer than is left; the caller does better to come back.
		return Answer{Failure: Busy, Detail: err.Error()}
	}
	pause := retryDelay
	if time.Until(op.deadline) < 2*pause {
		return Answer{Failure: Busy, Detail: "no primary took the request in time"}
	}
	clock.Sleep(ctx, pause)
	return okAnswer
}

// retryPause is kept between attempts at a server that was busy or is about to be
// replaced.
const retryDelay = 15 * time.Millisecond

func (s *Session) commit(ctx context.Context, op *operation) Answer {
	if s.tx == nil {
		return Answer{Failure: BadStatement, Detail: "no transaction is open"}
	}
	if op.group == nil {
		s.tx = nil
		return Answer{Failure: Busy, Detail: "service has no servers yet"}
	}
	if a := s.openTransaction(ctx, op); !a.Succeeded() {
		s.tx = nil
		return s.vm.refund(op, a)
	}
	if s.tx.wrote && !op.group.hasQuorum() {
		s.failTransaction()
		s.transactionFailed = false
		return Answer{Failure: Aborted, Detail: "most VMs can't use the primary"}
	}
	tx, co := s.tx, s.tx.checkout
	s.tx = nil
	for {
		a, err := co.forward(s, op, position.Position{}, op.deadline)
		switch {
		case err != nil:
			co.release(false)
			co.recordFailure(err)
			if !tx.wrote {
				return Answer{Failure: Aborted, Detail: err.Error()}
			}
			return Answer{Failure: InDoubt, Detail: "server " + string(co.server) + ": " + err.Error()}
		case a.Failure == Busy && a.Phase == InTransaction && time.Until(op.deadline) > 2*retryDelay:
			clock.Sleep(ctx, retryDelay)
			continue
		case a.Succeeded():
			if tx.wrote {
				s.raiseFloor(op.route.Service, a.Position)
				co.recordPrimary(a)
			}
			co.release(true)
			return a
		}
		if a.Failure == NotPrimary {
			op.group.clearPrimary(co.server, "refused a commit")
		}
		s.pendingRollbacks = append(s.pendingRollbacks, co)
		a.Phase = Idle
		return a
	}
}

func (s *Session) rollback() Answer {
	if s.tx == nil {
		return Answer{Failure: BadStatement, Detail: "no transaction is open"}
	}
	s.failTransaction()
	s.transactionFailed = false
	return okAnswer
}

// settle ends at their servers the transactions that the session has given up.
func (s *Session) rollBackPending() {
	for _, co := range s.pendingRollbacks {
		a, err := co.rollback(time.Now().Add(rollbackTimeout))
		co.release(err == nil && a.Phase == Idle)
	}
	s.pendingRollbacks = nil
}
