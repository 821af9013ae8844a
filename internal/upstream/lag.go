package upstream

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// lagSmoothing weighs one observation in a replica's usual lag.
	lagSmoothing = 0.2
	// maxHeads bounds the heads that are kept.
	maxTimelineEntries = 1024
)

// heads remembers when the group's log first reached which offset, as far as this VM
// heard. Offsets and times rise along the list.
type logTimeline struct {
	entries []logTimelineEntry
}

type logTimelineEntry struct {
	offset position.Offset
	at     time.Time
}

// reach notes that some server's log goes up to offset.
func (h *logTimeline) record(offset position.Offset, now time.Time) {
	if n := len(h.entries); n > 0 && h.entries[n-1].offset >= offset {
		return
	}
	h.entries = append(h.entries, logTimelineEntry{offset, now})
	if len(h.entries) > maxTimelineEntries {
		h.entries = append([]logTimelineEntry(nil), h.entries[maxTimelineEntries/2:]...)
	}
}

// reset forgets all, as when a new term cut the log short.
func (h *logTimeline) reset() { h.entries = nil }

// since tells when the log reached offset; now if it wasn't heard of yet.
func (h *logTimeline) reachedAt(offset position.Offset, now time.Time) time.Time {
	i, _ := slices.BinarySearchFunc(h.entries, offset, func(h logTimelineEntry, o position.Offset) int { return int(h.offset - o) })
	if i == len(h.entries) {
		return now
	}
	return h.entries[i].at
}

// lag is how long after an entry was first heard of a replica applies it.
type replicaLag struct {
	// usual is smoothed; 0 before the first observation.
	typical time.Duration
}

// observe takes note that the replica has just applied up to offset.
func (l *replicaLag) observe(h *logTimeline, offset position.Offset, now time.Time) {
	took := now.Sub(h.reachedAt(offset, now))
	if l.typical == 0 {
		l.typical = took
		return
	}
	l.typical += time.Duration(lagSmoothing * float64(took-l.typical))
}

// until estimates the time to apply up to floor. An entry that is waited for longer
// than usual says that the lag has grown.
func (l *replicaLag) timeToApply(h *logTimeline, applied, floor position.Offset, now time.Time) time.Duration {
	oldest := now.Sub(h.reachedAt(applied+1, now))
	due := h.reachedAt(floor, now).Add(max(l.typical, oldest))
	return max(due.Sub(now), 0)
}
