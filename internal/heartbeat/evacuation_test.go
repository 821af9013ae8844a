package heartbeat

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// spreadTime is the time in which all VMs must know a change of the zones that are being evacuated.
const spreadTime = time.Second

// evacuated returns the zones that a VM knows are being evacuated, "unknown" if it doesn't know them.
func (f *Fleet) evacuated() string {
	since, known := f.EvacuatedZones()
	if !known {
		return "unknown"
	}
	return strings.Join(slices.Sorted(maps.Keys(since)), " ")
}

// readers returns the VMs that read the store.
func (fleet *testFleet) readers() []*Fleet {
	var list []*Fleet
	for _, f := range fleet.vms {
		if f.IsZoneDelegate() {
			list = append(list, f)
		}
	}
	return list
}

// assertEvacuated checks which zones VMs know are being evacuated.
func assertEvacuated(t *testing.T, vms []*Fleet, want string) {
	t.Helper()
	synctest.Wait()
	for _, f := range vms {
		assert.Equal(t, f.evacuated(), want, "%s", f.VM)
	}
}

// note has VMs read a set of zones from the store.
func note(vms []*Fleet, era StoreEra, version int64, zones ...string) {
	for _, f := range vms {
		f.NoteStoreEra(era)
		f.NoteEvacuatedZones(era, version, zones)
	}
}

// An evacuation must reach each VM within a second, whichever of those that have read it from the
// store end in that moment; otherwise a VM sends requests into a zone that is about to lose power.
func TestEvacuationSpreads(t *testing.T) {
	tests := map[string]struct {
		size int
		// readers chooses those that read the change from the store, and ended those that end in that
		// moment.
		readers, ended func(fleet *testFleet) []*Fleet
		lossRate       float64
	}{
		"mesh, one reader":       {size: 9, readers: func(fleet *testFleet) []*Fleet { return fleet.vms[:1] }},
		"digests, all readers":   {size: 45, readers: (*testFleet).readers},
		"digests, 71 VMs":        {size: 71, readers: (*testFleet).readers},
		"digests, largest fleet": {size: largestFleet, readers: (*testFleet).readers},
		"digests, one delegate":  {size: 45, readers: func(fleet *testFleet) []*Fleet { return fleet.readers()[:1] }},
		"a tenth of the datagrams lost": {
			size: 45, readers: (*testFleet).readers, lossRate: 0.1,
		},
		"the delegate ends that has read it": {
			size: 45, readers: (*testFleet).readers,
			ended: func(fleet *testFleet) []*Fleet { return fleet.firstDelegates("zone-0") },
		},
		"both delegates of a zone end": {
			size: 45, readers: (*testFleet).readers,
			ended: func(fleet *testFleet) []*Fleet {
				return slices.DeleteFunc(fleet.readers(), func(f *Fleet) bool { return f.Zone != "zone-1" })
			},
		},
		"all delegates but one end": {
			size: 45, readers: (*testFleet).readers,
			ended: func(fleet *testFleet) []*Fleet { return fleet.readers()[1:] },
		},
		"a zone's delegates can't reach the store": {
			size: 45, readers: func(fleet *testFleet) []*Fleet {
				return slices.DeleteFunc(fleet.readers(), func(f *Fleet) bool { return f.Zone == "zone-1" })
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.size, func(fleet *testFleet) {
				fleet.wait(8 * time.Second)
				note(fleet.readers(), 1, 10)
				fleet.wait(spreadTime)
				assertEvacuated(t, fleet.vms, "")
				before := fleet.countDatagrams()
				fleet.wait(spreadTime)
				usual := fleet.countDatagrams() - before
				fleet.network.mu.Lock()
				fleet.network.lossRate = test.lossRate
				fleet.network.mu.Unlock()
				rest := fleet.vms
				readers := test.readers(fleet)
				if test.ended != nil {
					ended := test.ended(fleet)
					fleet.setIsolated(true, ended...)
					rest = fleet.without(ended...)
				}
				note(readers, 1, 20, "zone-2")
				fleet.wait(spreadTime)
				t.Logf("%.1f datagrams a VM in the second of the change, %.1f in the one before", float64(fleet.countDatagrams()-before-usual)/float64(test.size), float64(usual)/float64(test.size))
				assertEvacuated(t, rest, "zone-2")
				for _, f := range rest {
					since, _ := f.EvacuatedZones()
					assert.Assert(t, clock.Since(since["zone-2"]) <= spreadTime+time.Millisecond, "%s: its grace ends early", f.VM)
				}
				// A second zone, while the first is still being evacuated, and the end of both.
				note(readers, 1, 21, "zone-1", "zone-2")
				fleet.wait(spreadTime)
				assertEvacuated(t, rest, "zone-1 zone-2")
				note(readers, 1, 22)
				fleet.wait(spreadTime)
				assertEvacuated(t, rest, "")
			})
		})
	}
}

