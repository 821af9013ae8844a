package proxy

import "time"

// line is one workspace's part of a pool.
type workspacePool struct {
	workspace *Workspace
	// idle connections, that given back last at the end.
	idle []*Conn
	// open counts the workspace's idle, used and opening connections.
	open, opening int
	// waiting tickets, in the order in which they came.
	waiters []*waiter
	// use is how long connections are taken for, on average.
	averageHold time.Duration
	// usedAt is when one was last taken or given back.
	lastUsed time.Time
}

// ticket is a request that waits.
type waiter struct {
	// granted gets the connection, or the reason why there is none.
	result     chan acquireResult
	enqueuedAt time.Time
}

type acquireResult struct {
	conn *Conn
	err  error
}

// outlook is what a request finds in a pool, for choosing between pools.
type availability struct {
	// ready connections of the workspace.
	hasIdle bool
	// wait is how long until one is, with the time to open one where needed.
	wait time.Duration
}

func (p *Pool) availability(w WorkspaceName) availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	wp := p.workspacePools[w]
	if wp != nil && len(wp.idle) > 0 {
		return availability{hasIdle: true}
	}
	return availability{wait: p.estimateWait(wp)}
}

// wait estimates how long one more request of a line would wait; p.mu is held.
func (p *Pool) estimateWait(wp *workspacePool) time.Duration {
	dialWait := p.estimateHandshake()*time.Duration(p.opening+1) + max(time.Until(p.dialNotBefore), 0)
	if wp == nil || p.countActive(wp) <= 0 {
		if !p.hasCapacity() && p.longestIdle("") == nil {
			dialWait *= 2
		}
		return dialWait
	}
	ownWait := wp.averageHold * time.Duration(len(wp.waiters)+1) / time.Duration(p.countActive(wp))
	return min(ownWait, dialWait)
}

// working counts a line's connections that are open and don't rest; p.mu is held.
func (p *Pool) countActive(wp *workspacePool) int {
	_, longIdle := p.idleTransactions.countLongIdle(wp.workspace.Name)
	return wp.open - wp.opening - longIdle
}

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

// neediest is the line whose first request has waited longest, of those that need a
// further connection, nil if none does; p.mu is held.
func (p *Pool) longestWaiting() *workspacePool {
	var neediest *workspacePool
	for _, wp := range p.workspacePools {
		if len(wp.waiters) <= wp.opening {
			continue
		}
		if p.freesBeforeDial(wp) {
			continue
		}
		if neediest == nil || wp.waiters[0].enqueuedAt.Before(neediest.waiters[0].enqueuedAt) {
			neediest = wp
		}
	}
	return neediest
}

// soon tells whether the line's own connections are likely free before a new one would
// be open; p.mu is held.
func (p *Pool) freesBeforeDial(wp *workspacePool) bool {
	active := p.countActive(wp)
	if active <= 0 || wp.averageHold == 0 || time.Since(wp.waiters[0].enqueuedAt) >= p.estimateHandshake() {
		return false
	}
	return wp.averageHold*time.Duration(len(wp.waiters))/time.Duration(active) < p.estimateHandshake()
}

// rested is the line of another workspace whose oldest idle connection has rested
// longest, nil if none has for long enough; p.mu is held.
func (p *Pool) longestIdle(exclude WorkspaceName) *workspacePool {
	var longest *workspacePool
	for name, wp := range p.workspacePools {
		if name == exclude || len(wp.idle) == 0 || time.Since(wp.idle[0].idleSince) < minReassignIdle {
			continue
		}
		if longest == nil || wp.idle[0].idleSince.Before(longest.idle[0].idleSince) {
			longest = wp
		}
	}
	return longest
}

// starving tells whether a workspace without any connection has waited longer than
// opening one takes, with no other place than one of the line's; p.mu is held.
func (p *Pool) hasStarvingWorkspace(wp *workspacePool) bool {
	if p.hasCapacity() {
		return false
	}
	for _, other := range p.workspacePools {
		if other != wp && other.open == 0 && len(other.waiters) > 0 && time.Since(other.waiters[0].enqueuedAt) > p.estimateHandshake() {
			return p.opening < maxOpening
		}
	}
	return false
}
