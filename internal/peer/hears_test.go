package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/peer"
)

// Hears tells of a VM that beats, in the incarnation that it has now, and of no other.
func TestHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &list{}
		all := fleet(t, network, vms, 3)
		hears := func(life peer.Incarnation) {
			t.Helper()
			got, heard := all[1].Hears(name(0))
			assert.Assert(t, heard == (life != 0) && got == life, "%d %v in place of %d", got, heard, life)
		}
		hears(1)
		_, heard := all[1].Hears("unknown")
		assert.Assert(t, !heard)

		network.Cut("vm-00", "vm-01")
		time.Sleep(2 * time.Second)
		hears(0)
		network.Heal("vm-00", "vm-01")
		time.Sleep(4 * time.Second)
		hears(1)

		all[0].kill()
		time.Sleep(2 * time.Second)
		hears(0)
		all[0] = start(t, network, vms, name(0), 2, nil)
		time.Sleep(4 * time.Second)
		hears(2)

		all[0].Goodbye(t.Context())
		hears(0)
	})
}
