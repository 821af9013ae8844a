package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionsOpened guards against connections that are opened again and again for the same workspaces,
// which takes a server's slots from statements. The bounds are the targets, per request.
func TestConnectionsOpened(t *testing.T) {
	for name, test := range map[string]struct{ factor, opened float64 }{
		"calm": {1, 0.1},
		"busy": {6, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			c := playContention(t, 1, true, test.factor, 20*time.Second)
			n := 0
			for _, o := range c.outcomes {
				n += o.arrived
			}
			assert.Assert(t, float64(c.opened) <= test.opened*float64(n), c.report())
		})
	}
}
