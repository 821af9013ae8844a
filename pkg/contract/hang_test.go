package contract_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

// If a majority of the holders hang, the others must keep their validity by reading the
// table.
func TestMajorityOfHoldersHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 9, map[contract.Name]contract.Limit{workspaceContract: contract.Rate{PerSecond: 90, Burst: 90}})
		f.startAll(8)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		for i := 4; i < 9; i++ {
			f.pause(i)
		}
		for second := range 30 {
			time.Sleep(time.Second)
			assert.NilError(t, f.vms[0].shares.Admit(context.Background(), workspaceContract), "%d s after", second+1)
		}
	})
}
