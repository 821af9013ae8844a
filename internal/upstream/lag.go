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
	maxHeads = 1024
)

// heads remembers when the group's log first reached which offset, as far as this VM
// heard. Offsets and times rise along the list.
type heads struct {
	list []head
}

type head struct {
	offset position.Offset
	at     time.Time
}

// reach notes that some server's log goes up to offset.
func (h *heads) reach(offset position.Offset, now time.Time) {
	if n := len(h.list); n > 0 && h.list[n-1].offset >= offset {
		return
	}
	h.list = append(h.list, head{offset, now})
	if len(h.list) > maxHeads {
		h.list = append([]head(nil), h.list[maxHeads/2:]...)
	}
}

// reset forgets all, as when a new term cut the log short.
func (h *heads) reset() { h.list = nil }

// since tells when the log reached offset; now if it wasn't heard of yet.
func (h *heads) since(offset position.Offset, now time.Time) time.Time {
	i, _ := slices.BinarySearchFunc(h.list, offset, func(h head, o position.Offset) int { return int(h.offset - o) })
	if i == len(h.list) {
		return now
	}
	return h.list[i].at
}

// lag is how long after an entry was first heard of a replica applies it.
type lag struct {
	// usual is smoothed; 0 before the first observation.
	usual time.Duration
}

// observe takes note that the replica has just applied up to offset.
func (l *lag) observe(h *heads, offset position.Offset, now time.Time) {
	took := now.Sub(h.since(offset, now))
	if l.usual == 0 {
		l.usual = took
		return
	}
	l.usual += time.Duration(lagSmoothing * float64(took-l.usual))
}

// until estimates the time to apply up to floor. An entry that is waited for longer
// than usual says that the lag has grown.
func (l *lag) until(h *heads, applied, floor position.Offset, now time.Time) time.Duration {
	oldest := now.Sub(h.since(applied+1, now))
	due := h.since(floor, now).Add(max(l.usual, oldest))
	return max(due.Sub(now), 0)
}
