package upstream

import "github.com/savoryramp/savoryramp/internal/platform"

// QueueOrder is the order in which a server's queue serves waiting requests.
type QueueOrder string

const (
	// DeficitRoundRobin serves workspaces in turn, each for as many requests as its
	// weight.
	DeficitRoundRobin QueueOrder = "deficit-round-robin"
	// FirstCome serves requests in order of arrival, regardless of workspace.
	FirstCome QueueOrder = "first-come"
)

// queue holds the requests that wait for a connection to a server.
type queue struct {
	order QueueOrder
	// workspaces holds the queues of the workspaces with waiting requests, in the order
	// in which they are served.
	workspaces []*workspaceQueue
	size       int
}

// workspaceQueue holds the waiting requests of one workspace, or of all workspaces
// (with an empty name) if the order is FirstCome.
type workspaceQueue struct {
	workspace platform.WorkspaceName
	waiters   []*waiter
	weight    platform.Weight
	// deficit is how many more requests the workspace may have served in the current
	// round.
	deficit platform.Weight
}

// waiter is a request that waits for a connection.
type waiter struct {
	workspace platform.WorkspaceName
	// ready is closed once the request is admitted or redirected.
	ready chan struct{}
	// redirected is set before ready is closed if the server is leaving or lost.
	redirected bool
	// canceled is set if the request stopped waiting before it was admitted.
	canceled bool
}

func (q *queue) push(workspace platform.WorkspaceName, weight platform.Weight) *waiter {
	w := &waiter{workspace: workspace, ready: make(chan struct{})}
	wq := q.forWorkspace(workspace, weight)
	wq.waiters = append(wq.waiters, w)
	q.size++
	return w
}

func (q *queue) forWorkspace(workspace platform.WorkspaceName, weight platform.Weight) *workspaceQueue {
	if q.order == FirstCome {
		workspace = ""
	}
	for _, wq := range q.workspaces {
		if wq.workspace == workspace {
			return wq
		}
	}
	wq := &workspaceQueue{workspace: workspace, weight: max(weight, 1)}
	wq.deficit = wq.weight
	q.workspaces = append(q.workspaces, wq)
	return wq
}

// pop removes and returns the next waiter, nil if there is none.
func (q *queue) pop() *waiter {
	for len(q.workspaces) > 0 {
		next := q.workspaces[0]
		next.dropCanceled()
		if len(next.waiters) == 0 {
			q.workspaces = q.workspaces[1:]
			continue
		}
		if next.deficit == 0 {
			next.deficit = next.weight
			q.workspaces = append(q.workspaces[1:], next)
			continue
		}
		w := next.waiters[0]
		next.waiters = next.waiters[1:]
		next.deficit--
		q.size--
		return w
	}
	return nil
}

// cancel marks a waiter as canceled; pop skips it.
func (q *queue) cancel(w *waiter) {
	w.canceled = true
	q.size--
}

// dropCanceled removes canceled waiters from the head of the queue.
func (q *workspaceQueue) dropCanceled() {
	for len(q.waiters) > 0 && q.waiters[0].canceled {
		q.waiters = q.waiters[1:]
	}
}
