package heartbeat

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// fleetOf returns a fleet that has heard from size other VMs, and hasn't been run.
func fleetOf(size int) *Fleet {
	f := &Fleet{VM: "own", Zone: "zone-0"}
	f.init()
	for i := range size {
		name := VMName(fmt.Sprint("vm-", i))
		f.peers[name] = &peer{address: string(name), live: true, lastSeen: clock.Now(), message: Message{VM: name, Zone: fmt.Sprint("zone-", i%5)}}
	}
	return f
}

// Reading the boot-time clock is a system call. Failovers and catch-ups look at the other VMs many
// times a second, so that the number of these calls must not grow with the fleet.
func TestClockReadsDontGrowWithTheFleet(t *testing.T) {
	tests := map[string]func(f *Fleet){
		"list peers":         func(f *Fleet) { f.Peers() },
		"list some peers":    func(f *Fleet) { f.PeersNamed(map[VMName]bool{"vm-1": true, "vm-2": true}) },
		"find newer version": func(f *Fleet) { f.peersAhead(0) },
		"select VMs":         func(f *Fleet) { f.SelectVMs("prove/g", 9) },
		"size":               func(f *Fleet) { f.Size() },
		"rank":               func(f *Fleet) { f.Rank() },
		"expire peers":       func(f *Fleet) { f.expirePeers() },
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleetOf(295)
			f.peers["starting"] = &peer{addedAt: clock.Now()}
			f.peers["unseen"] = &peer{addedAt: clock.Now()}
			reads, now := 0, clock.Now()
			defer clock.Fake(func() clock.Instant { reads++; return now })()
			test(f)
			assert.Assert(t, reads <= 1, "%d reads", reads)
		})
	}
}

// The selection must be the same in all builds, since VMs of both run beside each other during an
// upgrade.
func TestSelectVMsIsStable(t *testing.T) {
	f := fleetOf(295)
	_, names := f.SelectVMs("prove/g", 5)
	want := map[VMName]bool{"vm-174": true, "vm-229": true, "vm-240": true, "vm-275": true, "vm-30": true}
	assert.DeepEqual(t, names, want)
}
