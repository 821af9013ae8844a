package upstream

import "github.com/savoryramp/savoryramp/internal/platform"

// Order is how a server's queue serves the workspaces that wait.
type QueueOrder string

const (
	// DeficitRoundRobin serves workspaces in turn, by weight.
	DeficitRoundRobin QueueOrder = "deficit-round-robin"
	// FirstCome serves requests as they came, whosever they are.
	FirstCome QueueOrder = "first-come"
)

// queue holds the requests that wait for a server's connection.
type queue struct {
	order QueueOrder
	// lines has the workspaces with waiting requests, in the order of their turns.
	workspaces []*workspaceQueue
	size       int
}

// line is one workspace's part of a queue.
type workspaceQueue struct {
	workspace platform.WorkspaceName
	waiters   []*waiter
	weight    platform.Weight
	// deficit is how many more requests the line may send in its turn.
	deficit platform.Weight
}

// waiter is a request that waits.
type waiter struct {
	workspace platform.WorkspaceName
	// granted is closed once the request may take a connection.
	ready chan struct{}
	// sentAway, set before granted is closed, means that the server is leaving
	// or lost.
	redirected bool
	canceled   bool
}

func (q *queue) push(workspace platform.WorkspaceName, weight platform.Weight) *waiter {
	w := &waiter{workspace: workspace, ready: make(chan struct{})}
	l := q.forWorkspace(workspace, weight)
	l.waiters = append(l.waiters, w)
	q.size++
	return w
}

func (q *queue) forWorkspace(workspace platform.WorkspaceName, weight platform.Weight) *workspaceQueue {
	if q.order == FirstCome {
		workspace = ""
	}
	for _, l := range q.workspaces {
		if l.workspace == workspace {
			return l
		}
	}
	l := &workspaceQueue{workspace: workspace, weight: max(weight, 1)}
	l.deficit = l.weight
	q.workspaces = append(q.workspaces, l)
	return l
}

// pop gives the waiter whose turn it is, nil if nobody waits.
func (q *queue) pop() *waiter {
	for len(q.workspaces) > 0 {
		l := q.workspaces[0]
		l.dropCanceled()
		if len(l.waiters) == 0 {
			q.workspaces = q.workspaces[1:]
			continue
		}
		if l.deficit == 0 {
			l.deficit = l.weight
			q.workspaces = append(q.workspaces[1:], l)
			continue
		}
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.deficit--
		q.size--
		return w
	}
	return nil
}

// remove takes a waiter that gave up out of the queue.
func (q *queue) remove(w *waiter) {
	w.canceled = true
	q.size--
}

// drop forgets the waiters at the head that gave up.
func (l *workspaceQueue) dropCanceled() {
	for len(l.waiters) > 0 && l.waiters[0].canceled {
		l.waiters = l.waiters[1:]
	}
}
