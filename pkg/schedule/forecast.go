package schedule

import (
	"math"
	"math/bits"
	"time"
)

const (
	// usageWindow is the time constant of the average of the service time that more urgent classes
	// use. It covers several hundred statements of a busy server.
	usageWindow = time.Second
	// usageStep is how often that average is updated.
	usageStep = 50 * time.Millisecond
)

// forecast returns how long a further statement of a workspace would wait. A statement that
// returned after a refusal is the workspace's first.
//
// The statements ahead are those of open transactions, of more urgent classes, and those of the
// own class that get a turn before it: one of each workspace for each turn. They are served by what more urgent classes, at their recent
// demand, leave of the server. With the class's minimum share it doesn't wait for more urgent
// classes, if that is sooner.
func (q *Queue) forecast(now time.Duration, c *class, t *tenant, returned bool) time.Duration {
	if returned {
		return q.forecastTurns(now, c, 1)
	}
	return q.forecastTurns(now, c, t.onTime.size+1)
}

// forecastTurns returns the wait until a workspace has had a number of turns.
func (q *Queue) forecastTurns(now time.Duration, c *class, turns int) time.Duration {
	limit := max(q.Limit, 1)
	if q.inService < limit && q.waitingCount == 0 {
		return 0
	}
	ahead := time.Duration(max(q.inService-limit+1, 0)) * q.expectedService()
	ahead += time.Duration(q.openWaiting) * q.expectedService()
	for rest := q.waiting & (1<<c.index - 1); rest != 0; rest &= rest - 1 {
		urgent := q.classes[bits.TrailingZeros64(rest)]
		ahead += time.Duration(urgent.waiting) * urgent.expectedService()
	}
	own := min(c.waiting, turns*c.turns.size)
	ahead += time.Duration(own) * c.expectedService()
	byShare := time.Duration(own+1) * q.minShareInterval(c) / time.Duration(limit)
	if capacity := q.capacity(now, c); capacity > 0 {
		return min(time.Duration(float64(ahead)/capacity), byShare)
	}
	return byShare
}

func (q *Queue) expectedService() time.Duration {
	if q.service == 0 {
		return initialService
	}
	return q.service
}

// capacity returns how much service time a second more urgent classes leave.
func (q *Queue) capacity(now time.Duration, c *class) float64 {
	q.usage.update(now)
	limit := float64(max(q.Limit, 1))
	return limit - q.usage.above(c.index/priorities)
}

// usage measures how much service time a second is used by the routes of each priority.
type usage struct {
	perSecond [priorities]float64
	// current has the service time since updatedAt, in seconds.
	current   [priorities]float64
	updatedAt time.Duration
}

func (u *usage) add(now time.Duration, c Class, took time.Duration) {
	u.update(now)
	u.current[c.index()/priorities] += took.Seconds()
}

// update brings the averages up to a time, at most every usageStep.
func (u *usage) update(now time.Duration) {
	elapsed := now - u.updatedAt
	if elapsed < usageStep {
		return
	}
	weight := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	for i := range u.perSecond {
		u.perSecond[i] = weight*u.perSecond[i] + (1-weight)*u.current[i]/elapsed.Seconds()
		u.current[i] = 0
	}
	u.updatedAt = now
}

// above returns the service time a second used by routes of higher priority.
func (u *usage) above(priority int) float64 {
	sum := 0.0
	for _, used := range u.perSecond[:priority] {
		sum += used
	}
	return sum
}
