package proxy

import (
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// initialReplacementTime is the expected outage after the failure of a primary, until one
	// has been measured. The failure is noticed within 0.5 s, and a promotion takes up to a
	// second.
	initialReplacementTime = 1500 * time.Millisecond
	// initialDiscoveryTime is the expected outage, until one has been measured, while the primary
	// is unknown, usually because it refused to act as one: another has already been promoted or
	// is about to be.
	initialDiscoveryTime = 500 * time.Millisecond
	// failureReportTTL is how long another VM's report that a primary fails is valid: for
	// several heartbeats.
	failureReportTTL = time.Second
	// minFailureReports is how many other VMs must report that a primary fails before a VM that
	// hasn't observed the failure expects an outage: more than half of the verifiers.
	minFailureReports = MaxVerifiers/2 + 1
)

// outageEstimator predicts how long a group will be without a primary, from previous outages.
type outageEstimator struct {
	mu sync.Mutex
	// averageReplacement is the average time from a primary's first failure, or the first report
	// of a failure, to a new primary. averageDiscovery is the average time from when the primary
	// became unknown until a primary is known. Both are zero until the first measurement.
	averageReplacement, averageDiscovery time.Duration
}

// record adds the duration of an outage that has ended.
func (o *outageEstimator) record(failed bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if failed {
		o.averageReplacement = movingAverage(o.averageReplacement, took)
	} else {
		o.averageDiscovery = movingAverage(o.averageDiscovery, took)
	}
}

// remaining predicts how much longer an outage will last: the rest of the usual duration, but
// at least a quarter of the time that it has already lasted.
func (o *outageEstimator) remaining(failed bool, lasted time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	usual, initial := o.averageDiscovery, initialDiscoveryTime
	if failed {
		usual, initial = o.averageReplacement, initialReplacementTime
	}
	if usual == 0 {
		usual = initial
	}
	return max(usual-lasted, lasted/4)
}

// failureReports maps other VMs to the time of their last report that the group's primary
// fails.
type failureReports map[string]clock.Instant

// firstReport returns the earliest time among the VMs' reports that are still valid, and false if
// there are fewer than minFailureReports.
func (r failureReports) firstReport() (clock.Instant, bool) {
	var first clock.Instant
	n := 0
	for _, at := range r {
		if clock.Since(at) < failureReportTTL {
			n++
			if first == 0 || at < first {
				first = at
			}
		}
	}
	return first, n >= minFailureReports
}

// primaryOutage returns since when the group has had no usable primary, whether that is because
// the primary failed, and false for absent if the group has a usable primary. g.mu is held.
func (g *Group) primaryOutage() (since clock.Instant, failed, absent bool) {
	if g.members[g.primary] == nil {
		return g.primaryChangedAt, false, true
	}
	if g.health.hasFailed() {
		return g.health.firstFailureAt, true, true
	}
	if since, found := g.failureReports.firstReport(); found {
		return since, true, true
	}
	return 0, false, false
}
