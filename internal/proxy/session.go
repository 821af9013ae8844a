package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Caller is the connection of a caller, in the caller's protocol. Only Interrupt and Close are
// safe for concurrent use.
type Caller interface {
	// ReadStartup reads the database name and the key that the caller starts its session with.
	ReadStartup(deadline time.Time) (DatabaseName, Key, error)
	// Receive reads the next request. It returns ErrTimeout if deadline passes or Interrupt is
	// called before the first byte of a request arrives. A zero deadline means no limit.
	Receive(deadline time.Time) (Request, error)
	// Reply sends an answer completely.
	Reply(a Answer) error
	// Reject ends the startup or the session with a failure.
	Reject(f Failure, detail string)
	// HasBufferedInput reports whether any of the next request has been read.
	HasBufferedInput() bool
	// Interrupt makes a waiting Receive return ErrTimeout. It is safe for concurrent use.
	Interrupt()
	Close()
}

// startTimeout is the time limit for a caller's startup.
const startTimeout = 2 * time.Second

// Session serves the connection of one caller.
type Session struct {
	vm       *VM
	caller   Caller
	database DatabaseName
	key      Key
	// access is what the session's latest operation began with.
	access access

	// profile contains the values and prepared statements whose setting was acknowledged to the
	// caller.
	profile profile
	// floors has the position after the session's latest commit in each service; positions
	// never decrease.
	floors map[ServiceName]position.Position
	// tx is the open transaction, or nil.
	tx *transaction
	// transactionFailed is true after a failure in a transaction, until the caller ends it. tx
	// is nil then.
	transactionFailed bool
	// pendingRollbacks are checkouts whose abandoned transaction still has to be rolled back on
	// the server.
	pendingRollbacks []*checkout
	// refused is the session's last request if a server's queue refused it.
	refused refusedRequest
	// checkouts has the connections that the session has checked out, and some that it has released since.
	checkouts []*checkout
	// isServing is true from the arrival of a request to the end of its answer, also if it ends with a panic.
	isServing bool
	// busy is true from the end of a Receive until the session is about to wait for the next
	// request.
	busy atomic.Bool
}

// operation is the context in which a statement runs.
type operation struct {
	configuration *Configuration
	route         *Route
	workspace     *Workspace
	// group is nil if this VM has no group for the route's service.
	group *Group
	// arrivedAt is when the statement had been read completely. Staleness bounds count from it,
	// which is never too lenient because the statement began to arrive earlier.
	arrivedAt clock.Instant
	// deadline is the time limit of the statement.
	deadline time.Time
	request  Request
	// firstDeadline is the deadline of an earlier request of the session that was refused, if the
	// caller returned when it was told to.
	firstDeadline time.Time
	// maybeSent is true once a server may have received the caller's statement.
	maybeSent bool
	// isRevoked is true if the operation's transaction was rolled back because its key was withdrawn.
	isRevoked bool
	// anyRegion is true for the VM's own commands, which may go to servers in any region.
	anyRegion bool
}

func (s *Session) run(ctx context.Context) {
	defer s.caller.Close()
	if !s.acceptCaller() {
		return
	}
	s.vm.addSession(s)
	defer s.vm.removeSession(s)
	defer s.releaseAll()
	if s.caller.Reply(Answer{Phase: Idle}) != nil {
		return
	}
	for s.serveNext(ctx) {
	}
}

// acceptCaller reads the caller's startup and reports whether the caller may start a session.
func (s *Session) acceptCaller() bool {
	database, key, err := s.caller.ReadStartup(time.Now().Add(startTimeout))
	if err != nil {
		return false
	}
	s.database, s.key = database, key
	c := s.vm.Configuration()
	if c == nil {
		s.caller.Reject(Busy, "no configuration has been loaded yet")
		return false
	}
	if _, f := s.authorize(c); f != NoFailure {
		eventStartRefused.Log(s.vm.Logger, "database", database, "configuration", c.Version, "outcome", f)
		s.caller.Reject(f, string(database))
		return false
	}
	return true
}

