package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
)

// A floor query waits for the watches of a VM that has just started.
func TestFloorWaitsForWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakenet.New()
		for _, server := range []fakenet.Host{"a", "b", "c"} {
			network.Delay("vm", server, 50*time.Millisecond)
		}
		u, _ := startGroup(t, network)
		synctest.Wait()
		g, found := u.Group("r1")
		assert.Assert(t, found)
		_, err := g.Floor(t.Context())
		assert.NilError(t, err)
	})
}
