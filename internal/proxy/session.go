package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Caller is a caller's connection, in the caller's protocol. One task uses it at a time,
// but for Interrupt.
type Caller interface {
	// Start reads what the caller connects to and its key.
	ReadStartup(deadline time.Time) (DatabaseName, Key, error)
	// Receive reads the next request, until deadline (zero: none). ErrSilent when that
	// passed or Interrupt was called before a byte of a request came.
	Receive(deadline time.Time) (Request, error)
	// Reply sends an answer whole.
	Reply(a Answer) error
	// Reject ends the start, or the session, with a failure.
	Reject(f Failure, detail string)
	// Pending tells whether a part of a further request has come.
	HasPending() bool
	// Interrupt makes a Receive that waits return; other tasks may call it.
	Interrupt()
	Close()
}

// startWithin is how long callers wait for the end of their start.
const startTimeout = 2 * time.Second

// Session serves one caller's connection.
type Session struct {
	vm       *VM
	caller   Caller
	database DatabaseName
	key      Key

	// profile is what the caller set and prepared, as acknowledged.
	profile profile
	// floors are how far the session's own commits reached; they never fall.
	floors map[ServiceName]position.Position
	// tx is the open transaction, nil outside of one.
	tx *transaction
	// broken transactions take nothing but their end; tx is nil then.
	transactionFailed bool
	// unsettled leases have a transaction that was given up but not yet ended.
	pendingRollbacks []*checkout
	// busy is true from a request's arrival to the end of its answer.
	busy atomic.Bool
}

// operation is what a statement is run with.
type operation struct {
	configuration *Configuration
	route         *Route
	workspace     *Workspace
	group         *Group
	// arrived is when the operation's first byte had come at the latest.
	arrivedAt clock.Instant
	// deadline of the statement.
	deadline time.Time
	request  Request
	// sent is true once a statement may have reached a server.
	maybeSent bool
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

// start lets the caller in, or not.
func (s *Session) acceptCaller() bool {
	database, key, err := s.caller.ReadStartup(time.Now().Add(startTimeout))
	if err != nil {
		return false
	}
	s.database, s.key = database, key
	c := s.vm.Configuration()
	if c == nil {
		s.caller.Reject(Busy, "no configuration yet")
		return false
	}
	if _, _, f := s.authorize(c); f != NoFailure {
		eventStartRefused.Log(s.vm.Logger, "database", database, "configuration", c.Version, "outcome", f)
		s.caller.Reject(f, string(database))
		return false
	}
	return true
}

// allowed looks up route and workspace.
func (s *Session) authorize(c *Configuration) (*Route, *Workspace, Failure) {
	route := c.Routes[s.database]
	if route == nil {
		return nil, nil, NoDatabase
	}
	if w := c.Keys[s.key]; w != nil {
		return route, w, NoFailure
	}
	if route.Public {
		return route, anonymousWorkspace, NoFailure
	}
	return nil, nil, UnknownKey
}

// openWorkspace has the callers of public routes that bring no key.
var anonymousWorkspace = &Workspace{Name: "-"}

// next serves one request; false at the session's end.
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
	return s.serveRequest(ctx, r)
}

// over tells whether the session may and must end here.
func (s *Session) shouldClose() bool {
	if s.tx != nil || s.transactionFailed || s.caller.HasPending() {
		return false
	}
	if s.vm.IsDraining() {
		return true
	}
	c := s.vm.Configuration()
	_, _, f := s.authorize(c)
	if f == UnknownKey {
		eventKeyWithdrawn.Log(s.vm.Logger, "database", s.database, "configuration", c.Version, "outcome", "session closed")
		return true
	}
	return false
}

// rested handles a Receive that ended without a request.
func (s *Session) handleNoRequest(deadline time.Time) bool {
	if s.tx == nil || time.Now().Before(deadline) && !s.vm.cancelTransactions.Load() {
		return true
	}
	eventTransactionIdle.Log(s.vm.Logger, "database", s.database, "idle", s.tx.idleTimeout, "draining", s.vm.IsDraining(), "outcome", "rolled back")
	s.failTransaction()
	return true
}

// handle serves one request; false at the session's end.
func (s *Session) serveRequest(ctx context.Context, r Request) bool {
	op := operation{arrivedAt: clock.Now(), request: r, configuration: s.vm.Configuration()}
	began := time.Now()
	var f Failure
	op.route, op.workspace, f = s.authorize(op.configuration)
	if f == UnknownKey || f == NoDatabase && s.tx == nil {
		s.failTransaction()
		eventRequestRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "outcome", f)
		s.caller.Reject(f, string(s.database))
		return false
	}
	if s.vm.isIsolated() && s.tx == nil {
		eventRequestRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "isolated", s.vm.IsolatedFor(), "outcome", Busy)
		return s.caller.Reply(Answer{Failure: Busy, Detail: "this VM can't learn which keys are valid", Phase: s.phase()}) == nil
	}
	if s.tx != nil {
		op.route = s.tx.route
	}
	op.deadline = began.Add(op.route.StatementTimeout)
	op.group = s.vm.group(op.route.Service)
	answer := s.execute(ctx, &op)
	if answer.Phase == "" {
		answer.Phase = s.phase()
	}
	s.vm.metrics.recordAnswer(op.route, answer, time.Since(began))
	if !answer.Succeeded() {
		eventRequestFailed.Log(s.vm.Logger, "request", r.ID, "database", s.database, "workspace", op.workspace.Name,
			"took", time.Since(began), "outcome", answer.Failure, "detail", answer.Detail)
	}
	err := s.caller.Reply(answer)
	s.rollBackPending()
	return err == nil
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

// answer decides one statement.
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
		return s.begin(op, statement)
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
	return s.failStatement(BadStatement, "unknown statement")
}

// done answers a statement that no server needs to see.
var okAnswer = Answer{Digest: "-"}

// refuse fails a statement that reached no server; an open transaction fails with it.
func (s *Session) failStatement(f Failure, detail string) Answer {
	s.failTransaction()
	return Answer{Failure: f, Detail: detail}
}

// runOne runs a statement in the open transaction, or on its own.
func (s *Session) runStatement(ctx context.Context, op *operation, writes bool) Answer {
	if s.tx != nil {
		return s.runInTransaction(ctx, op, writes)
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRateAnswer(op.workspace, wait)
	}
	if op.group == nil {
		return s.vm.refund(op, Answer{Failure: Busy, Detail: "service has no servers yet"})
	}
	if writes {
		return s.vm.refund(op, s.write(ctx, op))
	}
	return s.vm.refund(op, s.read(ctx, op))
}

func overRateAnswer(w *Workspace, wait time.Duration) Answer {
	return Answer{Failure: Busy, Detail: retryAfterText(wait) + " workspace " + string(w.Name) + " is over its rate"}
}

// retryAfter is the part of a refusal that tells when to come back.
func retryAfterText(d time.Duration) string {
	return "retry-after-ms=" + itoa(int64((d+time.Millisecond-1)/time.Millisecond))
}

// grow raises the session's floor after its own commit.
func (s *Session) raiseFloor(service ServiceName, p position.Position) {
	s.floors[service] = position.Max(s.floors[service], p)
}

// leave gives up what the session holds.
func (s *Session) releaseAll() {
	s.failTransaction()
	s.rollBackPending()
}
