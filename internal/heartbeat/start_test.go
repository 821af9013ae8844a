package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllVMsStartAtOnce guards against VMs that refuse their callers for two seconds after all lost power:
// a delegate, which gets no view itself, and VMs that ignore its view because a neighbor didn't say that it
// is settling, as it hadn't read the directory yet and took the fleet for a small one.
func TestAllVMsStartAtOnce(t *testing.T) {
	const size, spread, settledWithin = 84, 300 * time.Millisecond, time.Second
	runFleet(t, 0, func(fleet *testFleet) {
		fleet.directory.listTime = 30 * time.Millisecond
		// The directory still has the VMs' entries.
		for i := range size {
			fleet.directory.entries[VMName(fmt.Sprintf("vm-%02d", i))] = Entry{Address: fmt.Sprintf("10.0.%d.%d:7560", i/100*3+i%3, i%100+1), Zone: fmt.Sprint("zone-", i%3)}
		}
		started := map[*Fleet]time.Time{}
		for i := range size {
			started[fleet.startVM(i)] = time.Now()
			fleet.wait(spread / size)
		}
		for late := size; late > 0; fleet.wait(20 * time.Millisecond) {
			late = 0
			for f, at := range started {
				if f.Settled() {
					continue
				}
				late++
				assert.Assert(t, time.Since(at) <= settledWithin, "%s isn't settled after %s", f.VM, time.Since(at))
			}
		}
	})
}
