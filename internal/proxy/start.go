package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// startSpread is the time over which callers return that were refused because this VM doesn't
	// know the other VMs yet. Most VMs know each other within half of it.
	startSpread = time.Second
	// maxSettleWait is how long a most urgent request waits for this VM to know the others. A VM
	// that hears others knows them sooner.
	maxSettleWait = 500 * time.Millisecond
	// settlePollInterval is how often such a request checks that.
	settlePollInterval = 10 * time.Millisecond
	// verifierSpread is the time over which the verifiers of a primary open their connections,
	// from serverKeepTime after their start on. Before, the server may still have those from
	// before a restart, and needs its limit and its slots for the owner.
	verifierSpread = 300 * time.Millisecond
)

// awaitStart holds back a request while this VM doesn't know the other VMs and therefore not the
// owners of the servers' connections. If all VMs have just been started, each opening connections of
// its own would occupy the servers for seconds. Requests of the most urgent routes wait for a
// while. Others are refused, to return in the order of their classes. The answer is okAnswer once
// the request may go on.
func (v *VM) awaitStart(ctx context.Context, op *operation) Answer {
	if !v.PriorityScheduling || v.Relay == nil || v.Fleet.Settled() {
		return okAnswer
	}
	class, classes := op.configuration.routeClass(op.route)
	until := time.Now().Add(maxSettleWait)
	if op.deadline.Before(until) {
		until = op.deadline
	}
	for class == 0 && time.Now().Before(until) && ctx.Err() == nil {
		if v.Fleet.Settled() {
			return okAnswer
		}
		clock.Sleep(ctx, settlePollInterval)
	}
	wait := startSpread * time.Duration(class) / time.Duration(classes)
	wait += rand.N(startSpread / time.Duration(classes))
	eventNotSettled.Log(v.Logger, "request", op.request.ID, "database", op.route.Database, "priority", op.route.Priority, "class", class, "retry-after", wait, "outcome", Busy)
	v.metrics.recordRefusal(op.demand().Urgency)
	return Answer{Failure: Busy, Detail: retryAfterText(wait) + " the VM doesn't know the other VMs yet"}
}

// routeClass returns how many priorities of routes are higher than the route's, and how many there
// are in all.
func (c *Configuration) routeClass(r *Route) (class, classes int) {
	seen := map[Priority]bool{}
	for _, other := range c.Routes {
		if seen[other.Priority] {
			continue
		}
		seen[other.Priority] = true
		if other.Priority < r.Priority {
			class++
		}
	}
	return class, max(len(seen), 1)
}

// mayOpenToVerify reports whether this VM may open a connection to a server only to verify it as the
// primary. After a start it may not for a while, and uses the owner's.
func (v *VM) mayOpenToVerify(id ServerID) bool {
	if !v.PriorityScheduling || v.Relay == nil {
		return true
	}
	at := serverKeepTime + time.Duration(xxhash.Sum64String(string(v.Name)+"/"+string(id))%uint64(verifierSpread))
	return clock.Since(clock.Instant(v.startedAt.Load())) >= at
}
