package heartbeat

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restore removes all entries from the directory, as a store does that is restored from a copy.
func (d *memoryDirectory) restore() StoreEra {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.entries)
	d.era++
	d.lists = 0
	return d.era
}

func (d *memoryDirectory) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

func (d *memoryDirectory) listCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lists
}

// TestRegistersAfterRestore guards against a VM that a starting one can't find: the directory came
// back from a copy without its entry, which a VM wrote only once.
func TestRegistersAfterRestore(t *testing.T) {
	tests := map[string]struct {
		size int
		// readers is the number of VMs that read the directory of a fleet: of all, or the delegates.
		readers int
	}{
		"mesh":    {size: 9, readers: 9},
		"digests": {size: 60, readers: 3 * delegatesPerZone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			size := test.size
			runFleet(t, size, func(fleet *testFleet) {
				fleet.wait(5 * time.Second)
				assert.Equal(t, fleet.directory.size(), size)
				leaving := fleet.vms[size-1]
				leaving.Leave(t.Context())
				// Only one VM reads the store by itself meanwhile.
				fleet.vms[0].NoteStoreEra(fleet.directory.restore())
				fleet.wait(3 * time.Second)
				assert.Equal(t, fleet.directory.size(), size-1, "the leaving VM isn't registered again")
				assert.Check(t, fleet.directory.listCount() <= test.readers, "%d reads", fleet.directory.listCount())
			})
		})
	}
}

// TestVMStartsAfterRestore guards against a starting VM that takes itself for the only one, and the
// whole of each rate for its own: the directory came back from a copy without the others' entries,
// and they don't know it yet.
func TestVMStartsAfterRestore(t *testing.T) {
	for name, size := range map[string]int{"mesh": 9, "digests": 60} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, size, func(fleet *testFleet) {
				fleet.wait(5 * time.Second)
				fleet.directory.restore()
				fleet.seeds = []string{fleet.vms[4].Conn.LocalAddr().String()}
				f := fleet.startVM(size)
				for !f.Settled() {
					fleet.wait(10 * time.Millisecond)
				}
				assert.Check(t, f.Size() > size*9/10, "the VM counts %d of %d VMs", f.Size(), size+1)
			})
		})
	}
}
