package proxy

import "time"

const (
	// loadTTL is how long a server's load that another VM has told is used. Without news the
	// server counts as having no queue, so that it is tried again.
	loadTTL = time.Second
	// urgentTTL is how long after another VM told that more urgent statements wait this counts.
	urgentTTL = 250 * time.Millisecond
	// initialService is the assumed service time at a server that hasn't told one.
	initialService = 10 * time.Millisecond
	// loadPriorities is how many priorities of routes are told apart, the last one with all lower
	// ones.
	loadPriorities = 8
)

// reportedLoads has a server's load by route priority.
type reportedLoads [loadPriorities]reportedLoad

// reportedLoad is a load that another VM told at a time.
type reportedLoad struct {
	ServerLoad
	at time.Time
}

// recent returns the loads that are in use at a time.
func (l *reportedLoads) recent(now time.Time) map[Priority]ServerLoad {
	list := map[Priority]ServerLoad{}
	for i, told := range l {
		if now.Sub(told.at) < loadTTL {
			list[Priority(i)] = told.ServerLoad
		}
	}
	return list
}

func loadIndex(p Priority) int { return min(max(int(p), 0), loadPriorities-1) }

// observeLoad records the load of a server that came with another VM's reply to a request of a
// priority.
func (g *Group) observeLoad(id ServerID, p Priority, l ServerLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.loads[loadIndex(p)] = reportedLoad{l, time.Now()}
	}
}

// loadOf returns the load of a server as a request sees it: from this VM's queue if this VM holds
// the server's connections, or else as last told, if that was within loadTTL. g.mu is held; the relay
// doesn't call back.
func (g *Group) loadOf(m *member, w WorkspaceName, u Urgency, now time.Time) ServerLoad {
	local := g.VM.Relay == nil
	if !local {
		_, local = g.VM.Relay.Owner(m.pool.Server, w, g.VM.ownerConnectionLimit(g.Name))
	}
	if local {
		return m.pool.Queue.load(u)
	}
	l := m.loads[loadIndex(u.Priority)]
	age := now.Sub(l.at)
	if age >= loadTTL {
		return ServerLoad{ServiceMs: l.ServiceMs}
	}
	// An older load counts for less.
	l.ExpectedWaitMs -= int64(float64(l.ExpectedWaitMs) * float64(age) / float64(loadTTL))
	if age >= urgentTTL {
		l.MoreUrgentWaiting = 0
	}
	return l.ServerLoad
}

// availability returns how soon a request gets a connection to a server. g.mu is held.
func (g *Group) availability(m *member, d demand, now time.Time) availability {
	if !g.VM.PriorityScheduling {
		return m.pool.availability(d.workspace.Name)
	}
	l := g.loadOf(m, d.workspace.Name, d.Urgency, now)
	a := availability{wait: l.expectedWait(), moreUrgentWaiting: l.MoreUrgentWaiting, service: time.Duration(l.ServiceMs) * time.Millisecond}
	if a.service == 0 {
		a.service = initialService
	}
	if !g.VM.isLarge(d.workspace.Name) && !g.isPreferred(m, d.workspace.Name) {
		a.otherServerCost = otherServerCost
	}
	return a
}

func (l ServerLoad) expectedWait() time.Duration {
	return time.Duration(l.ExpectedWaitMs) * time.Millisecond
}

// expectedWait returns how long a request waits for its turn at a server, zero if that isn't known.
func (g *Group) expectedWait(id ServerID, d demand) time.Duration {
	if !g.VM.PriorityScheduling {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return 0
	}
	return g.loadOf(m, d.workspace.Name, d.Urgency, time.Now()).expectedWait()
}
