package schedule

import "time"

// maxRetryAfter limits the forecast of the wait, and the time over which returning statements are
// spread. Beyond it a forecast from the last second of demand says little.
const maxRetryAfter = 5 * time.Second

// returningFraction of what the class can count on is for statements that return, the rest for new
// ones.
const returningFraction = 0.5

// Refusal says why a statement was refused and when to send it again.
type Refusal struct {
	// ExpectedWait is the forecast that is past the deadline.
	ExpectedWait time.Duration
	// RetryAfter is the time until the statement's place would have been reached. Those of
	// statements that are refused together are spread at the rate at which the class is served.
	RetryAfter time.Duration
	// Waiting counts the waiting statements of all classes.
	Waiting int
}

// refuse returns the refusal of a statement. The time to return is after what waits now and after the
// statements of the class that were refused before it. A statement that returns isn't late (see
// Item.isLate), so that the wait of late ones doesn't count.
func (q *Queue) refuse(now time.Duration, i *Item) Refusal {
	c := i.class
	wait := max(q.forecast(now, c, i.tenant, false), c.expectedService())
	capacity := returningFraction * max(q.capacity(now, c), minShare*float64(max(q.Limit, 1)))
	spacing := time.Duration(float64(c.expectedService()) / capacity)
	c.returningUntil = max(c.returningUntil, now) + spacing
	if wait+c.returningUntil > now+maxRetryAfter {
		// Start again, so that those told from here on are still apart.
		c.returningUntil = now + spacing
	}
	retryAfter := min(wait+c.returningUntil-now, maxRetryAfter)
	return Refusal{ExpectedWait: max(wait, i.forecast), RetryAfter: retryAfter, Waiting: q.waitingCount}
}
