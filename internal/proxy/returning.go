package proxy

import "time"

const (
	// earlyReturn is how much before its time a caller that was refused may return.
	earlyReturn = 5 * time.Millisecond
	// lateReturn is how long after its time a caller that was refused keeps its place: several
	// round trips, and the time that a slow caller takes to send.
	lateReturn = time.Second
)

// refusedRequest is a request that a server's queue refused. The zero value stands for none.
type refusedRequest struct {
	// returnAt is when the caller was told to send the request again.
	returnAt time.Time
	// deadline is the request's deadline, which orders the one that returns.
	deadline time.Time
}

// note records an answer if it is such a refusal. A request that returns and is refused again keeps
// the deadline of its first attempt.
func (r *refusedRequest) note(a Answer, deadline time.Time) {
	if a.RetryAfter > 0 {
		*r = refusedRequest{time.Now().Add(a.RetryAfter), deadline}
	}
}

// take returns the deadline of the refused request if its time to return has come, or zero.
func (r *refusedRequest) take(now time.Time) time.Time {
	before := *r
	*r = refusedRequest{}
	if before.returnAt.IsZero() || now.Before(before.returnAt.Add(-earlyReturn)) || now.After(before.returnAt.Add(lateReturn)) {
		return time.Time{}
	}
	return before.deadline
}
