package upstream

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// lagSmoothing is the weight of one observation in a replica's typical lag.
	lagSmoothing = 0.2
	// maxTimelineEntries bounds the length of a logTimeline.
	maxTimelineEntries = 1024
)

// logTimeline records when the group's log first reached which offset, as far as
// servers reported it to this VM. Offsets and times increase along the entries.
type logTimeline struct {
	entries []logTimelineEntry
}

type logTimelineEntry struct {
	offset position.Offset
	at     time.Time
}

// record adds the time at which a server's log reached offset.
func (tl *logTimeline) record(offset position.Offset, now time.Time) {
	if n := len(tl.entries); n > 0 && tl.entries[n-1].offset >= offset {
		return
	}
	tl.entries = append(tl.entries, logTimelineEntry{offset, now})
	if len(tl.entries) > maxTimelineEntries {
		tl.entries = append([]logTimelineEntry(nil), tl.entries[maxTimelineEntries/2:]...)
	}
}

// reset drops all entries, as when a new term truncated the log.
func (tl *logTimeline) reset() { tl.entries = nil }

// reachedAt returns when the log was first known to have reached offset; now if it
// isn't known to have reached it.
func (tl *logTimeline) reachedAt(offset position.Offset, now time.Time) time.Time {
	i, _ := slices.BinarySearchFunc(tl.entries, offset, func(e logTimelineEntry, o position.Offset) int { return int(e.offset - o) })
	if i == len(tl.entries) {
		return now
	}
	return tl.entries[i].at
}

// replicaLag estimates how long after an entry is known to be in the log a replica
// applies it.
type replicaLag struct {
	// typical is a moving average; 0 before the first observation.
	typical time.Duration
}

// observe updates the lag when the replica has just applied the log up to offset.
func (l *replicaLag) observe(timeline *logTimeline, offset position.Offset, now time.Time) {
	delay := now.Sub(timeline.reachedAt(offset, now))
	if l.typical == 0 {
		l.typical = delay
		return
	}
	l.typical += time.Duration(lagSmoothing * float64(delay-l.typical))
}

// timeToApply estimates the time until the replica applies floor. If the oldest entry
// not applied yet has waited for longer than the typical lag, the lag has grown and
// that wait is used instead.
func (l *replicaLag) timeToApply(timeline *logTimeline, applied, floor position.Offset, now time.Time) time.Duration {
	oldestWait := now.Sub(timeline.reachedAt(applied+1, now))
	dueAt := timeline.reachedAt(floor, now).Add(max(l.typical, oldestWait))
	return max(dueAt.Sub(now), 0)
}
