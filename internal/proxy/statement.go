package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// maxAttempts limits the attempts at one read, so that retries don't multiply an overload.
const maxAttempts = 4

// attemptDeadline returns the deadline of one attempt at a statement that is safe to repeat.
func (s *Session) attemptDeadline(op *operation) time.Time {
	until := time.Now().Add(s.vm.attemptTimeout(op.route))
	if op.deadline.Before(until) {
		return op.deadline
	}
	return until
}

// attemptDeadlineAt is attemptDeadline for an attempt that has to wait for its turn at a server. The
// queue refuses what isn't served in time, so that only a VM or server that has failed is bypassed by
// the attempt's end.
func (s *Session) attemptDeadlineAt(op *operation, id ServerID) time.Time {
	if !s.vm.PriorityScheduling {
		return s.attemptDeadline(op)
	}
	longest := time.Duration(maxAttemptTimeoutFraction * float64(op.route.StatementTimeout))
	until := time.Now().Add(longest + op.group.expectedWait(id, op.demand()))
	if op.deadline.Before(until) {
		return op.deadline
	}
	return until
}

// checkOutPrimary checks out a connection to the primary, waiting for a primary if necessary.
// If the checkout is nil, the answer has the failure, and no statement was sent.
func (s *Session) checkOutPrimary(ctx context.Context, op *operation, d demand) (*checkout, Answer) {
	for {
		if refusal, refused := op.group.evacuationRefusal(true); refused {
			return nil, refusal
		}
		m, err := op.group.awaitPrimary(ctx, op.deadline)
		if err != nil {
			return nil, Answer{Failure: Busy, Detail: err.Error()}
		}
		if refusal, refused := op.regionRefusal(m); refused {
			return nil, refusal
		}
		if refusal, refused := s.vm.refuseAtPrimary(op, m, d); refused {
			return nil, refusal
		}
		co, err := s.checkOut(ctx, op, m, d, op.deadline)
		if err == nil && op.group.hasQuorum() {
			return co, okAnswer
		}
		if err == nil {
			co.release(true)
			err = ErrNoServer.New("service %s: no majority of the verifier VMs can use the primary", op.group.Name)
		}
		eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", m.pool.Server.ID, "err", err)
		if isType(err, ErrBusy) {
			return nil, busyAnswer(err)
		}
		if !isType(err, ErrRefused) && !isType(err, ErrNoServer) {
			op.group.recordFailure(m.pool.Server.ID, err, true)
		}
		if time.Until(op.deadline) < 2*retryDelay {
			return nil, Answer{Failure: Busy, Detail: err.Error()}
		}
		clock.Sleep(ctx, retryDelay)
	}
}

// write runs a single write on the primary. It repeats the write only if the server's answer or
// the error guarantees that it hasn't run.
func (s *Session) write(ctx context.Context, op *operation) Answer {
	for {
		co, refusal := s.checkOutPrimary(ctx, op, op.commitDemand())
		if co == nil {
			return refusal
		}
		a, err := co.forward(s, op, position.Position{}, op.deadline)
		if notSent(err) {
			co.release(true)
			if refusal := s.prepareRetryOnPrimary(ctx, op, co, a, err); !refusal.Succeeded() {
				return refusal
			}
			continue
		}
		if err != nil {
			co.release(false)
			co.recordFailure(err)
			return Answer{Failure: InDoubt, Detail: "server " + string(co.server) + ": " + err.Error()}
		}
		co.release(a.Phase == Idle)
		if a.Succeeded() {
			s.raiseFloor(op.route.Service, a.Position)
			co.markPrimary(a)
			return a
		}
		if a.Failure != NotPrimary && a.Failure != Busy && a.Failure != Unprepared {
			return a
		}
		if refusal := s.prepareRetryOnPrimary(ctx, op, co, a, nil); !refusal.Succeeded() {
			return refusal
		}
	}
}

