package heartbeat

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// addLostVMs adds the entries of VMs to the directory that were lost without removing them.
func (fleet *testFleet) addLostVMs(n int) {
	fleet.directory.mu.Lock()
	defer fleet.directory.mu.Unlock()
	for i := range n {
		fleet.directory.entries[VMName(fmt.Sprint("lost-", i))] = Entry{Address: fmt.Sprintf("10.9.0.%d:7560", i+1), Zone: fmt.Sprint("zone-", i%3)}
	}
}

// TestLostVMsInDirectory guards against a small fleet that takes itself for a large one because the directory
// has the entries of VMs that were lost: VMs then sent heartbeats to the delegates of their zones, some of
// which were lost ones, and lost sight of each other.
func TestLostVMsInDirectory(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		fleet.addLostVMs(20)
		fleet.assertSizes(t, fleet.vms, 9, 90*time.Second)
		for _, f := range fleet.vms {
			assert.Check(t, !f.UsesDigests(), "%s", f.VM)
			assert.Equal(t, f.Size(), 9, "%s", f.VM)
		}
		before := fleet.countDatagrams()
		fleet.wait(10 * time.Second)
		perVM := float64(fleet.countDatagrams()-before) / 10 / 9
		assert.Check(t, perVM < 15, "%.1f datagrams a second and VM", perVM)

		// One that starts meanwhile becomes known to all.
		late := fleet.startVM(9)
		fleet.wait(3 * time.Second)
		assert.Equal(t, late.Size(), 10)
		fleet.assertSizes(t, fleet.vms, 10, 30*time.Second)
	})
}

// TestAllStartWithLostVMsInDirectory guards against the same when all VMs start.
func TestAllStartWithLostVMsInDirectory(t *testing.T) {
	runFleet(t, 0, func(fleet *testFleet) {
		fleet.addLostVMs(20)
		for i := range 9 {
			fleet.startVM(i)
		}
		fleet.wait(5 * time.Second)
		fleet.assertSizes(t, fleet.vms, 9, 60*time.Second)
	})
}

// selected returns the names of the VMs among which a VM would count a majority.
func selected(f *Fleet) int {
	_, names := f.SelectVMs("prove/g", 9)
	return len(names)
}

// TestStartingVMCountsListedOnes guards against a primary that is replaced by a minority: a VM that had just
// started, or was paused or cut off, took the few others that it heard for all.
func TestStartingVMCountsListedOnes(t *testing.T) {
	tests := map[string]func(t *testing.T, fleet *testFleet) *Fleet{
		"it has just started and is cut off with two others": func(_ *testing.T, fleet *testFleet) *Fleet {
			late := fleet.startVM(8)
			fleet.cut([]*Fleet{late, fleet.vms[1], fleet.vms[2]}, fleet.without(late, fleet.vms[1], fleet.vms[2]))
			return late
		},
		"it resumes after a pause and hears two others": func(_ *testing.T, fleet *testFleet) *Fleet {
			f := fleet.vms[0]
			fleet.setIsolated(true, f)
			fleet.wait(40 * time.Second)
			// A paused VM neither ticks nor receives, and nothing is forgotten meanwhile.
			fleet.cut([]*Fleet{f, fleet.vms[1], fleet.vms[2]}, fleet.vms[3:])
			fleet.setIsolated(false, f)
			return f
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 8, func(fleet *testFleet) {
				fleet.wait(4 * time.Second)
				f := test(t, fleet)
				fleet.wait(100 * time.Millisecond)
				for f.Size() < 2 {
					fleet.wait(100 * time.Millisecond)
				}
				for began := time.Now(); time.Since(began) < 12*time.Second; fleet.wait(100 * time.Millisecond) {
					assert.Assert(t, selected(f) >= 8, "%d VMs count after %s", selected(f), time.Since(began))
				}
				fleet.wait(6 * time.Second)
				assert.Equal(t, selected(f), 3, "the others may be lost for good")
			})
		})
	}
}

// cut cuts two groups of VMs off from each other.
func (fleet *testFleet) cut(a, b []*Fleet) {
	side := map[string]int{}
	for _, f := range a {
		side[f.Conn.LocalAddr().String()] = 1
	}
	for _, f := range b {
		side[f.Conn.LocalAddr().String()] = 2
	}
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	fleet.network.reaches = func(from, to string) bool { return side[from] == side[to] || side[from]*side[to] == 0 }
}

// TestPausedVMForgetsNobody guards against a VM that decides right after a pause, before it has heard anyone.
func TestPausedVMForgetsNobody(t *testing.T) {
	f := fleetOf(8)
	now := clock.Now()
	defer clock.Fake(func() clock.Instant { return now })()
	f.startedAt = now.Add(-time.Minute)
	f.detectPause(now)
	now = now.Add(time.Minute)
	assert.Equal(t, selected(f), 9, "before the pause is noted")
	f.detectPause(now)
	f.expirePeers()
	assert.Equal(t, selected(f), 9)
	for _, p := range f.PeersNamed(maps.Clone(f.selections["prove/g"].names)) {
		assert.Check(t, p.Silent, "%s", p.VM)
	}
}

// TestKnowsFleet guards against a decision by a VM that knows only the others that it happened to hear.
func TestKnowsFleet(t *testing.T) {
	runFleet(t, 8, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		fleet.directory.mu.Lock()
		fleet.directory.unavailable = true
		fleet.directory.mu.Unlock()
		alone := fleet.startVM(8)
		fleet.wait(3 * time.Second)
		assert.Check(t, !alone.KnowsFleet(), "it has reached nobody")
		fleet.seeds = []string{fleet.vms[4].Conn.LocalAddr().String()}
		told := fleet.startVM(9)
		fleet.wait(time.Second)
		assert.Check(t, told.KnowsFleet(), "another VM has named all")
		assert.Equal(t, selected(told), 9)
	})
}
