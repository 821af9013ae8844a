// Package schedule orders the statements that wait for one database server.
//
// A Queue has at most Limit statements in service. The others wait in this order: statements of
// open transactions; then by class, which is the priority of the route and then that of the
// workspace; within a class, workspaces take turns and pay for the service time that they used; a
// workspace's statements that can still meet their objective come first, then by deadline. A class
// that waits gets a minimum share of the service time.
//
// What the queue doesn't expect to begin in time for its deadline is refused when it arrives, with
// the time at which its place would have been reached.
//
// The package has no clock and no goroutines: the time is an argument, measured from any origin.
// A Queue isn't safe for concurrent use. The work for a statement doesn't grow with the number of
// workspaces or of waiting statements.
package schedule

import (
	"math/bits"
	"time"
)

const (
	// priorities is how many priorities of routes, and of workspaces, are told apart. Lower
	// priorities are treated as the last one.
	priorities = 8
	// minShare of the service time is for each class that waits, however much more urgent work
	// there is. All classes together have at most maxMinShares, so that urgent work is delayed by
	// less than a quarter of its service time.
	minShare     = 0.05
	maxMinShares = 0.2
	// initialService is the assumed service time of a class until one has been measured.
	initialService = 10 * time.Millisecond
	// averageWeight is the weight of a new sample in the averages of service times.
	averageWeight = 0.1
)

// Class is the urgency of a statement. In both fields 0 is the highest priority.
type Class struct {
	// Route is the priority of the route, which is compared first.
	Route int
	// Workspace is the priority of the workspace.
	Workspace int
}

// index returns the class's place in the order of classes, from 0 for the most urgent one.
func (c Class) index() int {
	return min(max(c.Route, 0), priorities-1)*priorities + min(max(c.Workspace, 0), priorities-1)
}

// Request describes a statement.
type Request struct {
	Class     Class
	Workspace string
	// Objective is until when the statement should be answered, zero if there is no objective.
	// Deadline is until when it must be answered.
	Objective, Deadline time.Duration
	// FirstDeadline is the deadline of the attempt that was refused, if the caller returned at the
	// time that it was told, or zero. The statement is then served before newer ones of its
	// workspace and has its first turn.
	FirstDeadline time.Duration
	// OpenTransaction is true for a statement of a transaction that is open at the server. It is
	// served before all other classes, because the transaction holds a connection and locks.
	OpenTransaction bool
}

// Queue is the queue of one server. The zero value, with Limit set, is ready to use.
type Queue struct {
	// Limit is how many statements may be in service at the same time. It may be changed with
	// SetLimit; statements in service beyond a lowered limit run to their end.
	Limit int

	inService int
	// openTransactions has the waiting statements of open transactions.
	openTransactions items
	// openWaiting counts them.
	openWaiting int
	// classes has the classes used so far, by index. waiting has the bit of each class that has
	// waiting statements, other than those of open transactions.
	classes [priorities * priorities]*class
	waiting uint64
	// evicted has statements that wait to be refused. They still count as waiting. reviewedClass is
	// the index of the class that was reviewed last.
	evicted       items
	reviewedClass int
	// waitingCount counts all waiting statements.
	waitingCount int
	// service is the average service time of all statements.
	service time.Duration
	// served is the total of the measured service times.
	served time.Duration
	usage  usage
}

// SetLimit changes the number of statements in service, to at least 1.
func (q *Queue) SetLimit(limit int) { q.Limit = max(limit, 1) }

