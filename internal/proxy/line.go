package proxy

import "time"

// workspacePool is the part of a pool that belongs to one workspace.
type workspacePool struct {
	workspace *Workspace
	// idle connections are ordered by idleSince, the latest last.
	idle []*Conn
	// open counts the workspace's connections: idle, in use and being opened. opening counts
	// only the last.
	open, opening int
	// waiters are in order of arrival.
	waiters []*waiter
	// averageHold is how long a connection is in use between Acquire and Release, on average.
	averageHold time.Duration
	// lastUsed is when a connection was last requested or released.
	lastUsed time.Time
	// places are those of requests that gave up while a connection was opened for them. The next
	// attempt that ends gives them up.
	places []*place
}

// waiter is a request that waits for a connection.
type waiter struct {
	// result receives the connection, or the reason why there is none.
	result     chan acquireResult
	enqueuedAt time.Time
	// rank orders the waiters, the lowest first, if the pool has a Queue.
	rank int
	// mayCommit is that of the request's demand.
	mayCommit bool
}

type acquireResult struct {
	conn *Conn
	err  error
}

// availability is how soon a pool can provide a connection. Reads use it to choose a server.
type availability struct {
	// hasIdle is true if the workspace has an idle connection.
	hasIdle bool
	// wait is the estimated time until a connection is available, including the time to open
	// one if needed.
	wait time.Duration
	// service is the usual service time of the request's class at the server, zero if the server
	// has no queue.
	service time.Duration
	// otherServerCost is what the server costs more than the one that the workspace prefers.
	otherServerCost time.Duration
	// moreUrgentWaiting counts the waiting statements that are more urgent.
	moreUrgentWaiting int
}

// availability estimates how soon a workspace gets a connection.
func (p *Pool) availability(w WorkspaceName) availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	wp := p.workspacePools[w]
	if wp != nil && len(wp.idle) > 0 {
		return availability{hasIdle: true}
	}
	return availability{wait: p.estimateWait(wp)}
}

// estimateWait estimates how long one more request of a workspace would wait for a released or
// new connection; p.mu is held.
func (p *Pool) estimateWait(wp *workspacePool) time.Duration {
	dialWait := p.estimateHandshake()*time.Duration(p.opening+1) + max(time.Until(p.dialNotBefore), 0)
	if wp == nil || p.countActive(wp) <= 0 {
		if !p.hasCapacity() && p.workspaceWithLongestIdle("") == nil {
			dialWait *= 2
		}
		return dialWait
	}
	ownWait := wp.averageHold * time.Duration(len(wp.waiters)+1) / time.Duration(p.countActive(wp))
	return min(ownWait, dialWait)
}

// countActive counts a workspace's connections, except those being opened and those whose
// transaction has been idle for long; p.mu is held.
func (p *Pool) countActive(wp *workspacePool) int {
	_, longIdle := p.idleTransactions.countLongIdle(wp.workspace.Name)
	return wp.open - wp.opening - longIdle
}

// workspacePool returns the part of the pool for a workspace, created if needed; p.mu is held.
func (p *Pool) workspacePool(w *Workspace) *workspacePool {
	if p.workspacePools == nil {
		p.workspacePools = map[WorkspaceName]*workspacePool{}
	}
	wp := p.workspacePools[w.Name]
	if wp == nil {
		wp = &workspacePool{}
		p.workspacePools[w.Name] = wp
	}
	wp.workspace, wp.lastUsed = w, time.Now()
	return wp
}

// longestWaiting returns the workspace whose first request is the most urgent one or, if there are
// several, has waited longest, among those that need another connection, or nil if none needs one; p.mu is held.
func (p *Pool) longestWaiting() *workspacePool {
	var longest *workspacePool
	for _, wp := range p.workspacePools {
		if len(wp.waiters) <= wp.opening {
			continue
		}
		if p.freesBeforeDial(wp) {
			continue
		}
		if longest == nil || wp.waiters[0].before(longest.waiters[0]) {
			longest = wp
		}
	}
	return longest
}

// freesBeforeDial reports whether all waiters of the workspace are likely to get one of its
// existing connections before a new one could be opened; p.mu is held.
func (p *Pool) freesBeforeDial(wp *workspacePool) bool {
	active := p.countActive(wp)
	if active <= 0 || wp.averageHold == 0 || time.Since(wp.waiters[0].enqueuedAt) >= p.estimateHandshake() {
		return false
	}
	return wp.averageHold*time.Duration(len(wp.waiters))/time.Duration(active) < p.estimateHandshake()
}

// workspaceWithLongestIdle returns the workspace other than exclude whose oldest connection has been idle
// longest, or nil if none has been idle for minReassignIdle; p.mu is held.
func (p *Pool) workspaceWithLongestIdle(exclude WorkspaceName) *workspacePool {
	var longest *workspacePool
	for name, wp := range p.workspacePools {
		if name == exclude || len(wp.idle) == 0 || time.Since(wp.idle[0].idleSince) < p.minReassignIdle() {
			continue
		}
		if longest == nil || wp.idle[0].idleSince.Before(longest.idle[0].idleSince) {
			longest = wp
		}
	}
	return longest
}

// hasStarvingWorkspace reports whether wp should give up a connection because the share allows
// no further one, another workspace without any has waited longer than opening one takes, and
// one may be opened now; p.mu is held.
func (p *Pool) hasStarvingWorkspace(wp *workspacePool) bool {
	if p.waiting == 0 || p.hasCapacity() {
		return false
	}
	for _, other := range p.workspacePools {
		if other != wp && other.open == 0 && len(other.waiters) > 0 && time.Since(other.waiters[0].enqueuedAt) > p.estimateHandshake() {
			return p.opening < p.maxOpening()
		}
	}
	return false
}
