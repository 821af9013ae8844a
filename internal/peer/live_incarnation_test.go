package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/peer"
)

// LiveIncarnation returns the current incarnation of a VM that sends heartbeats, and false
// for a VM that is unknown, cut off, stopped or has said goodbye.
func TestLiveIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &vmList{}
		all := startFleet(t, network, vms, 3)
		expectIncarnation := func(incarnation peer.Incarnation) {
			t.Helper()
			got, found := all[1].LiveIncarnation(vmName(0))
			assert.Assert(t, found == (incarnation != 0) && got == incarnation, "got %d %v, want %d", got, found, incarnation)
		}
		expectIncarnation(1)
		_, found := all[1].LiveIncarnation("unknown")
		assert.Assert(t, !found)

		network.Cut("vm-00", "vm-01")
		time.Sleep(2 * time.Second)
		expectIncarnation(0)
		network.Heal("vm-00", "vm-01")
		time.Sleep(4 * time.Second)
		expectIncarnation(1)

		all[0].stop()
		time.Sleep(2 * time.Second)
		expectIncarnation(0)
		all[0] = startVM(t, network, vms, vmName(0), 2, nil)
		time.Sleep(4 * time.Second)
		expectIncarnation(2)

		all[0].Goodbye(t.Context())
		expectIncarnation(0)
	})
}
