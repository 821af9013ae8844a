package schedule

import "time"

// state is where a statement is.
type state string

const (
	waiting   state = "waiting"
	inService state = "in-service"
	ended     state = "ended"
)

// Item is a statement in a queue. It is usually a part of a larger struct of the queue's user. The
// zero value is a statement that isn't in a queue.
type Item struct {
	Request
	// Owner is for the queue's user, who finds the larger struct by it.
	Owner any

	state  state
	class  *class
	tenant *tenant
	// order is the deadline that a workspace's statements are ordered by.
	order                 time.Duration
	enqueuedAt, startedAt time.Duration
	// forecast is the wait that was expected when the statement arrived.
	forecast time.Duration

	list           *items
	previous, next *Item
}

// IsWaiting reports whether the statement waits.
func (i *Item) IsWaiting() bool { return i.state == waiting }

// IsInService reports whether the statement holds a place in service.
func (i *Item) IsInService() bool { return i.state == inService }

// Wait returns how long a statement in service waited, and how long it was expected to wait.
func (i *Item) Wait() (actual, forecast time.Duration) { return i.startedAt - i.enqueuedAt, i.forecast }

// isLate reports whether the statement would miss its objective if it began now. One that returned
// after a refusal isn't late, so that newer ones aren't served before it.
func (i *Item) isLate(now, service time.Duration) bool {
	return i.Objective != 0 && i.FirstDeadline == 0 && now+service > i.Objective
}

// items is a list of statements sorted by their order.
type items struct {
	first, last *Item
	size        int
}

// insert adds a statement behind all with the same or an earlier order. It looks from the end,
// where most statements belong.
func (l *items) insert(i *Item) {
	before := l.last
	for before != nil && before.order > i.order {
		before = before.previous
	}
	i.list, i.previous = l, before
	if before == nil {
		i.next, l.first = l.first, i
	} else {
		i.next, before.next = before.next, i
	}
	if i.next == nil {
		l.last = i
	} else {
		i.next.previous = i
	}
	l.size++
}

func (l *items) remove(i *Item) {
	if i.previous == nil {
		l.first = i.next
	} else {
		i.previous.next = i.next
	}
	if i.next == nil {
		l.last = i.previous
	} else {
		i.next.previous = i.previous
	}
	i.list, i.previous, i.next = nil, nil, nil
	l.size--
}
