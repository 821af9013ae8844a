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

// stuck never takes a line until it is let go.
type stuck struct{ let chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.let
	return len(p), nil
}

func TestBoundedKeepsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := &Bounded{Out: &out, PerSecond: 10}
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

func TestBoundedNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		let := make(chan struct{})
		b := &Bounded{Out: stuck{let}, PerSecond: 1 << 20}
		began := time.Now()
		for range 2 * queuedLines {
			fmt.Fprintln(b, "line")
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, b.Dropped() >= queuedLines-2, "%d dropped", b.Dropped())
		close(let)
		b.Close()
	})
}
