package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait to be written while the output is slow.
	maxQueuedLines = 1024
	// burstSeconds is the burst size, in seconds of lines at the maximum rate.
	burstSeconds = 5
	// dropReportInterval is the minimum time between two log lines about dropped lines.
	dropReportInterval = 5 * time.Second
)

// BoundedWriter writes lines to another writer without ever blocking the caller. Lines above
// its rate, or lines that the output is too slow for, are dropped and counted.
type BoundedWriter struct {
	Out io.Writer
	// LinesPerSecond is the refill rate of the token bucket, whose size is
	// LinesPerSecond*burstSeconds.
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
			// The error is ignored: the log is the only place to report it.
			_, _ = b.Out.Write(line)
		}
	}()
}

// Write queues one line or drops it. It always reports success.
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

// enqueue queues a line for writing, or counts it as dropped if the queue is full. b.mu
// must be held.
func (b *BoundedWriter) enqueue(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.unreportedDrops++
		b.totalDropped++
	}
}

// reportDropped logs the number of lines dropped since the last report, at most once in
// dropReportInterval. b.mu must be held.
func (b *BoundedWriter) reportDropped(now time.Time) {
	if b.unreportedDrops == 0 || now.Sub(b.reportedAt) < dropReportInterval {
		return
	}
	n := b.unreportedDrops
	b.unreportedDrops, b.reportedAt = 0, now
	b.enqueue(fmt.Appendf(nil, "level=warn event=%d name=%s lines=%d\n", eventLogDropped.Number, eventLogDropped.Name, n))
}

// Dropped returns the total number of dropped lines.
func (b *BoundedWriter) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes the queued lines. Write must not be called afterwards.
func (b *BoundedWriter) Close() {
	b.startOnce.Do(b.start)
	close(b.lines)
	<-b.done
}

var eventLogDropped = Define(1, "log-dropped", Warn, "Log lines were dropped because they exceeded the rate limit or the output was slow; the key lines has their number.")
