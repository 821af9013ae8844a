package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// failAfter is how long a lead must be silent, and failTimes how often it must have
	// failed, before this VM takes it for failed: one lost answer or connection is no
	// proof, and a failover costs about as long as this wait.
	minFailureDuration = 500 * time.Millisecond
	minFailures        = 2
)

// health is what this VM found of the lead.
type primaryHealth struct {
	// okAt is when something was sent that the lead answered as primary.
	lastOKSentAt clock.Instant
	// failing counts failures since; since is the first's time.
	failures       int
	firstFailureAt clock.Instant
	lastFailureAt  clock.Instant
}

func (h *primaryHealth) reset() { *h = primaryHealth{} }

func (h *primaryHealth) recordOK(sentAt clock.Instant) {
	h.lastOKSentAt = max(h.lastOKSentAt, sentAt)
	if sentAt >= h.lastFailureAt {
		h.failures = 0
	}
}

func (h *primaryHealth) recordFailure(now clock.Instant) {
	if h.failures == 0 {
		h.firstFailureAt = now
	}
	h.failures++
	h.lastFailureAt = now
}

// failed tells whether the lead counts as failed from here.
func (h *primaryHealth) hasFailed() bool {
	return h.failures >= minFailures && h.lastFailureAt.Sub(h.firstFailureAt) >= minFailureDuration
}
