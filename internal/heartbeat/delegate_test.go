package heartbeat

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// setIsolated cuts VMs off from all others, or reconnects them.
func (fleet *testFleet) setIsolated(isolated bool, vms ...*Fleet) {
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	for _, f := range vms {
		fleet.network.isolated[f.Conn.LocalAddr().String()] = isolated
	}
}

// firstDelegates returns the VMs that regard themselves as the first delegate of a zone.
func (fleet *testFleet) firstDelegates(zone string) []*Fleet {
	var list []*Fleet
	for _, f := range fleet.vms {
		f.mu.Lock()
		if f.Zone == zone && f.isFirstDelegate() {
			list = append(list, f)
		}
		f.mu.Unlock()
	}
	return list
}

// byAddress returns the VM at an address.
func (fleet *testFleet) byAddress(address string) *Fleet {
	for _, f := range fleet.vms {
		if f.Conn.LocalAddr().String() == address {
			return f
		}
	}
	return nil
}

// total returns the last total demand that a VM received.
func (fleet *testFleet) total(f *Fleet) total {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.totals[f.VM]
}

// without returns the VMs apart from some.
func (fleet *testFleet) without(excluded ...*Fleet) []*Fleet {
	var list []*Fleet
next:
	for _, f := range fleet.vms {
		for _, e := range excluded {
			if e == f {
				continue next
			}
		}
		list = append(list, f)
	}
	return list
}

// assertSizes checks for a while that all the given VMs count at least as many live VMs.
func (fleet *testFleet) assertSizes(t *testing.T, vms []*Fleet, least int, length time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; fleet.wait(100 * time.Millisecond) {
		for _, f := range vms {
			assert.Assert(t, f.Size() >= least, "%s counts %d VMs after %s", f.VM, f.Size(), time.Since(began))
		}
	}
}

// When delegates fail, the other VMs must not lose sight of each other, or owners of connections
// would change for no reason.
func TestDelegatesFail(t *testing.T) {
	tests := map[string]int{"the first": 1, "both": 2}
	for name, failing := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 45, func(fleet *testFleet) {
				fleet.wait(8 * time.Second)
				first := fleet.firstDelegates("zone-0")
				assert.Equal(t, len(first), 1)
				first[0].mu.Lock()
				second := fleet.byAddress(first[0].delegates("zone-0")[1])
				first[0].mu.Unlock()
				failed := []*Fleet{first[0], second}[:failing]
				fleet.setIsolated(true, failed...)
				rest := fleet.without(failed...)
				fleet.assertSizes(t, rest, 45-failing, 12*time.Second)
				for _, f := range rest {
					assert.Equal(t, f.Size(), 45-failing, "%s", f.VM)
				}
				fleet.setIsolated(false, failed...)
				fleet.assertSizes(t, rest, 45-failing, 8*time.Second)
				for _, f := range fleet.vms {
					assert.Equal(t, f.Size(), 45, "%s", f.VM)
					assert.Equal(t, fleet.total(f).vms, 45, "%s", f.VM)
				}
				assert.Equal(t, len(fleet.firstDelegates("zone-0")), 1)
			})
		})
	}
}

// More than half of the VMs disappear at once and return, as after a power failure.
func TestManyVMsReturnAtOnce(t *testing.T) {
	runFleet(t, 60, func(fleet *testFleet) {
		fleet.wait(8 * time.Second)
		gone := fleet.vms[:33]
		fleet.setIsolated(true, gone...)
		fleet.wait(6 * time.Second)
		for _, f := range fleet.without(gone...) {
			assert.Equal(t, f.Size(), 27, "%s", f.VM)
		}
		fleet.setIsolated(false, gone...)
		fleet.wait(4 * time.Second)
		for _, f := range fleet.vms {
			assert.Equal(t, f.Size(), 60, "%s", f.VM)
		}
	})
}

// A delegate that was paused sees all other VMs as silent when it wakes. It must not tell its zone
// so, and another VM acts as delegate until it has heard from the others again.
func TestPausedDelegateStandsBack(t *testing.T) {
	f := fleetOf(60)
	now := clock.Now()
	defer clock.Fake(func() clock.Instant { return now })()
	f.startedAt = now.Add(-time.Minute)
	f.LinkMbps = 1000
	f.detectPause(now)
	f.mu.Lock()
	assert.Assert(t, f.isFirstDelegate())
	f.mu.Unlock()
	now = now.Add(5 * time.Second)
	f.detectPause(now)
	f.mu.Lock()
	assert.Assert(t, !f.isFirstDelegate())
	assert.Assert(t, f.isSettling(now))
	f.mu.Unlock()
	for range 6 {
		now = now.Add(time.Second / 2)
		f.detectPause(now)
		for _, p := range f.peers {
			p.live, p.lastSeen = true, now
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, f.isFirstDelegate())
}

// All VMs of a large fleet start at once. They must all know each other before callers come, and
// the datagrams that a VM exchanges afterwards must not grow with the fleet: heartbeats to two
// delegates, those of the second delegate, a view each minViewInterval, and a few digests.
func TestLargeFleetStarts(t *testing.T) {
	const maxDatagrams = 12
	received := map[int]float64{}
	for _, n := range []int{45, 180} {
		runFleet(t, n, func(fleet *testFleet) {
			fleet.wait(8 * time.Second)
			for _, f := range fleet.vms {
				assert.Equal(t, f.Size(), n, "%s", f.VM)
				assert.Equal(t, fleet.total(f), total{float64(n), 1, n}, "%s", f.VM)
			}
			before := fleet.countDatagrams()
			fleet.wait(10 * time.Second)
			received[n] = float64(fleet.countDatagrams()-before) / 10 / float64(n)
		})
	}
	t.Logf("datagrams a second and VM: %.1f at 45 VMs, %.1f at 180", received[45], received[180])
	assert.Assert(t, received[45] < maxDatagrams)
	assert.Assert(t, received[180] < maxDatagrams)
}

func (fleet *testFleet) countDatagrams() int {
	synctest.Wait()
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	return fleet.network.datagrams
}

// The demand in a view and the part of it that the receiver reported are of the same instant, so
// that the shares of the VMs of a zone add up to one while demand grows.
func TestViewsTellIncludedDemand(t *testing.T) {
	runFleet(t, 45, func(fleet *testFleet) {
		fleet.wait(8 * time.Second)
		fleet.mu.Lock()
		fleet.demand = 9
		fleet.mu.Unlock()
		for range 20 {
			fleet.wait(100 * time.Millisecond)
			synctest.Wait()
			fleet.mu.Lock()
			sums := map[string]total{}
			for _, f := range fleet.vms {
				s := sums[f.Zone]
				s.own, s.demand = s.own+fleet.totals[f.VM].own, fleet.totals[f.VM].demand
				sums[f.Zone] = s
			}
			fleet.mu.Unlock()
			for zone, s := range sums {
				assert.Assert(t, s.own <= s.demand, "%s: own %v of %v", zone, s.own, s.demand)
			}
		}
		for _, f := range fleet.vms {
			assert.Equal(t, fleet.total(f), total{9 * 45, 9, 45}, "%s", f.VM)
		}
	})
}
