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
	Start(deadline time.Time) (DatabaseName, Key, error)
	// Receive reads the next request, until deadline (zero: none). ErrSilent when that
	// passed or Interrupt was called before a byte of a request came.
	Receive(deadline time.Time) (Request, error)
	// Reply sends an answer whole.
	Reply(a Answer) error
	// Reject ends the start, or the session, with a failure.
	Reject(f Failure, detail string)
	// Pending tells whether a part of a further request has come.
	Pending() bool
	// Interrupt makes a Receive that waits return; other tasks may call it.
	Interrupt()
	Close()
}

// startWithin is how long callers wait for the end of their start.
const startWithin = 2 * time.Second

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
	broken bool
	// unsettled leases have a transaction that was given up but not yet ended.
	unsettled []*lease
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
	arrived clock.Instant
	// deadline of the statement.
	deadline time.Time
	request  Request
	// sent is true once a statement may have reached a server.
	sent bool
}

func (s *Session) run(ctx context.Context) {
	defer s.caller.Close()
	if !s.start() {
		return
	}
	s.vm.add(s)
	defer s.vm.remove(s)
	defer s.leave()
	if s.caller.Reply(Answer{Phase: Idle}) != nil {
		return
	}
	for s.next(ctx) {
	}
}

// start lets the caller in, or not.
func (s *Session) start() bool {
	database, key, err := s.caller.Start(time.Now().Add(startWithin))
	if err != nil {
		return false
	}
	s.database, s.key = database, key
	c := s.vm.Configuration()
	if c == nil {
		s.caller.Reject(Busy, "no configuration yet")
		return false
	}
	if _, _, f := s.allowed(c); f != NoFailure {
		eventStartRefused.Log(s.vm.Logger, "database", database, "configuration", c.Version, "outcome", f)
		s.caller.Reject(f, string(database))
		return false
	}
	return true
}

// allowed looks up route and workspace.
func (s *Session) allowed(c *Configuration) (*Route, *Workspace, Failure) {
	route := c.Routes[s.database]
	if route == nil {
		return nil, nil, NoDatabase
	}
	if w := c.Keys[s.key]; w != nil {
		return route, w, NoFailure
	}
	if route.Public {
		return route, openWorkspace, NoFailure
	}
	return nil, nil, UnknownKey
}

// openWorkspace has the callers of public routes that bring no key.
var openWorkspace = &Workspace{Name: "-"}

// next serves one request; false at the session's end.
func (s *Session) next(ctx context.Context) bool {
	var deadline time.Time
	if s.tx != nil {
		deadline = time.Now().Add(s.tx.idle)
	}
	s.busy.Store(false)
	if s.over() {
		return false
	}
	r, err := s.caller.Receive(deadline)
	s.busy.Store(true)
	if isType(err, ErrSilent) {
		return s.rested(deadline)
	}
	if err != nil {
		return false
	}
	return s.handle(ctx, r)
}

// over tells whether the session may and must end here.
func (s *Session) over() bool {
	if s.tx != nil || s.broken || s.caller.Pending() {
		return false
	}
	if s.vm.Draining() {
		return true
	}
	c := s.vm.Configuration()
	_, _, f := s.allowed(c)
	if f == UnknownKey {
		eventKeyWithdrawn.Log(s.vm.Logger, "database", s.database, "configuration", c.Version, "outcome", "session closed")
		return true
	}
	return false
}

// rested handles a Receive that ended without a request.
func (s *Session) rested(deadline time.Time) bool {
	if s.tx == nil || time.Now().Before(deadline) && !s.vm.cutting.Load() {
		return true
	}
	eventTransactionIdle.Log(s.vm.Logger, "database", s.database, "idle", s.tx.idle, "draining", s.vm.Draining(), "outcome", "rolled back")
	s.breakTransaction()
	return true
}

