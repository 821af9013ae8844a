package proxy

import (
	"math/rand/v2"
	"time"
)

// retrySpread is by how much of the forecast the times to return are spread when this VM refuses
// a request by what it knows of the servers. Many VMs know the same.
const retrySpread = 0.2

// refuseByForecast returns the refusal of a request if none of the servers is expected to serve it
// in time, by what they have told lately. The second result is false if one may.
func (v *VM) refuseByForecast(op *operation, list []Candidate) (Answer, bool) {
	if !v.PriorityScheduling || len(list) == 0 || !op.firstDeadline.IsZero() {
		return Answer{}, false
	}
	soonest := list[0].Availability.wait
	for _, c := range list[1:] {
		soonest = min(soonest, c.Availability.wait)
	}
	return v.refuseIfLate(op, soonest, len(list))
}

// refuseAtPrimary is refuseByForecast for a request that only the primary can serve.
func (v *VM) refuseAtPrimary(op *operation, m *member, d demand) (Answer, bool) {
	if !v.PriorityScheduling || d.verification || !d.FirstDeadline.IsZero() {
		return Answer{}, false
	}
	return v.refuseIfLate(op, op.group.expectedWait(m.pool.Server.ID, d), 1)
}

// refuseIfLate returns the refusal of a request that has to wait beyond its deadline.
func (v *VM) refuseIfLate(op *operation, wait time.Duration, servers int) (Answer, bool) {
	left := time.Until(op.deadline)
	if wait <= left {
		return Answer{}, false
	}
	retry := wait + time.Duration(retrySpread*rand.Float64()*float64(wait))
	eventForecastRefused.Log(v.Logger, "request", op.request.ID, "database", op.route.Database, "workspace", op.workspace.Name,
		"priority", op.route.Priority, "servers", servers, "wait", wait, "left", left, "retry-after", retry, "outcome", Busy)
	v.metrics.recordRefusal(op.demand().Urgency)
	return Answer{
		Failure: Busy, Detail: retryAfterText(retry) + " every server that could serve the request is expected to take " + wait.String(),
		RetryAfter: retry,
	}, true
}
