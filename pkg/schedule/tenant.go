package schedule

import "time"

const (
	// maxDebt limits a workspace's debt and credit, in units of the class's average service time,
	// so that a slow statement doesn't exclude the workspace for long.
	maxDebt = 8
	// lateWeight is the weight of a new sample in the average interval between late statements.
	lateWeight = 0.25
	// lateTTL is how long that average is used when no late statement waits. After it, late
	// statements are accepted again.
	lateTTL = time.Second
)

// tenant has the waiting statements of a workspace in one class.
type tenant struct {
	// onTime has the statements that could still meet their objective when that was last checked,
	// late the others. Late ones are served only while none is on time, so that under a lasting
	// overload some requests are answered in time rather than all late.
	onTime, late items
	// debt is the service time used in excess of the class's average; it is a credit if negative.
	debt time.Duration
	// lateInterval is the average time between two late statements that were served. lateSince is
	// when the last one was served or, after a time without late ones, when the first one came.
	// lateUntil is when a statement last became late, zero if none has.
	lateInterval, lateSince, lateUntil time.Duration

	takesTurns             bool
	previousTurn, nextTurn *tenant
}

func (t *tenant) hasWaiting() bool { return t.onTime.first != nil || t.late.first != nil }

// charge adds service time above the class's average to the debt, or takes what is below it from
// the debt.
func (t *tenant) charge(excess, limit time.Duration) {
	t.debt = min(max(t.debt+excess, -limit), limit)
}

// next removes and returns the workspace's next statement: one that isn't expected to be served
// in time any more, which is expired, or the one with the earliest deadline among those that can
// still meet their objective, or among all if there are none.
func (t *tenant) next(now, service time.Duration) (i *Item, expired bool) {
	for i = t.onTime.first; i != nil && i.isLate(now, service); i = t.onTime.first {
		t.onTime.remove(i)
		t.addLate(now, i)
	}
	if i != nil {
		if late := t.hopeless(now, service); late != nil {
			t.late.remove(late)
			return late, true
		}
		t.onTime.remove(i)
		return i, now+service > i.Deadline && i.enqueuedAt < now
	}
	i = t.late.first
	t.late.remove(i)
	if now+service > i.Deadline && i.enqueuedAt < now {
		return i, true
	}
	t.lateInterval += time.Duration(lateWeight * float64(now-t.lateSince-t.lateInterval))
	t.lateSince = now
	return i, false
}

// hopeless returns a late statement that isn't expected to be served in time while others are on
// time, or nil if there is none. The first and the last one are looked at.
func (t *tenant) hopeless(now, service time.Duration) *Item {
	interval := t.expectedLateInterval(now)
	switch first, last := t.late.first, t.late.last; {
	case first == nil:
		return nil
	case now+interval+service > first.Deadline:
		return first
	case now+interval*time.Duration(t.late.size)+service > last.Deadline:
		return last
	}
	return nil
}

func (t *tenant) addLate(now time.Duration, i *Item) {
	if t.late.first == nil && (t.lateUntil == 0 || now-t.lateUntil > lateTTL) {
		t.lateSince, t.lateInterval = now, 0
	}
	t.late.insert(i)
	t.lateUntil = now
}

// expectedLateInterval returns the expected time between two late statements that are served. While
// none is, it grows with the time since the last one.
func (t *tenant) expectedLateInterval(now time.Duration) time.Duration {
	if t.late.first == nil && (t.lateUntil == 0 || now-t.lateUntil > lateTTL) {
		return 0
	}
	return max(t.lateInterval, now-t.lateSince)
}

// lateWait returns how long a further late statement would wait.
func (t *tenant) lateWait(now time.Duration) time.Duration {
	return t.expectedLateInterval(now) * time.Duration(t.late.size+1)
}

// last returns the waiting statement that is served last.
func (t *tenant) last() *Item {
	if t.late.last != nil {
		return t.late.last
	}
	return t.onTime.last
}
