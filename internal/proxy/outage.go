package proxy

import (
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// replaceFirst is taken for the time until a failed primary is replaced before one was
	// seen: its silence is noticed in 0.5 s, and a promotion takes up to a second.
	initialReplacementTime = 1500 * time.Millisecond
	// findFirst is the same for a primary that says it no longer leads: another has been
	// promoted by then or will be in a moment.
	initialDiscoveryTime = 500 * time.Millisecond
	// reportFor is how long another VM's word counts that a primary fails: some beats.
	failureReportTTL = time.Second
	// reportsLeast is how many of the VMs that watch a primary must say that it fails
	// before one believes it that doesn't watch: more than half.
	minFailureReports = MaxVerifiers/2 + 1
)

// outages estimates how long groups are without a primary, from how long they were.
type outageEstimator struct {
	mu sync.Mutex
	// replace and find are how long it took on average, from the first failure to a new
	// primary, and from a primary's own word to knowing the next; zero before the first.
	averageReplacement, averageDiscovery time.Duration
}

// ended takes note of how long an outage lasted.
func (o *outageEstimator) record(failed bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if failed {
		o.averageReplacement = movingAverage(o.averageReplacement, took)
	} else {
		o.averageDiscovery = movingAverage(o.averageDiscovery, took)
	}
}

// left is for how much longer an outage will last: what outages usually take, and, for one
// that lasts longer, a quarter of what it has lasted already.
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

// reports are when another VM last said that a group's primary fails.
type failureReports map[string]clock.Instant

// since is when the first of enough VMs said so, false if they don't.
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

// absence is since when the group has no primary that answers, and whether the last one
// failed; false while it has one. g.mu is held.
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
