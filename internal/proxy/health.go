package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// This VM regards the primary as failed after at least minFailures failures over at least
	// minFailureDuration without success. A single lost answer or connection proves nothing,
	// and a failover takes about as long as this wait.
	minFailureDuration = 500 * time.Millisecond
	minFailures        = 2
)

// primaryHealth is this VM's record of the primary's successes and failures.
type primaryHealth struct {
	// lastOKSentAt is the send time of the latest command that the server answered as primary.
	lastOKSentAt clock.Instant
	// failures counts failures until a command that was sent after the latest one succeeds, and
	// firstFailureAt is when the first of them happened.
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

// hasFailed reports whether this VM regards the primary as failed.
func (h *primaryHealth) hasFailed() bool {
	return h.failures >= minFailures && h.lastFailureAt.Sub(h.firstFailureAt) >= minFailureDuration
}
