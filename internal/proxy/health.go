package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// failAfter is how long a lead must be silent, and failTimes how often it must have
	// failed, before this VM takes it for failed: one lost answer or connection is no
	// proof, and a failover costs about as long as this wait.
	failAfter = 500 * time.Millisecond
	failTimes = 2
)

// health is what this VM found of the lead.
type health struct {
	// okAt is when something was sent that the lead answered as primary.
	okAt clock.Instant
	// failing counts failures since; since is the first's time.
	failing int
	since   clock.Instant
	last    clock.Instant
}

func (h *health) reset() { *h = health{} }

func (h *health) ok(sent clock.Instant) {
	h.okAt = max(h.okAt, sent)
	if sent >= h.last {
		h.failing = 0
	}
}

func (h *health) fail(now clock.Instant) {
	if h.failing == 0 {
		h.since = now
	}
	h.failing++
	h.last = now
}

// failed tells whether the lead counts as failed from here.
func (h *health) failed() bool {
	return h.failing >= failTimes && h.last.Sub(h.since) >= failAfter
}
