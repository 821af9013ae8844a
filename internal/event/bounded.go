package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines wait to be written while the output is slow.
	queuedLines = 1024
	// burstSeconds of lines may come at once.
	burstSeconds = 5
	// droppedEvery is how often dropped lines are told of.
	droppedEvery = 5 * time.Second
)

// Bounded writes lines to another writer without ever blocking the caller. Lines over its
// rate, or over what the output takes, are dropped and counted.
type Bounded struct {
	Out io.Writer
	// PerSecond lines are written at most, on average over a few seconds.
	PerSecond int

	once    sync.Once
	lines   chan []byte
	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped int
	total   int
	toldAt  time.Time
	done    chan struct{}
}

func (b *Bounded) start() {
	b.lines, b.done = make(chan []byte, queuedLines), make(chan struct{})
	b.tokens, b.last = float64(b.PerSecond*burstSeconds), time.Now()
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// A line that can't be written has nowhere to be reported to.
			_, _ = b.Out.Write(line)
		}
	}()
}

// Write takes one line.
func (b *Bounded) Write(line []byte) (int, error) {
	b.once.Do(b.start)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*float64(b.PerSecond), float64(b.PerSecond*burstSeconds))
	b.last = now
	b.tell(now)
	if b.tokens < 1 {
		b.dropped++
		b.total++
		return len(line), nil
	}
	b.tokens--
	b.queue(append([]byte(nil), line...))
	return len(line), nil
}

// queue hands a line over, or counts it; b.mu is held.
func (b *Bounded) queue(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.dropped++
		b.total++
	}
}

// tell says how many lines were dropped; b.mu is held.
func (b *Bounded) tell(now time.Time) {
	if b.dropped == 0 || now.Sub(b.toldAt) < droppedEvery {
		return
	}
	n := b.dropped
	b.dropped, b.toldAt = 0, now
	b.queue(fmt.Appendf(nil, "level=warn event=%d name=%s lines=%d\n", eventDropped.Number, eventDropped.Name, n))
}

// Dropped counts the lines dropped so far.
func (b *Bounded) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes what is queued; nothing may be written after it.
func (b *Bounded) Close() {
	b.once.Do(b.start)
	close(b.lines)
	<-b.done
}

var eventDropped = Define(1, "log-dropped", Warn, "So many lines were dropped, over the rate of lines or because the output was slow.")
