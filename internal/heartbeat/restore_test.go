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
	return d.era
}

func (d *memoryDirectory) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// TestRegistersAfterRestore guards against a VM that a starting one can't find: the directory came
// back from a copy without its entry, which a VM wrote only once.
func TestRegistersAfterRestore(t *testing.T) {
	for name, size := range map[string]int{"mesh": 9, "digests": 60} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, size, func(fleet *testFleet) {
				fleet.wait(5 * time.Second)
				assert.Equal(t, fleet.directory.size(), size)
				leaving := fleet.vms[size-1]
				leaving.Leave(t.Context())
				// Only one VM reads the store by itself meanwhile.
				fleet.vms[0].NoteStoreEra(fleet.directory.restore())
				fleet.wait(3 * time.Second)
				assert.Equal(t, fleet.directory.size(), size-1, "the leaving VM isn't registered again")
			})
		})
	}
}