// Enqueue adds a statement to the queue, or refuses it if it isn't expected to be served before
// its deadline. After it, Dequeue returns the statements that may begin. The item must not be in
// the queue; it must not be copied until it has left it.
func (q *Queue) Enqueue(now time.Duration, i *Item, r Request) (Refusal, bool) {
	c := q.class(r.Class)
	t := c.tenant(r.Workspace)
	*i = Item{Request: r, Owner: i.Owner, class: c, tenant: t, order: r.Deadline, enqueuedAt: now, state: waiting}
	if r.OpenTransaction {
		q.openTransactions.insert(i)
		q.openWaiting++
		q.waitingCount++
		return Refusal{}, true
	}
	returned := r.FirstDeadline != 0
	if returned {
		i.order = r.FirstDeadline
	}
	i.forecast = q.forecast(now, c, t, returned)
	if i.isLate(now+i.forecast, c.expectedService()) {
		// It would be late and wait for the others that are.
		i.forecast = max(i.forecast, t.lateWait(now))
	}
	if i.forecast > 0 && now+i.forecast+c.expectedService() > r.Deadline {
		i.state = ended
		return q.refuse(now, i), false
	}
	t.onTime.insert(i)
	if !t.takesTurns {
		c.turns.add(t)
	}
	if c.waiting == 0 {
		q.waiting |= 1 << c.index
		c.dueAt = q.served + q.minShareInterval(c)
	}
	c.waiting++
	q.waitingCount++
	return Refusal{}, true
}

// Dequeue returns the next statement that leaves the queue, or nil if none may. If it is refused
// because its deadline can't be met any more, the refusal is valid; otherwise the statement is in
// service until Done or Cancel.
func (q *Queue) Dequeue(now time.Duration) (i *Item, r Refusal, refused bool) {
	if q.waitingCount == 0 {
		return nil, Refusal{}, false
	}
	q.review(now)
	if i = q.evicted.first; i != nil {
		q.evicted.remove(i)
		q.waitingCount--
		i.state = ended
		return i, q.refuse(now, i), true
	}
	if q.inService >= max(q.Limit, 1) {
		return nil, Refusal{}, false
	}
	q.waitingCount--
	if i = q.openTransactions.first; i != nil {
		q.openTransactions.remove(i)
		q.openWaiting--
		q.begin(now, i)
		return i, Refusal{}, false
	}
	c := q.nextClass()
	t := c.nextTenant()
	i, expired := t.next(now, c.expectedService())
	q.removed(c)
	c.endTurn(t)
	if expired {
		i.state = ended
		return i, q.refuse(now, i), true
	}
	c.dueAt = q.served + q.minShareInterval(c)
	q.begin(now, i)
	return i, Refusal{}, false
}

// begin takes a statement into service.
func (q *Queue) begin(now time.Duration, i *Item) {
	i.state, i.startedAt = inService, now
	q.inService++
}

// Done ends the service of a statement, and counts its service time.
func (q *Queue) Done(now time.Duration, i *Item) {
	if i.state != inService {
		return
	}
	took := now - i.startedAt
	q.service = average(q.service, took)
	i.class.service = average(i.class.service, took)
	q.served += took
	q.usage.add(now, i.Class, took)
	i.tenant.charge(took-i.class.service, maxDebt*i.class.service)
	q.Cancel(i)
}

// Cancel removes a statement that waits, or ends its service without counting its service time,
// because it didn't reach the server or its time says nothing.
func (q *Queue) Cancel(i *Item) {
	switch i.state {
	case inService:
		q.inService--
	case waiting:
		q.waitingCount--
		if i.OpenTransaction {
			q.openTransactions.remove(i)
			q.openWaiting--
			break
		}
		if i.list == &q.evicted {
			q.evicted.remove(i)
			break
		}
		i.list.remove(i)
		if !i.tenant.hasWaiting() {
			i.class.turns.remove(i.tenant)
		}
		q.removed(i.class)
	}
	i.state = ended
}

// Abandon removes a statement that has waited until its deadline, and returns when to send it
// again.
func (q *Queue) Abandon(now time.Duration, i *Item) Refusal {
	q.Cancel(i)
	return q.refuse(now, i)
}

// removed counts a statement of a class that has left the queue.
func (q *Queue) removed(c *class) {
	c.waiting--
	if c.waiting == 0 {
		q.waiting &^= 1 << c.index
	}
}

