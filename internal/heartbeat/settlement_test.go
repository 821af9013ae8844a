package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// load is the demand of each VM's callers for the workspace, in operations per second.
type load func(vm int) float64

// runLoad asks the VMs for operations, apart from those that are down.
func (r *ratesTest) runLoad(l load, length time.Duration) {
	for began := time.Now(); time.Since(began) < length; r.fleet.wait(ratesInterval) {
		synctest.Wait()
		for i, f := range r.fleet.vms {
			if r.down[i] {
				continue
			}
			expected := l(i) * ratesInterval.Seconds()
			n := int(expected)
			if r.random.Float64() < expected-float64(n) {
				n++
			}
			r.asked += n
			for range n {
				if _, ok := r.fleet.limiters[f.VM].Admit("w", r.rate, r.rate); ok {
					r.admitted = append(r.admitted, time.Since(r.started))
				}
			}
		}
	}
}

// unevenLoad divides a demand among n VMs, in parts that fall to zero.
func unevenLoad(demand float64, n int) load {
	return func(vm int) float64 { return demand * 2 * float64(n-vm) / float64(n*(n+1)) }
}

// stopVM ends VM i.
func (fleet *testFleet) stopVM(i int) {
	fleet.cancel[i]()
	synctest.Wait()
}

// restartVM starts VM i again, after stopVM.
func (fleet *testFleet) restartVM(i int) {
	fleet.vms[i] = fleet.startVM(i)
	last := len(fleet.vms) - 1
	fleet.cancel[i] = fleet.cancel[last]
	fleet.vms, fleet.cancel = fleet.vms[:last], fleet.cancel[:last]
}

// calmDemand is the workspace's demand while no VM or link fails, in operations per second.
const calmDemand = 240.0

// testCalm checks that hardly anything is refused below a workspace's rate, lowered from the usual one to a
// given one. Its callers are spread unevenly over the VMs; each leaves after a while and comes back at another VM.
func testCalm(t *testing.T, rate float64) {
	const size, callers, stay = 45, 96, 10 * time.Second
	runFleet(t, size, func(fleet *testFleet) {
		fleet.demand = 0
		r := &ratesTest{fleet: fleet, rate: calmDemand / 0.6, random: rand.New(rand.NewPCG(1, 2)), started: time.Now()}
		anyVM := func() int { return min(r.random.IntN(size), r.random.IntN(size)) }
		at := make([]int, callers)
		for i := range at {
			at[i] = anyVM()
		}
		run := func(length time.Duration) {
			for range length / (stay / callers) {
				at[r.random.IntN(callers)] = anyVM()
				demands := map[int]float64{}
				for _, vm := range at {
					demands[vm] += calmDemand / callers
				}
				r.runLoad(func(vm int) float64 { return demands[vm] }, stay/callers)
			}
		}
		run(5 * time.Second)
		r.rate = rate
		before, asked := len(r.admitted), r.asked
		run(20 * time.Second)
		refused := (r.asked - asked) - (len(r.admitted) - before)
		t.Logf("%d of %d refused", refused, r.asked-asked)
		assert.Check(t, float64(refused) < 0.005*float64(r.asked-asked), "%d of %d refused", refused, r.asked-asked)
	})
}

// TestCalmRefusals guards against refusals below a workspace's rate while no VM or link fails.
func TestCalmRefusals(t *testing.T) { testCalm(t, calmDemand/0.6) }

// TestCalmRefusalsAtLoweredRate guards against the same when the rate was lowered to a tenth above the demand.
func TestCalmRefusalsAtLoweredRate(t *testing.T) { testCalm(t, 1.1*calmDemand) }

// TestSurgeWithCutsAndRestarts guards against a workspace that exceeds its rate on a day on which it did: it
// has many times its usual demand while VMs are cut off from the others, but not from callers, and while
// VMs restart.
func TestSurgeWithCutsAndRestarts(t *testing.T) {
	const size, cutOff, restarting, rate, step = 84, 14, 10, 743.0, 100 * time.Millisecond
	const cutAt, healsAt, surgeLength, downTime, length = 7 * time.Second, 12500 * time.Millisecond, 6 * time.Second, 500 * time.Millisecond, 18 * time.Second
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, size, func(fleet *testFleet) {
				fleet.demand = 0
				r := &ratesTest{fleet: fleet, rate: rate, random: rand.New(rand.NewPCG(seed, 2)), started: time.Now(), down: map[int]bool{}}
				fleet.network.mu.Lock()
				fleet.network.zoneLatency, fleet.network.lossRate = 150*time.Millisecond, 0.01
				fleet.network.mu.Unlock()
				order := r.random.Perm(size)
				alone := map[string]bool{}
				for _, i := range order[:cutOff] {
					alone[fleet.vms[i].Conn.LocalAddr().String()] = true
				}
				// The surge begins up to 1.5 s before or after the cut.
				surgeAt := cutAt + time.Duration(r.random.IntN(31)-15)*step
				// Half of the VMs that restart are cut off.
				stopsAt := map[int]time.Duration{}
				for _, i := range order[cutOff-restarting/2:][:restarting] {
					stopsAt[i] = surgeAt + time.Duration(r.random.IntN(40))*step
				}
				for at := time.Duration(0); at < length; at += step {
					switch at {
					case cutAt:
						fleet.setReaches(func(from, to string) bool { return !alone[from] && !alone[to] })
					case healsAt:
						fleet.setReaches(nil)
					}
					for _, i := range order {
						switch stops, found := stopsAt[i]; {
						case found && at == stops:
							fleet.stopVM(i)
							r.down[i] = true
						case found && at == stops+downTime:
							fleet.restartVM(i)
							r.down[i] = false
						}
					}
					demand := r.usual()
					if at >= surgeAt && at < surgeAt+surgeLength {
						demand = r.surge()
					}
					r.runLoad(unevenLoad(demand, size), step)
				}
				t.Logf("largest window %d of %d", r.largestWindow(), r.allowed())
				assert.Check(t, r.largestWindow() <= r.allowed(), "%d operations in a window, %d are allowed", r.largestWindow(), r.allowed())
			})
		})
	}
}