// serveNext serves one request. It returns false when the session has ended.
func (s *Session) serveNext(ctx context.Context) bool {
	var deadline time.Time
	if s.tx != nil {
		deadline = time.Now().Add(s.tx.idleTimeout)
	}
	s.busy.Store(false)
	if s.shouldClose() {
		return false
	}
	r, err := s.caller.Receive(deadline)
	s.busy.Store(true)
	if isType(err, ErrTimeout) {
		return s.handleNoRequest(deadline)
	}
	if err != nil {
		return false
	}
	s.isServing = true
	goesOn := s.serveRequest(ctx, r)
	s.isServing = false
	return goesOn
}

// shouldClose reports whether the session must be closed and is at a point where that is safe.
func (s *Session) shouldClose() bool {
	if s.tx != nil || s.transactionFailed || s.caller.HasBufferedInput() {
		return false
	}
	if s.vm.IsDraining() {
		return true
	}
	c := s.vm.Configuration()
	if _, f := s.authorize(c); f == UnknownKey {
		eventKeyWithdrawn.Log(s.vm.Logger, "database", s.database, "configuration", c.Version, "outcome", "session closed")
		return true
	}
	return false
}

// handleNoRequest handles a Receive that returned without a request. It fails the open
// transaction if that was idle for too long or a drain has stopped waiting for transactions, and
// rolls it back on its server, where it may hold locks. It always returns true; serveNext then
// checks whether the session has to close.
func (s *Session) handleNoRequest(deadline time.Time) bool {
	if s.tx == nil || time.Now().Before(deadline) && !s.vm.cancelTransactions.Load() {
		return true
	}
	eventTransactionIdle.Log(s.vm.Logger, "database", s.database, "idle", s.tx.idleTimeout, "draining", s.vm.IsDraining(), "outcome", "rolled back")
	s.failTransaction()
	s.rollBackPending()
	return true
}

// serveRequest serves a request, sends its answer and rolls back abandoned transactions. It
// returns false when the session has ended.
func (s *Session) serveRequest(ctx context.Context, r Request) bool {
	op := operation{arrivedAt: clock.Now(), request: r, configuration: s.vm.Configuration()}
	began := time.Now()
	if f := s.updateAccess(&op); f != NoFailure {
		s.failTransaction()
		eventRequestRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "outcome", f)
		_ = s.caller.Reply(Answer{Failure: f, Detail: string(s.database), Phase: Idle})
		return false
	}
	if s.vm.isIsolated() && s.tx == nil {
		eventRequestRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "isolated", s.vm.IsolatedFor(), "outcome", Busy)
		return s.caller.Reply(Answer{Failure: Busy, Detail: "the VM can't learn which keys are valid", Phase: s.phase()}) == nil
	}
	op.route, op.workspace = s.access.route, s.access.workspace
	op.deadline = began.Add(op.route.StatementTimeout)
	op.group = s.vm.group(op.route.Service)
	op.firstDeadline = s.refused.take(began)
	var answer Answer
	if s.vm.endsBefore(op.deadline) {
		answer = s.refuseDuringDrain(&op)
	} else {
		answer = s.execute(ctx, &op)
	}
	if answer.Phase == "" {
		answer.Phase = s.phase()
	}
	s.vm.metrics.recordAnswer(op.route, answer, time.Since(began))
	s.refused.note(answer, op.deadline)
	if !answer.Succeeded() {
		eventRequestFailed.Log(s.vm.Logger, "request", r.ID, "database", s.database, "workspace", op.workspace.Name,
			"took", time.Since(began), "outcome", answer.Failure, "detail", answer.Detail)
	}
	err := s.caller.Reply(answer)
	s.rollBackPending()
	return err == nil
}

