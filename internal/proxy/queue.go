package proxy

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/schedule"
)

const (
	// defaultSlots is assumed for a server that tells no number of slots.
	defaultSlots = 2
	// placeHoldTime is how long a transaction that has begun keeps its place until its first
	// statement arrives. It is several round trips between zones; the sender may have failed.
	placeHoldTime = 25 * time.Millisecond
	// refusalLogInterval bounds the rate of log lines on refusals. Callers are told of each.
	refusalLogInterval = time.Second
)

// Urgency is what decides the order of a request among those that wait for a server.
type Urgency struct {
	// Priority is that of the route, WorkspacePriority that of the workspace.
	Priority, WorkspacePriority Priority
	// Objective is until when the request should be answered, zero if there is no objective, and
	// Deadline until when it must be answered.
	Objective, Deadline time.Time
	// FirstDeadline is the deadline of an earlier attempt that was refused, if the caller
	// returned at the time that it was told, or zero.
	FirstDeadline time.Time
}

// class returns the class of schedule.Queue.
func (u Urgency) class() schedule.Class {
	return schedule.Class{Route: int(u.Priority), Workspace: int(u.WorkspacePriority)}
}

// rank orders classes of waiters for a connection, the most urgent first.
func (u Urgency) rank() int { return int(u.Priority)<<8 + int(u.WorkspacePriority) }

// demand is what a checkout is for.
type demand struct {
	workspace *Workspace
	Urgency
	// verification is true if the checkout only serves to verify the primary. That takes no slot
	// of the server and carries no statement of a caller, so that any workspace's connection will
	// do.
	verification bool
	// mayCommit is true if the checkout may end with a commit.
	mayCommit bool
}

// demand returns what the operation's statement asks of a server.
func (op *operation) demand() demand {
	d := demand{workspace: op.workspace, Urgency: Urgency{
		Priority: op.route.Priority, WorkspacePriority: op.workspace.Priority, Deadline: op.deadline, FirstDeadline: op.firstDeadline,
	}}
	if op.route.TargetLatency > 0 {
		d.Objective = op.deadline.Add(op.route.TargetLatency - op.route.StatementTimeout)
	}
	return d
}

// commitDemand returns the demand of a write, or of a transaction that may write.
func (op *operation) commitDemand() demand {
	d := op.demand()
	d.mayCommit = true
	return d
}

// verification returns the demand of a verification of the primary for the operation.
func (op *operation) verification() demand {
	d := op.demand()
	d.verification = true
	return d
}

// serverQueue is the queue of the statements that run on this VM's connections to a server.
type serverQueue struct {
	server ServerID
	vm     *VM

	mu    sync.Mutex
	queue schedule.Queue

	// metricsMu guards options, the attributes of each class in metrics. It may be locked while mu
	// is held.
	metricsMu sync.Mutex
	options   map[schedule.Class]metric.MeasurementOption

	logMu sync.Mutex
	// unlogged counts the refusals of each route priority since loggedAt, when one was logged.
	unlogged map[Priority]int
	loggedAt map[Priority]time.Time
}

// place is a statement's place in a serverQueue. From its begin to its end it holds one of the
// places in service.
type place struct {
	item  schedule.Item
	queue *serverQueue
	// begun receives nil when the statement may begin, or the reason why it was refused. It is
	// nil if the statement didn't wait, and refusal has the reason if there is one.
	begun   chan error
	refusal error
	// unused is true while a transaction that has begun keeps the place for its first statement,
	// and expiry ends that.
	unused bool
	expiry *time.Timer
}

func newServerQueue(vm *VM, s Server) *serverQueue {
	q := &serverQueue{server: s.ID, vm: vm}
	q.setSlots(s.Slots)
	return q
}