// handle serves one request; false at the session's end.
func (s *Session) handle(ctx context.Context, r Request) bool {
	op := operation{arrived: clock.Now(), request: r, configuration: s.vm.Configuration()}
	began := time.Now()
	var f Failure
	op.route, op.workspace, f = s.allowed(op.configuration)
	if f == UnknownKey || f == NoDatabase && s.tx == nil {
		s.breakTransaction()
		eventRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "outcome", f)
		s.caller.Reject(f, string(s.database))
		return false
	}
	if s.vm.isolated() && s.tx == nil {
		eventRefused.Log(s.vm.Logger, "request", r.ID, "database", s.database, "configuration", op.configuration.Version, "isolated", s.vm.Isolated(), "outcome", Busy)
		return s.caller.Reply(Answer{Failure: Busy, Detail: "this VM can't learn which keys are valid", Phase: s.phase()}) == nil
	}
	if s.tx != nil {
		op.route = s.tx.route
	}
	op.deadline = began.Add(op.route.StatementTimeout)
	op.group = s.vm.group(op.route.Service)
	answer := s.answer(ctx, &op)
	if answer.Phase == "" {
		answer.Phase = s.phase()
	}
	s.vm.metrics.answered(op.route, answer, time.Since(began))
	if !answer.Succeeded() {
		eventFailed.Log(s.vm.Logger, "request", r.ID, "database", s.database, "workspace", op.workspace.Name,
			"took", time.Since(began), "outcome", answer.Failure, "detail", answer.Detail)
	}
	err := s.caller.Reply(answer)
	s.settle()
	return err == nil
}

func (s *Session) phase() Phase {
	switch {
	case s.broken:
		return Failed
	case s.tx != nil:
		return InTransaction
	}
	return Idle
}

// answer decides one statement.
func (s *Session) answer(ctx context.Context, op *operation) Answer {
	if s.broken {
		return s.answerBroken(op)
	}
	switch t := op.request.Statement.(type) {
	case Set:
		s.profile.values[t.Name] = t.Value
		return done
	case Prepare:
		s.profile.plans[t.Name] = t.Plan
		return done
	case Deallocate:
		if _, found := s.profile.plans[t.Name]; !found {
			return Answer{Failure: Unprepared, Detail: string(t.Name)}
		}
		delete(s.profile.plans, t.Name)
		return done
	case Begin:
		return s.begin(op, t)
	case Commit:
		return s.commit(ctx, op)
	case Rollback:
		return s.rollback()
	case Read:
		return s.runOne(ctx, op, false)
	case Write:
		return s.runOne(ctx, op, true)
	case Execute:
		plan, found := s.profile.plans[t.Name]
		if !found {
			return s.refuse(Unprepared, string(t.Name))
		}
		return s.runOne(ctx, op, plan.Writes)
	case Malformed:
		return s.refuse(BadStatement, t.Reason)
	}
	return s.refuse(BadStatement, "unknown statement")
}

// done answers a statement that no server needs to see.
var done = Answer{Digest: "-"}

// refuse fails a statement that reached no server; an open transaction fails with it.
func (s *Session) refuse(f Failure, detail string) Answer {
	s.breakTransaction()
	return Answer{Failure: f, Detail: detail}
}

// runOne runs a statement in the open transaction, or on its own.
func (s *Session) runOne(ctx context.Context, op *operation, writes bool) Answer {
	if s.tx != nil {
		return s.inTransaction(ctx, op, writes)
	}
	if wait, refused := s.vm.admit(op.workspace); refused {
		return overRate(op.workspace, wait)
	}
	if op.group == nil {
		return s.vm.refund(op, Answer{Failure: Busy, Detail: "service has no servers yet"})
	}
	if writes {
		return s.vm.refund(op, s.write(ctx, op))
	}
	return s.vm.refund(op, s.read(ctx, op))
}

func overRate(w *Workspace, wait time.Duration) Answer {
	return Answer{Failure: Busy, Detail: retryAfter(wait) + " workspace " + string(w.Name) + " is over its rate"}
}

// retryAfter is the part of a refusal that tells when to come back.
func retryAfter(d time.Duration) string {
	return "retry-after-ms=" + itoa(int64((d+time.Millisecond-1)/time.Millisecond))
}

// grow raises the session's floor after its own commit.
func (s *Session) grow(service ServiceName, p position.Position) {
	s.floors[service] = position.Max(s.floors[service], p)
}

// leave gives up what the session holds.
func (s *Session) leave() {
	s.breakTransaction()
	s.settle()
}