// The newest set wins, by the store's era and then version, whatever order sets arrive in.
func TestNewestEvacuationWins(t *testing.T) {
	tests := map[string]struct {
		apply func(fleet *testFleet)
		want  string
	}{
		"older version": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			note(fleet.vms[1:2], 1, 19)
		}, "zone-1"},
		"same version": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			note(fleet.vms[1:2], 1, 20, "zone-1")
		}, "zone-1"},
		"later era with a lower version": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20)
			note(fleet.vms[1:2], 2, 5, "zone-1")
		}, "zone-1"},
		"version of an earlier era": {func(fleet *testFleet) {
			note(fleet.vms[:1], 2, 5, "zone-1")
			note(fleet.vms[1:2], 1, 20)
		}, "zone-1"},
		"row lost by a restore, soon after it": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			fleet.wait(spreadTime)
			note(fleet.vms[:1], 2, 15)
		}, "zone-1"},
		"row lost by a restore and not written again": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			fleet.wait(spreadTime)
			note(fleet.vms[:1], 2, 15)
			fleet.wait(rewriteTime)
		}, ""},
		"row lost by a restore and written again": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			fleet.wait(spreadTime)
			note(fleet.vms[:1], 2, 15)
			fleet.wait(rewriteTime / 2)
			note(fleet.vms[:1], 2, 16, "zone-1")
			fleet.wait(rewriteTime)
		}, "zone-1"},
		"another zone while a row is missing after a restore": {func(fleet *testFleet) {
			note(fleet.vms[:1], 1, 20, "zone-1")
			fleet.wait(spreadTime)
			note(fleet.vms[:1], 2, 15, "zone-2")
		}, "zone-1 zone-2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 9, func(fleet *testFleet) {
				fleet.wait(4 * time.Second)
				note(fleet.vms, 1, 10)
				test.apply(fleet)
				fleet.wait(spreadTime)
				assertEvacuated(t, fleet.vms[:1], test.want)
			})
		})
	}
}

// A VM that starts during an evacuation, or comes back into contact, gets no grace of its own.
func TestLateVMGetsNoGrace(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		note(fleet.vms, 1, 10)
		fleet.setIsolated(true, fleet.vms[8])
		note(fleet.vms[:1], 1, 20, "zone-1")
		fleet.wait(5 * time.Second)
		assertEvacuated(t, fleet.vms[8:], "")
		fleet.setIsolated(false, fleet.vms[8])
		started := fleet.startVM(9)
		fleet.wait(spreadTime)
		for _, f := range []*Fleet{fleet.vms[8], started} {
			assert.Equal(t, f.evacuated(), "zone-1", "%s", f.VM)
			since, _ := f.EvacuatedZones()
			assert.Assert(t, clock.Since(since["zone-1"]) >= 5*time.Second, "%s", f.VM)
		}
		// A VM that reads the row before it hears others must not end their grace.
		reader := fleet.startVM(10)
		note([]*Fleet{reader}, 1, 30, "zone-1", "zone-2")
		since, _ := reader.EvacuatedZones()
		assert.Assert(t, clock.Since(since["zone-2"]) >= longAge)
		fleet.wait(spreadTime)
		since, _ = fleet.vms[0].EvacuatedZones()
		assert.Assert(t, clock.Since(since["zone-2"]) <= spreadTime)
	})
}

// A VM that was paused asks before it goes on, and one that nobody answers goes on after a while.
func TestAsksAfterPause(t *testing.T) {
	for name, cutOff := range map[string]bool{"answered": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 9, func(fleet *testFleet) {
				fleet.wait(4 * time.Second)
				note(fleet.vms, 1, 10)
				f := fleet.vms[0]
				assert.Assert(t, f.AwaitEvacuation(time.Now()))
				fleet.setIsolated(cutOff, f)
				// The VM's clock has passed the pause, and nothing has run since.
				f.evacuation.checkedAt.Store(int64(clock.Now().Add(-5 * time.Second)))
				assert.Assert(t, !f.AwaitEvacuation(time.Now()))
				began := time.Now()
				assert.Assert(t, f.AwaitEvacuation(began.Add(2*questionTimeout)))
				assert.Equal(t, time.Since(began) > questionTimeout, cutOff, "%s", time.Since(began))
			})
		})
	}
}

// The answer to a question after a pause must have reached the VM's other parts before AwaitEvacuation
// lets them go on, or they send by what was known before the pause.
func TestAnswerIsReportedFirst(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		note(fleet.vms, 1, 10)
		fleet.wait(spreadTime)
		f := fleet.vms[0]
		reported := false
		f.mu.Lock()
		f.evacuation.checkedAt.Store(int64(clock.Now().Add(-5 * time.Second)))
		f.evacuation.question, f.evacuation.askedAt = 7, clock.Now()
		f.OnEvacuation = func() {
			reported = true
			assert.Check(t, !f.AwaitEvacuation(time.Now()), "sends before it is told")
		}
		f.mu.Unlock()
		f.receiveEvacuation(Message{
			Address: fleet.vms[1].Conn.LocalAddr().String(), Zone: "zone-1", Evacuation: &Evacuation{Era: 1, Version: 20, Zones: map[string]int64{"zone-2": 0}},
			EvacuationNotice: &EvacuationNotice{From: "vm-01", Answer: 7},
		})
		assert.Assert(t, reported)
		assert.Assert(t, f.AwaitEvacuation(time.Now()))
	})
}

// A VM that was paused or cut off may read the row before another VM tells it since when the zone has been
// evacuated. It must not use the zone's servers for a grace of its own then.
func TestAgeIsTakenOver(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		note(fleet.vms, 1, 10)
		late := fleet.vms[0]
		fleet.setIsolated(true, late)
		note(fleet.vms[1:], 1, 20, "zone-1")
		fleet.wait(6 * time.Second)
		reported := 0
		late.OnEvacuation = func() { reported++ }
		note(fleet.vms[:1], 1, 20, "zone-1")
		since, _ := late.EvacuatedZones()
		assert.Equal(t, clock.Since(since["zone-1"]), time.Duration(0))
		fleet.setIsolated(false, late)
		fleet.wait(spreadTime)
		since, _ = late.EvacuatedZones()
		assert.Assert(t, clock.Since(since["zone-1"]) >= 6*time.Second)
		assert.Equal(t, reported, 2)
	})
}
