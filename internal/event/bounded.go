package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines wait to be written while the output is slow.
	maxQueuedLines = 1024
	// burstSeconds of lines may come at once.
	burstSeconds = 5
	// droppedEvery is how often dropped lines are told of.
	dropReportInterval = 5 * time.Second
)

// Bounded writes lines to another writer without ever blocking the caller. Lines over its
// rate, or over what the output takes, are dropped and counted.
type BoundedWriter struct {
	Out io.Writer
	// PerSecond lines are written at most, on average over a few seconds.
	LinesPerSecond int

	startOnce       sync.Once
	lines           chan []byte
	mu              sync.Mutex
	tokens          float64
	refilledAt      time.Time
	unreportedDrops int
	totalDropped    int
	reportedAt      time.Time
	done            chan struct{}
}

func (b *BoundedWriter) start() {
	b.lines, b.done = make(chan []byte, maxQueuedLines), make(chan struct{})
	b.tokens, b.refilledAt = float64(b.LinesPerSecond*burstSeconds), time.Now()
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// A line that can't be written has nowhere to be reported to.
			_, _ = b.Out.Write(line)
		}
	}()
}

// Write takes one line.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.startOnce.Do(b.start)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*float64(b.LinesPerSecond), float64(b.LinesPerSecond*burstSeconds))
	b.refilledAt = now
	b.reportDropped(now)
	if b.tokens < 1 {
		b.unreportedDrops++
		b.totalDropped++
		return len(line), nil
	}
	b.tokens--
	b.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

// queue hands a line over, or counts it; b.mu is held.
func (b *BoundedWriter) enqueue(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.unreportedDrops++
		b.totalDropped++
	}
}

// tell says how many lines were dropped; b.mu is held.
func (b *BoundedWriter) reportDropped(now time.Time) {
	if b.unreportedDrops == 0 || now.Sub(b.reportedAt) < dropReportInterval {
		return
	}
	n := b.unreportedDrops
	b.unreportedDrops, b.reportedAt = 0, now
	b.enqueue(fmt.Appendf(nil, "level=warn event=%d name=%s lines=%d\n", eventLogDropped.Number, eventLogDropped.Name, n))
}

// Dropped counts the lines dropped so far.
func (b *BoundedWriter) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes what is queued; nothing may be written after it.
func (b *BoundedWriter) Close() {
	b.startOnce.Do(b.start)
	close(b.lines)
	<-b.done
}

var eventLogDropped = Define(1, "log-dropped", Warn, "So many lines were dropped, over the rate of lines or because the output was slow.")