// read runs a single read.
func (s *Session) read(ctx context.Context, op *operation) Answer {
	if op.route.Consistency == Linearizable {
		return s.readLinearizable(ctx, op)
	}
	co, a := s.readOnAnyServer(ctx, op, func(co *checkout, floor position.Position, until time.Time) (Answer, error) {
		began := time.Now()
		a, err := co.forward(s, op, floor, until)
		if err == nil && a.Succeeded() {
			s.vm.recordLatency(op, co.server, time.Since(began))
		}
		return a, err
	})
	if co != nil {
		co.release(true)
	}
	return a
}

// beginReadOnly begins a read-only transaction on any server that is fresh enough.
func (s *Session) beginReadOnly(ctx context.Context, op *operation) (*checkout, Answer) {
	return s.readOnAnyServer(ctx, op, func(co *checkout, floor position.Position, until time.Time) (Answer, error) {
		return co.beginAt(s, BeginAt{ReadOnly: true, Floor: floor}, until)
	})
}

// readLinearizable runs a read that misses no acknowledged commit. It first verifies the
// primary, which yields a log position from after the read's arrival, and then reads with that
// position as floor. A failure in the server's answer is final after maxAttempts attempts.
func (s *Session) readLinearizable(ctx context.Context, op *operation) Answer {
	if m, _ := op.group.currentPrimary(); m != nil {
		if refusal, refused := s.vm.refuseAtPrimary(op, m, op.demand()); refused {
			return refusal
		}
	}
	for attempt := 1; ; attempt++ {
		co, refusal := s.checkOutPrimary(ctx, op, op.verification())
		if co == nil {
			return refusal
		}
		until := s.attemptDeadline(op)
		floor, a, err := co.verifyPrimary(until)
		switch {
		case err != nil || !a.Succeeded():
		case !op.group.hasQuorum():
			// The position may lack commits of another primary that was promoted meanwhile.
			a = Answer{Failure: Busy, Detail: "no majority of the verifier VMs can use the primary", Phase: Idle}
		case s.vm.PriorityScheduling:
			// The verification may have used the connection of another workspace.
			co.release(a.Phase == Idle)
			if co, refusal = s.checkOutPrimary(ctx, op, op.demand()); co == nil {
				return refusal
			}
			a, err = co.forward(s, op, floor, s.attemptDeadlineAt(op, co.server))
		default:
			a, err = co.forward(s, op, floor, until)
		}
		if err == nil && a.Succeeded() {
			co.release(true)
			return a
		}
		co.release(notSent(err) || err == nil && a.Phase == Idle)
		if attempt == maxAttempts && err == nil {
			return a
		}
		if refusal := s.prepareRetryOnPrimary(ctx, op, co, a, err); !refusal.Succeeded() {
			return refusal
		}
	}
}

