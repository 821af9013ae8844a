package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// transaction is a caller's open transaction. It begins on a server only with its first read or
// write, or with its commit, so that it holds no connection if the caller pauses after the begin.
type transaction struct {
	route    *Route
	readOnly bool
	// arrivedAt is when the caller's begin statement was read.
	arrivedAt clock.Instant
	// idleTimeout is how long the transaction may be idle.
	idleTimeout time.Duration
	// checkout is the transaction's connection, or nil before it begins on a server.
	checkout *checkout
	// wrote is true once a write of the transaction has succeeded.
	wrote bool
}

// isOnReplica reports whether the transaction may run on any server. Otherwise each of its statements shows that the
// server acts as primary.
func (t *transaction) isOnReplica() bool { return t.readOnly && t.route.Consistency != Linearizable }

// rollbackTimeout limits the rollback of an abandoned transaction on the server. It is many
// times the round trip to the farthest zone.
const rollbackTimeout = 300 * time.Millisecond

func (s *Session) begin(ctx context.Context, op *operation, b Begin) Answer {
	if s.tx != nil {
		return s.failStatement(BadStatement, "a transaction is already open")
	}
	if a := s.vm.awaitStart(ctx, op); !a.Succeeded() {
		return a
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRateAnswer(op.workspace, wait)
	}
	s.tx = &transaction{route: op.route, readOnly: b.ReadOnly, arrivedAt: op.arrivedAt, idleTimeout: op.configuration.TransactionIdleTimeout}
	return okAnswer
}

// failTransaction abandons the open transaction, if there is one, and makes the session refuse
// statements until the caller ends it. rollBackPending rolls it back on the server.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	if s.tx.checkout != nil {
		s.pendingRollbacks = append(s.pendingRollbacks, s.tx.checkout)
	}
	s.tx, s.transactionFailed = nil, true
}

// answerInFailedTransaction answers a statement in a transaction that has failed.
func (s *Session) answerInFailedTransaction(op *operation) Answer {
	switch op.request.Statement.(type) {
	case Rollback:
		s.transactionFailed = false
		return okAnswer
	case Commit:
		s.transactionFailed = false
		return Answer{Failure: Aborted, Detail: "the transaction failed and was rolled back"}
	}
	if op.isRevoked {
		return Answer{Failure: Aborted, Detail: "the key of the transaction was withdrawn from its workspace"}
	}
	return Answer{Failure: BadStatement, Detail: "the transaction has failed"}
}

// runInTransaction runs a read or write in the open transaction.
func (s *Session) runInTransaction(ctx context.Context, op *operation, writes bool) Answer {
	if writes && s.tx.readOnly {
		return s.failStatement(NotPrimary, "the transaction is read-only")
	}
	if op.group == nil {
		return s.failStatement(Busy, "the service has no servers yet")
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
		// The commit wasn't sent, and the server rolls back when the connection closes.
		return Answer{Failure: Aborted, Detail: "server " + string(co.server) + ": " + err.Error()}
	}
	if a.Succeeded() {
		if !s.tx.isOnReplica() {
			co.markPrimary(a)
		}
		s.tx.wrote = s.tx.wrote || writes
		a.Phase = InTransaction
		return a
	}
	if a.Failure == NotPrimary {
		op.group.clearPrimary(co.server, "refused a statement in a transaction")
	}
	s.failTransaction()
	a.Phase = Failed
	return a
}

// openTransaction begins the transaction on a server unless it has begun already. After a
// failure no transaction is open on a server.
func (s *Session) openTransaction(ctx context.Context, op *operation) Answer {
	if s.tx.checkout != nil {
		return okAnswer
	}
	var co *checkout
	var a Answer
	if s.tx.isOnReplica() {
		readOp := *op
		readOp.arrivedAt = s.tx.arrivedAt
		co, a = s.beginReadOnly(ctx, &readOp)
	} else {
		co, a = s.beginOnPrimary(ctx, op)
	}
	s.tx.checkout = co
	return a
}

