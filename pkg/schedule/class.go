package schedule

import "time"

// class has the waiting statements of one urgency.
type class struct {
	index   int
	tenants map[string]*tenant
	// turns has the workspaces with waiting statements, the next one first.
	turns turns
	// waiting counts the waiting statements.
	waiting int
	// service is the average service time, zero until one has been measured.
	service time.Duration
	// dueAt is the value of Queue.served from which on the class is served although more urgent
	// ones wait.
	dueAt time.Duration
	// returningUntil is when the statements that were refused would all have been served, if nothing
	// else waited.
	returningUntil time.Duration
}

func (c *class) expectedService() time.Duration {
	if c.service == 0 {
		return initialService
	}
	return c.service
}

func (c *class) tenant(workspace string) *tenant {
	t := c.tenants[workspace]
	if t == nil {
		t = &tenant{}
		c.tenants[workspace] = t
	}
	return t
}

// nextTenant returns the workspace whose turn it is. A workspace that has used more than the average
// service time in its last turns is passed over until that is made up for.
func (c *class) nextTenant() *tenant {
	for {
		t := c.turns.first
		if t.debt < c.expectedService() || t.nextTurn == nil {
			return t
		}
		t.debt -= c.expectedService()
		c.turns.remove(t)
		c.turns.add(t)
	}
}

// endTurn passes the turn on to the next workspace, unless this one has used so much less than the
// average service time that it may have another turn.
func (c *class) endTurn(t *tenant) {
	switch {
	case !t.hasWaiting():
		c.turns.remove(t)
		// Credit is for the time in which the workspace takes turns.
		t.debt = max(t.debt, 0)
	case t.debt <= -c.expectedService():
		t.debt += c.expectedService()
	default:
		c.turns.remove(t)
		c.turns.add(t)
	}
}

func (c *class) trim(now time.Duration) {
	for workspace, t := range c.tenants {
		if !t.hasWaiting() && now-t.lateUntil > lateTTL {
			delete(c.tenants, workspace)
		}
	}
}

// turns is the list of the workspaces of a class that take turns.
type turns struct {
	first, last *tenant
	size        int
	// reviewed is the workspace that is reviewed next, nil for the first one.
	reviewed *tenant
}

func (l *turns) add(t *tenant) {
	t.takesTurns, t.previousTurn, t.nextTurn = true, l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.nextTurn = t
	}
	l.last = t
	l.size++
}

func (l *turns) remove(t *tenant) {
	if l.reviewed == t {
		l.reviewed = t.nextTurn
	}
	if t.previousTurn == nil {
		l.first = t.nextTurn
	} else {
		t.previousTurn.nextTurn = t.nextTurn
	}
	if t.nextTurn == nil {
		l.last = t.previousTurn
	} else {
		t.nextTurn.previousTurn = t.previousTurn
	}
	t.takesTurns, t.previousTurn, t.nextTurn = false, nil, nil
	l.size--
}

// review returns each workspace in turn.
func (l *turns) review() *tenant {
	t := l.reviewed
	if t == nil {
		t = l.first
	}
	l.reviewed = t.nextTurn
	return t
}
