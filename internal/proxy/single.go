package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// maxAttempts bounds the servers that one read is sent to, so that an overload isn't
// multiplied.
const maxAttempts = 4

// attemptUntil is how long one attempt at a statement that may be repeated is waited for.
func (s *Session) attemptUntil(op *operation) time.Time {
	until := time.Now().Add(s.vm.patience(op.route))
	if op.deadline.Before(until) {
		return op.deadline
	}
	return until
}

// leaseLead takes a connection to the primary. A failure means that nothing was sent.
func (s *Session) leaseLead(ctx context.Context, op *operation) (*lease, Answer) {
	for {
		m, err := op.group.awaitLead(ctx, op.deadline)
		if err != nil {
			return nil, Answer{Failure: Busy, Detail: err.Error()}
		}
		l, err := op.group.take(ctx, m, op.workspace, op.deadline)
		if err == nil && op.group.endorsed() {
			return l, done
		}
		if err == nil {
			l.give(true)
			err = ErrNoServer.New("service %s: most VMs can't use the primary", op.group.Name)
		}
		eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", m.pool.Server.ID, "err", err)
		if isType(err, ErrBusy) {
			return nil, Answer{Failure: Busy, Detail: err.Error()}
		}
		if !isType(err, ErrRefused) && !isType(err, ErrNoServer) {
			op.group.failed(m.pool.Server.ID, err, true)
		}
		if time.Until(op.deadline) < 2*retryPause {
			return nil, Answer{Failure: Busy, Detail: err.Error()}
		}
		clock.Sleep(ctx, retryPause)
	}
}

// write runs a single write at the primary. It is sent again only after an answer that
// says it has not run.
func (s *Session) write(ctx context.Context, op *operation) Answer {
	for {
		l, refusal := s.leaseLead(ctx, op)
		if l == nil {
			return refusal
		}
		a, err := l.forward(s, op, position.Position{}, op.deadline)
		if notSent(err) {
			l.give(true)
			if refusal := s.leadFailed(ctx, op, l, a, err); !refusal.Succeeded() {
				return refusal
			}
			continue
		}
		if err != nil {
			l.give(false)
			l.failed(err)
			return Answer{Failure: InDoubt, Detail: "server " + string(l.server) + ": " + err.Error()}
		}
		l.give(a.Phase == Idle)
		if a.Succeeded() {
			s.grow(op.route.Service, a.Position)
			l.proveLead(a)
			return a
		}
		if a.Failure != NotPrimary && a.Failure != Busy && a.Failure != Unprepared {
			return a
		}
		if refusal := s.leadFailed(ctx, op, l, a, nil); !refusal.Succeeded() {
			return refusal
		}
	}
}

// read runs a single read.
func (s *Session) read(ctx context.Context, op *operation) Answer {
	if op.route.Consistency == Linearizable {
		return s.readLeading(ctx, op)
	}
	l, a := s.readAny(ctx, op, func(l *lease, floor position.Position, until time.Time) (Answer, error) {
		began := time.Now()
		a, err := l.forward(s, op, floor, until)
		if err == nil && a.Succeeded() {
			s.vm.took(op, l.server, time.Since(began))
		}
		return a, err
	})
	if l != nil {
		l.give(true)
	}
	return a
}

// openReading begins a read-only transaction at any server.
func (s *Session) openReading(ctx context.Context, op *operation) (*lease, Answer) {
	return s.readAny(ctx, op, func(l *lease, floor position.Position, until time.Time) (Answer, error) {
		return l.beginAt(s, BeginAt{ReadOnly: true, Floor: floor}, until)
	})
}

