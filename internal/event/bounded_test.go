package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBoundedWriterLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := &BoundedWriter{Out: &out, LinesPerSecond: 10}
		for range 1000 {
			fmt.Fprintln(b, "line")
			<-time.After(10 * time.Millisecond)
		}
		b.Close()
		written := strings.Count(out.String(), "line\n")
		assert.Assert(t, written <= 10*(10+burstSeconds), "%d lines in 10 s", written)
		assert.Equal(t, written+b.Dropped(), 1000)
		assert.Assert(t, strings.Contains(out.String(), "name=log-dropped"))
	})
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		b := &BoundedWriter{Out: blockedWriter{release}, LinesPerSecond: 1 << 20}
		startedAt := time.Now()
		for range 2 * maxQueuedLines {
			fmt.Fprintln(b, "line")
		}
		assert.Equal(t, time.Since(startedAt), time.Duration(0))
		assert.Assert(t, b.Dropped() >= maxQueuedLines-2, "%d dropped", b.Dropped())
		close(release)
		b.Close()
	})
}