// beginOnPrimary begins a transaction on the primary. If the server is deposed later, it refuses
// the remaining statements; where a promotion doesn't depose the old primary, the quorum check
// before the commit covers transactions that wrote.
func (s *Session) beginOnPrimary(ctx context.Context, op *operation) (*checkout, Answer) {
	for {
		d := op.demand()
		d.mayCommit = !s.tx.readOnly
		co, refusal := s.checkOutPrimary(ctx, op, d)
		if co == nil {
			return nil, refusal
		}
		a, err := co.beginAt(s, BeginAt{}, s.attemptDeadlineAt(op, co.server))
		if err == nil && a.Succeeded() {
			return co, a
		}
		co.release(notSent(err) || err == nil && a.Phase == Idle)
		if refusal := s.prepareRetryOnPrimary(ctx, op, co, a, err); !refusal.Succeeded() {
			return nil, refusal
		}
	}
}

// prepareRetryOnPrimary records a failed attempt at a statement on the primary and pauses before the
// next one. It returns a failure if no time is left for that, or if capacity is exhausted.
func (s *Session) prepareRetryOnPrimary(ctx context.Context, op *operation, co *checkout, a Answer, err error) Answer {
	id := co.server
	switch {
	case err != nil:
		co.recordFailure(err)
	case a.Failure == NotPrimary:
		op.group.clearPrimary(id, "refused to act as primary")
	}
	eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", id, "failure", a.Failure, "err", err)
	if isType(err, ErrBusy) {
		// No connection is expected in the time left, or too many transactions are idle, so the
		// caller should retry later.
		return busyAnswer(err)
	}
	pause := retryDelay
	if time.Until(op.deadline) < 2*pause {
		return Answer{Failure: Busy, Detail: "no primary accepted the request in time"}
	}
	clock.Sleep(ctx, pause)
	return okAnswer
}

// retryDelay is the pause between attempts on a server that is busy or about to be replaced.
const retryDelay = 15 * time.Millisecond

func (s *Session) commit(ctx context.Context, op *operation) Answer {
	if s.tx == nil {
		return Answer{Failure: BadStatement, Detail: "no transaction is open"}
	}
	if op.group == nil {
		s.tx = nil
		return Answer{Failure: Busy, Detail: "the service has no servers yet"}
	}
	if a := s.openTransaction(ctx, op); !a.Succeeded() {
		s.tx = nil
		return s.vm.refund(op, a)
	}
	if s.tx.wrote && !op.group.hasQuorum() {
		s.failTransaction()
		s.transactionFailed = false
		return Answer{Failure: Aborted, Detail: "no majority of the verifier VMs can use the primary"}
	}
	tx, co := s.tx, s.tx.checkout
	s.tx = nil
	for {
		a, err := co.forward(s, op, position.Position{}, op.deadline)
		switch {
		case err != nil:
			co.release(false)
			co.recordFailure(err)
			if !tx.wrote || isType(err, ErrBusy) || isType(err, ErrNoServer) || isType(err, ErrUnsettled) {
				// A commit that waited in vain for its turn, or whose server may not be used, wasn't sent.
				return Answer{Failure: Aborted, Detail: err.Error()}
			}
			return Answer{Failure: InDoubt, Detail: "server " + string(co.server) + ": " + err.Error()}
		case a.Failure == Busy && a.Phase == InTransaction && time.Until(op.deadline) > 2*retryDelay:
			clock.Sleep(ctx, retryDelay)
			continue
		case a.Succeeded():
			if tx.wrote {
				s.raiseFloor(op.route.Service, a.Position)
				co.markPrimary(a)
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

// rollBackPending rolls back the session's abandoned transactions on their servers and releases
// the connections. It closes those where the rollback fails.
func (s *Session) rollBackPending() {
	for _, co := range s.pendingRollbacks {
		a, err := co.rollback(time.Now().Add(rollbackTimeout))
		co.release(err == nil && a.Phase == Idle)
	}
	s.pendingRollbacks = nil
}