// readLeading reads what no acknowledged commit is missing from: first the primary proves
// that it leads, after the read's arrival, then the read demands the position it named.
func (s *Session) readLeading(ctx context.Context, op *operation) Answer {
	for attempt := 1; ; attempt++ {
		l, refusal := s.leaseLead(ctx, op)
		if l == nil {
			return refusal
		}
		until := s.attemptUntil(op)
		floor, a, err := l.prove(until)
		switch {
		case err != nil || !a.Succeeded():
		case !op.group.endorsed():
			// What the proof named may lack commits of a primary beside this one.
			a = Answer{Failure: Busy, Detail: "most VMs can't use the primary", Phase: Idle}
		default:
			a, err = l.forward(s, op, floor, until)
		}
		if err == nil && a.Succeeded() {
			l.give(true)
			return a
		}
		l.give(notSent(err) || err == nil && a.Phase == Idle)
		if attempt == maxAttempts && err == nil {
			return a
		}
		if refusal := s.leadFailed(ctx, op, l, a, err); !refusal.Succeeded() {
			return refusal
		}
	}
}

// readAny runs try on the best server that is fresh enough, and on others when it fails
// there. On success the lease is the caller's, else nothing is held.
func (s *Session) readAny(ctx context.Context, op *operation, try func(*lease, position.Position, time.Time) (Answer, error)) (*lease, Answer) {
	floor, err := s.floor(ctx, op)
	if err != nil {
		return nil, Answer{Failure: Busy, Detail: err.Error()}
	}
	tried := map[ServerID]bool{}
	last := Answer{Failure: Busy, Detail: "no server of service " + string(op.group.Name) + " is known"}
	for attempt := 0; attempt < maxAttempts && time.Now().Before(op.deadline); attempt++ {
		list, members := op.group.candidates(op.workspace.Name, tried)
		best, found := Choose(list, s.vm.typical(op.route))
		if !found {
			if len(tried) == 0 {
				return nil, last
			}
			tried = map[ServerID]bool{}
			clock.Sleep(ctx, retryPause)
			continue
		}
		tried[best.ID] = true
		l, err := op.group.take(ctx, members[best.ID], op.workspace, s.attemptUntil(op))
		if err != nil {
			eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", best.ID, "attempt", attempt, "err", err)
			if !isType(err, ErrBusy) && !isType(err, ErrRefused) {
				op.group.failed(best.ID, err, true)
			}
			last = Answer{Failure: Busy, Detail: err.Error()}
			continue
		}
		a, err := try(l, floor, s.attemptUntil(op))
		switch {
		case err != nil:
			l.give(notSent(err))
			l.failed(err)
			a = Answer{Failure: Busy, Detail: "server " + string(best.ID) + ": " + err.Error()}
		case a.Succeeded():
			return l, a
		default:
			l.give(a.Phase == Idle)
		}
		if a.Failure == Lagging {
			op.group.behind(best.ID)
		}
		eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", best.ID, "attempt", attempt, "floor", floor, "failure", a.Failure, "detail", a.Detail)
		last = a
		last.Rows = nil
	}
	return nil, last
}

// floor is what a read must cover: the session's own commits and, within the route's
// bound, everyone's.
func (s *Session) floor(ctx context.Context, op *operation) (position.Position, error) {
	own := op.group.Samples.Survivor(s.floors[op.route.Service])
	bound := max(op.route.MaxStaleness-boundSlack, 0)
	for {
		if f, found := op.group.Samples.Floor(clockInstant(op.arrived), bound); found {
			return position.Max(own, f), nil
		}
		l, refusal := s.leaseLead(ctx, op)
		if l == nil {
			return position.Position{}, ErrNoServer.New("%s", refusal.Detail)
		}
		_, a, err := l.prove(s.attemptUntil(op))
		l.give(notSent(err) || err == nil && a.Phase == Idle)
		if err == nil && a.Succeeded() {
			own = op.group.Samples.Survivor(s.floors[op.route.Service])
			continue
		}
		if refusal := s.leadFailed(ctx, op, l, a, err); !refusal.Succeeded() {
			return position.Position{}, ErrNoServer.New("%s", refusal.Detail)
		}
	}
}

// boundSlack is taken off a route's bound for the way of a commit's acknowledgement to
// its caller and of the read from its own.
const boundSlack = 20 * time.Millisecond

func clockInstant(i clock.Instant) time.Duration { return time.Duration(i) }
