package upstream

import (
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// failureReason returns why the primary is considered failed, empty if it isn't.
func (fm *failoverMonitor) failureReason() string {
	g := fm.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.newestPrimary()
	if m == nil {
		if g.countUsable() <= len(g.members)/2 || !fm.haveUnusableFailed() {
			return ""
		}
		return "no server leads the newest term"
	}
	if !m.usable {
		if fm.hasFailed(m) {
			return "this VM and most others can't use it"
		}
		return ""
	}
	if fm.isReplicationStalled(m) {
		return "it moves on and no replica receives"
	}
	return ""
}

// hasFailed reports whether a server that this VM can't use has failed: at least half
// of the other VMs that report an observation can't use it either. If no other VM
// reports one, this VM itself may be cut off; then the server has failed if no other
// server's log grows. The group's mu is held.
func (fm *failoverMonitor) hasFailed(m *member) bool {
	reporting, unusable := fm.group.Coordination.Observations(m.server.Name)
	if reporting > 0 {
		return 2*unusable >= reporting
	}
	for _, other := range fm.group.members {
		if other != m && other.usable && time.Since(other.logChangedAt) < logIdleTimeout {
			return false
		}
	}
	return true
}

// haveUnusableFailed reports whether all servers that this VM can't use have failed;
// the group's mu is held.
func (fm *failoverMonitor) haveUnusableFailed() bool {
	for _, m := range fm.group.members {
		if !m.usable && !fm.hasFailed(m) {
			return false
		}
	}
	return true
}

// mayReceive reports whether a replica that this VM can't use may still be receiving
// the log: fewer than half of the other VMs observe it as unusable. The group's mu is
// held.
func (fm *failoverMonitor) mayReceive(m *member) bool {
	reporting, unusable := fm.group.Coordination.Observations(m.server.Name)
	return reporting == 0 || 2*unusable < reporting
}

// isReplicationStalled updates stalledOffset and stalledSince, and reports whether for
// longer than replicationStallTimeout the replicas have been behind the primary and the
// furthest of them hasn't advanced. It is false if no replica is usable, or if an
// unusable one may still receive the log; the group's mu is held.
func (fm *failoverMonitor) isReplicationStalled(primary *member) bool {
	var maxOffset position.Offset
	usable := 0
	for _, m := range fm.group.members {
		if m == primary {
			continue
		}
		if !m.usable && fm.mayReceive(m) {
			fm.stalledSince = time.Time{}
			return false
		}
		if !m.usable {
			continue
		}
		usable++
		if m.status.Received.Term == primary.status.Term {
			maxOffset = max(maxOffset, m.status.Received.Offset)
		}
	}
	behind := primary.status.Received.Offset > maxOffset
	if !behind || usable == 0 || maxOffset != fm.stalledOffset || fm.stalledSince.IsZero() {
		fm.stalledOffset, fm.stalledSince = maxOffset, time.Now()
		return false
	}
	return time.Since(fm.stalledSince) > replicationStallTimeout
}