// refuseDuringDrain answers a request that may not be answered before the VM ends. It rolls the open transaction back.
func (s *Session) refuseDuringDrain(op *operation) Answer {
	const detail = "the VM is shutting down"
	if s.tx == nil && !s.transactionFailed {
		return Answer{Failure: Busy, Detail: detail}
	}
	wasOpen := s.tx != nil
	s.failTransaction()
	switch op.request.Statement.(type) {
	case Commit, Rollback:
		return s.answerInFailedTransaction(op)
	}
	if wasOpen {
		return Answer{Failure: Aborted, Detail: detail}
	}
	return s.answerInFailedTransaction(op)
}

func (s *Session) phase() Phase {
	switch {
	case s.transactionFailed:
		return Failed
	case s.tx != nil:
		return InTransaction
	}
	return Idle
}

// execute runs a statement and returns its answer.
func (s *Session) execute(ctx context.Context, op *operation) Answer {
	if s.transactionFailed {
		return s.answerInFailedTransaction(op)
	}
	switch statement := op.request.Statement.(type) {
	case Set:
		s.profile.values[statement.Name] = statement.Value
		return okAnswer
	case Prepare:
		s.profile.plans[statement.Name] = statement.Plan
		return okAnswer
	case Deallocate:
		if _, found := s.profile.plans[statement.Name]; !found {
			return Answer{Failure: Unprepared, Detail: string(statement.Name)}
		}
		delete(s.profile.plans, statement.Name)
		return okAnswer
	case Begin:
		return s.begin(ctx, op, statement)
	case Commit:
		return s.commit(ctx, op)
	case Rollback:
		return s.rollback()
	case Read:
		return s.runStatement(ctx, op, false)
	case Write:
		return s.runStatement(ctx, op, true)
	case Execute:
		plan, found := s.profile.plans[statement.Name]
		if !found {
			return s.failStatement(Unprepared, string(statement.Name))
		}
		return s.runStatement(ctx, op, plan.Writes)
	case Malformed:
		return s.failStatement(BadStatement, statement.Reason)
	}
	return s.failStatement(BadStatement, "unknown kind of statement")
}

// okAnswer is the successful answer to a statement that involves no server. Functions
// whose Answer only reports success or failure, such as prepareRetryOnPrimary, return it on
// success.
var okAnswer = Answer{Digest: "-"}

// failStatement refuses a statement that wasn't sent to a server, and fails the open
// transaction.
func (s *Session) failStatement(f Failure, detail string) Answer {
	s.failTransaction()
	return Answer{Failure: f, Detail: detail}
}

// runStatement runs a read or write, in the open transaction if there is one.
func (s *Session) runStatement(ctx context.Context, op *operation, writes bool) Answer {
	if s.tx != nil {
		return s.runInTransaction(ctx, op, writes)
	}
	if a := s.vm.awaitStart(ctx, op); !a.Succeeded() {
		return a
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRateAnswer(op.workspace, wait)
	}
	if op.group == nil {
		return s.vm.refund(op, Answer{Failure: Busy, Detail: "the service has no servers yet"})
	}
	if writes {
		return s.vm.refund(op, s.write(ctx, op))
	}
	return s.vm.refund(op, s.read(ctx, op))
}

func overRateAnswer(w *Workspace, wait time.Duration) Answer {
	return Answer{Failure: Busy, Detail: retryAfterText(wait) + " workspace " + string(w.Name) + " exceeds its rate"}
}

// retryAfterText formats the part of a refusal that states when to retry.
func retryAfterText(d time.Duration) string {
	return "retry-after-ms=" + itoa(int64((d+time.Millisecond-1)/time.Millisecond))
}

// raiseFloor raises the session's floor to the position after its own commit.
func (s *Session) raiseFloor(service ServiceName, p position.Position) {
	s.floors[service] = position.Max(s.floors[service], p)
}

// releaseAll rolls back the session's transactions and releases their connections. After a panic it closes them, since
// what was sent on them isn't known.
func (s *Session) releaseAll() {
	s.failTransaction()
	if s.isServing {
		s.closeCheckouts()
		return
	}
	s.rollBackPending()
}
