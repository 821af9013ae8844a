package schedule

import "time"

// maxRetryAfter limits the time after which a refused statement is told to return. Beyond it a
// forecast from the last second of demand says little.
const maxRetryAfter = 5 * time.Second

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

// refuse returns the refusal of a statement, whose time to return follows that of the one before in
// its class.
func (q *Queue) refuse(now time.Duration, i *Item) Refusal {
	c := i.class
	wait := max(q.forecast(now, c, i.tenant, false), i.forecast, c.expectedService())
	spacing := time.Duration(float64(c.expectedService()) / max(q.capacity(now, c), minShare*float64(max(q.Limit, 1))))
	at := max(now+wait, c.returningUntil+spacing)
	if at > now+maxRetryAfter {
		// Start again from the forecast, so that those told from here on are still apart.
		at = now + min(wait, maxRetryAfter)
	}
	c.returningUntil = at
	return Refusal{ExpectedWait: wait, RetryAfter: at - now, Waiting: q.waitingCount}
}
