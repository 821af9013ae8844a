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
	arrived clock.Instant
	// idle is how long it may rest.
	idle time.Duration
	// lease is its connection, nil before the first statement.
	lease *lease
	wrote bool
}

// settleWithin bounds the end of a transaction at the server after its caller has been
// answered; it covers a round trip to the farthest zone many times over.
const settleWithin = 300 * time.Millisecond

func (s *Session) begin(op *operation, b Begin) Answer {
	if s.tx != nil {
		return s.refuse(BadStatement, "a transaction is open already")
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRate(op.workspace, wait)
	}
	s.tx = &transaction{route: op.route, readOnly: b.ReadOnly, arrived: op.arrived, idle: op.configuration.TransactionIdle}
	return done
}

// breakTransaction rolls the open transaction back; its caller learns of it with the
// next statement. The connection is settled later.
func (s *Session) breakTransaction() {
	if s.tx == nil {
		return
	}
	if s.tx.lease != nil {
		s.unsettled = append(s.unsettled, s.tx.lease)
	}
	s.tx, s.broken = nil, true
}

// answerBroken answers in a transaction that has failed.
func (s *Session) answerBroken(op *operation) Answer {
	switch op.request.Statement.(type) {
	case Rollback:
		s.broken = false
		return done
	case Commit:
		s.broken = false
		return Answer{Failure: Aborted, Detail: "the transaction had failed and was rolled back"}
	}
	return Answer{Failure: BadStatement, Detail: "the transaction has failed"}
}

// inTransaction runs a read or write in the open transaction.
func (s *Session) inTransaction(ctx context.Context, op *operation, writes bool) Answer {
	if writes && s.tx.readOnly {
		return s.refuse(NotPrimary, "the transaction only reads")
	}
	if op.group == nil {
		return s.refuse(Busy, "service has no servers yet")
	}
	if a := s.open(ctx, op); !a.Succeeded() {
		s.breakTransaction()
		return s.vm.refund(op, a)
	}
	l := s.tx.lease
	until := op.deadline
	if patience := time.Now().Add(s.vm.patience(op.route)); patience.Before(until) {
		until = patience
	}
	a, err := l.forward(s, op, position.Position{}, until)
	if err != nil {
		l.give(false)
		s.tx.lease = nil
		s.breakTransaction()
		l.failed(err)
		// Its commit was never sent, and a connection that ends rolls back.
		return Answer{Failure: Aborted, Detail: "server " + string(l.server) + ": " + err.Error()}
	}
	if a.Succeeded() {
		s.tx.wrote = s.tx.wrote || writes
		a.Phase = InTransaction
		return a
	}
	if a.Failure == NotPrimary {
		op.group.deposed(l.server, "refused a statement of a transaction")
	}
	s.breakTransaction()
	a.Phase = Failed
	return a
}

// open begins the transaction at a server. After a failure nothing of it stands there.
func (s *Session) open(ctx context.Context, op *operation) Answer {
	if s.tx.lease != nil {
		return done
	}
	var l *lease
	var a Answer
	if s.tx.readOnly && op.route.Consistency != Linearizable {
		read := *op
		read.arrived = s.tx.arrived
		l, a = s.openReading(ctx, &read)
	} else {
		l, a = s.openLeading(ctx, op)
	}
	s.tx.lease = l
	return a
}

// openLeading begins a transaction at the primary, which refuses each of its statements
// once it has been replaced.
func (s *Session) openLeading(ctx context.Context, op *operation) (*lease, Answer) {
	for {
		l, refusal := s.leaseLead(ctx, op)
		if l == nil {
			return nil, refusal
		}
		a, err := l.beginAt(s, BeginAt{}, s.attemptUntil(op))
		if err == nil && a.Succeeded() {
			return l, a
		}
		l.give(err == nil || notSent(err))
		if refusal := s.leadFailed(ctx, op, l, a, err); !refusal.Succeeded() {
			return nil, refusal
		}
	}
}

// leadFailed takes note of a primary that didn't do what hadn't run, and pauses before
// the next attempt; a failure when there is no time for one.
func (s *Session) leadFailed(ctx context.Context, op *operation, l *lease, a Answer, err error) Answer {
	id := l.server
	switch {
	case err != nil:
		l.failed(err)
	case a.Failure == NotPrimary:
		op.group.deposed(id, "refused to act as primary")
	}
	eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", id, "failure", a.Failure, "err", err)
	if isType(err, ErrBusy) {
		// Its wait would be longer than is left; the caller does better to come back.
		return Answer{Failure: Busy, Detail: err.Error()}
	}
	pause := retryPause
	if time.Until(op.deadline) < 2*pause {
		return Answer{Failure: Busy, Detail: "no primary took the request in time"}
	}
	clock.Sleep(ctx, pause)
	return done
}

// retryPause is kept between attempts at a server that was busy or is about to be
// replaced.
const retryPause = 15 * time.Millisecond

func (s *Session) commit(ctx context.Context, op *operation) Answer {
	if s.tx == nil {
		return Answer{Failure: BadStatement, Detail: "no transaction is open"}
	}
	if op.group == nil {
		s.tx = nil
		return Answer{Failure: Busy, Detail: "service has no servers yet"}
	}
	if a := s.open(ctx, op); !a.Succeeded() {
		s.tx = nil
		return s.vm.refund(op, a)
	}
	if s.tx.wrote && !op.group.endorsed() {
		s.breakTransaction()
		s.broken = false
		return Answer{Failure: Aborted, Detail: "most VMs can't use the primary"}
	}
	tx, l := s.tx, s.tx.lease
	s.tx = nil
	for {
		a, err := l.forward(s, op, position.Position{}, op.deadline)
		switch {
		case err != nil:
			l.give(false)
			l.failed(err)
			if !tx.wrote {
				return Answer{Failure: Aborted, Detail: err.Error()}
			}
			return Answer{Failure: InDoubt, Detail: "server " + string(l.server) + ": " + err.Error()}
		case a.Failure == Busy && a.Phase == InTransaction && time.Until(op.deadline) > 2*retryPause:
			clock.Sleep(ctx, retryPause)
			continue
		case a.Succeeded():
			if tx.wrote {
				s.grow(op.route.Service, a.Position)
				l.proveLead(a)
			}
			l.give(true)
			return a
		}
		if a.Failure == NotPrimary {
			op.group.deposed(l.server, "refused a commit")
		}
		s.unsettled = append(s.unsettled, l)
		a.Phase = Idle
		return a
	}
}

func (s *Session) rollback() Answer {
	if s.tx == nil {
		return Answer{Failure: BadStatement, Detail: "no transaction is open"}
	}
	s.breakTransaction()
	s.broken = false
	return done
}

// settle ends at their servers the transactions that the session has given up.
func (s *Session) settle() {
	for _, l := range s.unsettled {
		a, err := l.abandon(time.Now().Add(settleWithin))
		l.give(err == nil && a.Phase == Idle)
	}
	s.unsettled = nil
}
