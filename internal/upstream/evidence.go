package upstream

import (
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// evidence gives why the primary counts as failed, empty when it doesn't.
func (u *failoverMonitor) failureReason() string {
	g := u.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.newestPrimary()
	if m == nil {
		if g.countUsable() <= len(g.members)/2 || !u.haveUnusableFailed() {
			return ""
		}
		return "no server leads the newest term"
	}
	if !m.usable {
		if u.hasFailed(m) {
			return "this VM and most others can't use it"
		}
		return ""
	}
	if u.isReplicationStalled(m) {
		return "it moves on and no replica receives"
	}
	return ""
}

// gone tells whether a server that this VM can't use has failed: most VMs that answer
// can't use it either. Without any to ask, this VM may be the one that is cut off; then
// it has failed if no other server's log grows. The group's mu is held.
func (u *failoverMonitor) hasFailed(m *member) bool {
	heard, against := u.group.Coordination.Observations(m.server.Name)
	if heard > 0 {
		return 2*against >= heard
	}
	for _, other := range u.group.members {
		if other != m && other.usable && time.Since(other.logChangedAt) < logIdleTimeout {
			return false
		}
	}
	return true
}

// unseenGone tells whether all servers that this VM can't use have failed; the group's
// mu is held.
func (u *failoverMonitor) haveUnusableFailed() bool {
	for _, m := range u.group.members {
		if !m.usable && !u.hasFailed(m) {
			return false
		}
	}
	return true
}

// mayReceive tells whether a replica that this VM can't use may be receiving: fewer
// than half of the others say that they can't use it either. The group's mu is held.
func (u *failoverMonitor) mayReceive(m *member) bool {
	heard, against := u.group.Coordination.Observations(m.server.Name)
	return heard == 0 || 2*against < heard
}

// stalled tells whether the replicas have stopped to receive what the primary
// commits; the group's mu is held.
func (u *failoverMonitor) isReplicationStalled(primary *member) bool {
	var furthest position.Offset
	usable := 0
	for _, m := range u.group.members {
		if m == primary {
			continue
		}
		if !m.usable && u.mayReceive(m) {
			u.stalledSince = time.Time{}
			return false
		}
		if !m.usable {
			continue
		}
		usable++
		if m.status.Received.Term == primary.status.Term {
			furthest = max(furthest, m.status.Received.Offset)
		}
	}
	behind := primary.status.Received.Offset > furthest
	if !behind || usable == 0 || furthest != u.stalledOffset || u.stalledSince.IsZero() {
		u.stalledOffset, u.stalledSince = furthest, time.Now()
		return false
	}
	return time.Since(u.stalledSince) > replicationStallTimeout
}