// nextClass returns the class to serve next: the most urgent one that waits, or a less urgent one
// that has waited beyond its minimum share.
func (q *Queue) nextClass() *class {
	next := q.classes[bits.TrailingZeros64(q.waiting)]
	overdue := time.Duration(-1)
	for rest := q.waiting & (q.waiting - 1); rest != 0; rest &= rest - 1 {
		c := q.classes[bits.TrailingZeros64(rest)]
		if by := q.served - c.dueAt; by >= 0 && by > overdue {
			next, overdue = c, by
		}
	}
	return next
}

// review evicts the last statement of one workspace if it isn't expected to be served in time any
// more, because of more urgent ones that came after it. Successive calls go through all workspaces
// with waiting statements.
func (q *Queue) review(now time.Duration) {
	if q.waiting == 0 {
		return
	}
	after := q.waiting >> (q.reviewedClass + 1) << (q.reviewedClass + 1)
	if after == 0 {
		after = q.waiting
	}
	q.reviewedClass = bits.TrailingZeros64(after)
	c := q.classes[q.reviewedClass]
	t := c.turns.review()
	i := t.last()
	wait := q.forecastTurns(now, c, t.onTime.size+t.late.size)
	if i.enqueuedAt == now || now+wait+c.expectedService() <= i.Deadline {
		if i = t.hopeless(now, c.expectedService()); i == nil || t.onTime.first == nil {
			return
		}
	}
	i.list.remove(i)
	q.removed(c)
	if !t.hasWaiting() {
		c.turns.remove(t)
	}
	q.evicted.insert(i)
}

// minShareInterval returns how much service time all classes together may use between two
// statements of a class that waits.
func (q *Queue) minShareInterval(c *class) time.Duration {
	share := min(minShare, maxMinShares/float64(max(bits.OnesCount64(q.waiting), 1)))
	return time.Duration(float64(c.expectedService()) / share)
}

func (q *Queue) class(key Class) *class {
	index := key.index()
	c := q.classes[index]
	if c == nil {
		c = &class{index: index, tenants: map[string]*tenant{}}
		q.classes[index] = c
	}
	return c
}

// Trim forgets the workspaces that have no waiting statements.
func (q *Queue) Trim(now time.Duration) {
	for _, c := range q.classes {
		if c != nil {
			c.trim(now)
		}
	}
}

// Load is a summary of a queue for one class.
type Load struct {
	InService, Waiting, Limit int
	// MoreUrgentWaiting counts the waiting statements of more urgent classes.
	MoreUrgentWaiting int
	// ExpectedWait is the forecast for a further statement of the class, of a workspace that has
	// none waiting.
	ExpectedWait time.Duration
	// Service is the average service time of the class, or the assumed one.
	Service time.Duration
}

// Load returns the load as a class sees it.
func (q *Queue) Load(now time.Duration, key Class) Load {
	c := q.class(key)
	l := Load{InService: q.inService, Waiting: q.waitingCount, Limit: max(q.Limit, 1), ExpectedWait: q.forecast(now, c, &tenant{}, false), Service: c.expectedService()}
	for rest := q.waiting & (1<<key.index() - 1); rest != 0; rest &= rest - 1 {
		l.MoreUrgentWaiting += q.classes[bits.TrailingZeros64(rest)].waiting
	}
	return l
}

// ClassState is the state of one class, for diagnosis.
type ClassState struct {
	Class   Class
	Waiting int
	// Service is the average service time, zero until one has been measured. ExpectedWait is as
	// in Load.
	Service, ExpectedWait time.Duration
}

// Classes returns the state of the classes used so far, the most urgent first.
func (q *Queue) Classes(now time.Duration) []ClassState {
	var list []ClassState
	for i, c := range q.classes {
		if c != nil {
			key := Class{Route: i / priorities, Workspace: i % priorities}
			list = append(list, ClassState{Class: key, Waiting: c.waiting, Service: c.service, ExpectedWait: q.Load(now, key).ExpectedWait})
		}
	}
	return list
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(averageWeight*float64(sample-mean))
}