func (q *serverQueue) setSlots(slots int) {
	if slots <= 0 {
		slots = defaultSlots
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetLimit(slots)
	q.dispatch(q.now())
}

func (q *serverQueue) now() time.Duration { return time.Duration(clock.Now()) }

// enter waits until a statement may begin. It returns ErrBusy at once if it isn't expected to
// begin in time, and otherwise when its time has passed. open is true for a statement of a
// transaction that is open on the server.
func (q *serverQueue) enter(ctx context.Context, d demand, open bool, until time.Time) (*place, error) {
	if d.Deadline.IsZero() || until.Before(d.Deadline) {
		d.Deadline = until
	}
	p := &place{queue: q}
	p.item.Owner = p
	q.mu.Lock()
	now := q.now()
	refusal, accepted := q.queue.Enqueue(now, &p.item, d.request(now, open))
	if !accepted {
		q.mu.Unlock()
		return nil, q.refuse(d, refusal)
	}
	q.dispatch(now)
	if !p.item.IsWaiting() {
		q.mu.Unlock()
		return p.orError(p.refusal)
	}
	p.begun = make(chan error, 1)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case err := <-p.begun:
		return p.orError(err)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	if !p.item.IsWaiting() {
		q.mu.Unlock()
		return p.orError(<-p.begun)
	}
	refusal = q.queue.Abandon(q.now(), &p.item)
	q.dispatch(q.now())
	q.mu.Unlock()
	return nil, q.refuse(d, refusal)
}

// orError returns the place, or nil and the error if there is one.
func (p *place) orError(err error) (*place, error) {
	if err != nil {
		return nil, err
	}
	return p, nil
}

// request converts a demand for the queue, whose time is now.
func (d demand) request(now time.Duration, open bool) schedule.Request {
	r := schedule.Request{Class: d.class(), Workspace: string(d.workspace.Name), OpenTransaction: open, Deadline: now + time.Until(d.Deadline)}
	if !d.Objective.IsZero() {
		r.Objective = now + time.Until(d.Objective)
	}
	if !d.FirstDeadline.IsZero() {
		r.FirstDeadline = now + time.Until(d.FirstDeadline)
	}
	return r
}

// refuse returns the error of a refusal, and counts it.
func (q *serverQueue) refuse(d demand, r schedule.Refusal) error {
	q.recordRefusal(d.class())
	q.logRefusal(d, r)
	return busyUntil(r.RetryAfter, "server %s: %d statements wait, this one would for %s", q.server, r.Waiting, r.ExpectedWait.Round(time.Millisecond))
}

// logRefusal logs a refusal, at most one of each route priority in refusalLogInterval.
func (q *serverQueue) logRefusal(d demand, r schedule.Refusal) {
	q.logMu.Lock()
	defer q.logMu.Unlock()
	if q.unlogged == nil {
		q.unlogged, q.loggedAt = map[Priority]int{}, map[Priority]time.Time{}
	}
	q.unlogged[d.Priority]++
	if now := time.Now(); now.Sub(q.loggedAt[d.Priority]) >= refusalLogInterval {
		eventQueueRefused.Log(q.vm.Logger, "server", q.server, "priority", d.Priority, "workspace-priority", d.WorkspacePriority,
			"waiting", r.Waiting, "forecast", r.ExpectedWait, "retry-after", r.RetryAfter, "refusals", q.unlogged[d.Priority])
		q.unlogged[d.Priority], q.loggedAt[d.Priority] = 0, now
	}
}

// dispatch tells the statements that may begin, and those that are refused; q.mu is held.
func (q *serverQueue) dispatch(now time.Duration) {
	for {
		i, refusal, refused := q.queue.Dequeue(now)
		if i == nil {
			return
		}
		p := i.Owner.(*place)
		urgency := Urgency{Priority: Priority(i.Class.Route), WorkspacePriority: Priority(i.Class.Workspace)}
		var err error
		if refused {
			err = q.refuse(demand{Urgency: urgency}, refusal)
		} else {
			q.recordWait(i)
		}
		if p.begun == nil {
			p.refusal = err
			continue
		}
		p.begun <- err
	}
}

// leave gives up a place. The time in service counts only if measured is true.
func (p *place) leave(measured bool) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if measured {
		q.queue.Done(now, &p.item)
	} else {
		q.queue.Cancel(&p.item)
	}
	q.dispatch(now)
}

// hold keeps the place for the first statement of a transaction, for up to placeHoldTime.
func (p *place) hold() {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.unused = true
	p.expiry = time.AfterFunc(placeHoldTime, func() {
		if p.claim() {
			p.leave(false)
		}
	})
}

// claim ends hold. It returns false if the place has been given up.
func (p *place) claim() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	claimed := p.unused
	p.unused = false
	if claimed {
		p.expiry.Stop()
	}
	return claimed
}

// load returns the queue's load as a class sees it.
func (q *serverQueue) load(u Urgency) ServerLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue.Load(q.now(), u.class())
	return ServerLoad{
		InService: l.InService, Waiting: l.Waiting, Limit: l.Limit, MoreUrgentWaiting: l.MoreUrgentWaiting,
		ExpectedWaitMs: (l.ExpectedWait + time.Millisecond - 1).Milliseconds(), ServiceMs: (l.Service + time.Millisecond - 1).Milliseconds(),
	}
}

// state returns the queue's state, for diagnosis.
func (q *serverQueue) state() *QueueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	l := q.queue.Load(now, schedule.Class{})
	s := &QueueState{InService: l.InService, Waiting: l.Waiting, Limit: l.Limit}
	for _, c := range q.queue.Classes(now) {
		s.Classes = append(s.Classes, ClassState{
			Priority: Priority(c.Class.Route), WorkspacePriority: Priority(c.Class.Workspace), Waiting: c.Waiting,
			ServiceMs: milliseconds(c.Service), ExpectedWaitMs: milliseconds(c.ExpectedWait),
		})
	}
	return s
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// isFull reports whether a further statement would have to wait.
func (q *serverQueue) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue.Load(q.now(), schedule.Class{})
	return l.InService >= l.Limit
}

func (q *serverQueue) trim() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Trim(q.now())
}