// readOnAnyServer calls try with the read's floor on the server with the lowest cost, and on
// other servers if that fails, in up to maxAttempts attempts. On success the caller must
// release the checkout; on failure the checkout is nil.
func (s *Session) readOnAnyServer(ctx context.Context, op *operation, try func(*checkout, position.Position, time.Time) (Answer, error)) (*checkout, Answer) {
	if refusal, refused := op.group.evacuationRefusal(false); refused {
		return nil, refusal
	}
	if refusal, refused := op.regionRefusal(nil); refused {
		return nil, refusal
	}
	floor, err := s.readFloor(ctx, op.inAnyRegion())
	if err != nil {
		return nil, busyAnswer(err)
	}
	tried := map[ServerID]bool{}
	// refusals counts the servers among tried whose queue refused the request.
	refusals := 0
	last := Answer{Failure: Busy, Detail: "no server of service " + string(op.group.Name) + " is known"}
	for attempt := 0; attempt < maxAttempts && time.Now().Before(op.deadline); attempt++ {
		list, members := op.group.readCandidates(op.demand(), tried)
		list = op.keepRegions(list, members)
		if refusal, refused := s.vm.refuseByForecast(op, list); refused && refusals == len(tried) {
			return nil, refusal
		}
		best, found := ChooseServer(list, s.vm.typicalLatency(op.route))
		if !found {
			if len(tried) == 0 || refusals == len(tried) {
				return nil, last
			}
			refusals = 0
			tried = map[ServerID]bool{}
			clock.Sleep(ctx, retryDelay)
			continue
		}
		tried[best.ID] = true
		co, err := s.checkOut(ctx, op, members[best.ID], op.demand(), s.attemptDeadlineAt(op, best.ID))
		if err != nil {
			eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", best.ID, "attempt", attempt, "err", err)
			if !isType(err, ErrBusy) && !isType(err, ErrRefused) {
				op.group.recordFailure(best.ID, err, true)
			}
			last, refusals = soonerRefusal(last, busyAnswer(err), refusals)
			continue
		}
		a, err := try(co, floor, s.attemptDeadlineAt(op, best.ID))
		switch {
		case err != nil:
			co.release(notSent(err))
			co.recordFailure(err)
			a = Answer{Failure: Busy, Detail: "server " + string(best.ID) + ": " + err.Error(), RetryAfter: RetryAfter(err)}
			last, refusals = soonerRefusal(last, a, refusals)
			if a.RetryAfter > 0 {
				eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", best.ID, "attempt", attempt, "detail", a.Detail)
				continue
			}
		case a.Succeeded():
			return co, a
		default:
			co.release(a.Phase == Idle)
		}
		if a.Failure == Lagging {
			op.group.recordLag(best.ID)
		}
		eventRetry.Log(s.vm.Logger, "request", op.request.ID, "server", best.ID, "attempt", attempt, "floor", floor, "failure", a.Failure, "detail", a.Detail)
		last = a
		last.Rows = nil
	}
	return nil, last
}

// soonerRefusal returns the answer after a failed attempt and the number of refusals by servers'
// queues. Of two such refusals, the one with the earlier time to return is kept.
func soonerRefusal(last, a Answer, refusals int) (Answer, int) {
	if a.RetryAfter == 0 {
		return a, refusals
	}
	if refusals > 0 && last.RetryAfter > 0 && last.RetryAfter < a.RetryAfter {
		a = last
	}
	return a, refusals + 1
}

// readFloor returns the position that a read must cover: the session's own commits, and all
// commits older than the route's staleness bound. If no sample is recent enough, it verifies the
// primary first.
func (s *Session) readFloor(ctx context.Context, op *operation) (position.Position, error) {
	own := op.group.Samples.SurvivingFloor(s.floors[op.route.Service])
	bound := max(op.route.MaxStaleness-stalenessMargin, 0)
	for {
		if f, found := op.group.Samples.Floor(sinceClockStart(op.arrivedAt), bound); found {
			return position.Max(own, f), nil
		}
		co, refusal := s.checkOutPrimary(ctx, op, op.verification())
		if co == nil {
			return position.Position{}, WithRetryAfter(ErrNoServer.New("%s", refusal.Detail), refusal.RetryAfter)
		}
		_, a, err := co.verifyPrimary(s.attemptDeadline(op))
		co.release(notSent(err) || err == nil && a.Phase == Idle)
		if err == nil && a.Succeeded() {
			own = op.group.Samples.SurvivingFloor(s.floors[op.route.Service])
			continue
		}
		if refusal := s.prepareRetryOnPrimary(ctx, op, co, a, err); !refusal.Succeeded() {
			return position.Position{}, WithRetryAfter(ErrNoServer.New("%s", refusal.Detail), refusal.RetryAfter)
		}
	}
}

// stalenessMargin is subtracted from a route's staleness bound. It covers the transmission of a
// commit's acknowledgement to its caller and of a read from its caller.
const stalenessMargin = 20 * time.Millisecond

func sinceClockStart(i clock.Instant) time.Duration { return time.Duration(i) }
