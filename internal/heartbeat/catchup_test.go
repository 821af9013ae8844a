package heartbeat

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A configuration that the store delivers to a single VM reaches the others, which fetch it from
// each other. In a large fleet a VM learns of it from its zone's delegate.
func TestCatchUp(t *testing.T) {
	tests := map[string]struct {
		vms     int
		timeout time.Duration
	}{
		"small fleet": {9, 2 * time.Second},
		"large fleet": {33, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.vms, func(fleet *testFleet) {
				fleet.wait(4 * time.Second)
				stop := fleet.catchUp(fleet.vms...)
				fleet.mu.Lock()
				fleet.versions[fleet.vms[0].VM] = 7
				fleet.mu.Unlock()
				fleet.wait(heartbeatInterval + test.timeout)
				for _, f := range fleet.vms {
					if f.Zone == fleet.vms[0].Zone {
						assert.Equal(t, fleet.versionOf(f), int64(7), "%s", f.VM)
					}
				}
				// The delegates of the other zones wait for the store, too.
				fleet.wait(2 * delegateCatchUpDelay)
				for _, f := range fleet.vms {
					assert.Equal(t, fleet.versionOf(f), int64(7), "%s", f.VM)
				}
				stop()
			})
		})
	}
}

// TestStartingVMCatchesUp guards against callers that meet an older configuration: a starting VM read
// it from a store that was restored from a copy, and was ready before it fetched the newer one that
// the others had.
func TestStartingVMCatchesUp(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.mu.Lock()
		for _, f := range fleet.vms {
			fleet.versions[f.VM] = 7
		}
		fleet.versions["vm-09"] = 3
		fleet.mu.Unlock()
		fleet.wait(4 * time.Second)
		f := fleet.startVM(9)
		defer fleet.catchUp(f)()
		for !f.Settled() {
			fleet.wait(10 * time.Millisecond)
		}
		assert.Equal(t, fleet.versionOf(f), int64(7))
	})
}

// TestCatchesUpAfterRestore guards against a VM that waits for the store to deliver a configuration
// that the store has lost.
func TestCatchesUpAfterRestore(t *testing.T) {
	runFleet(t, 9, func(fleet *testFleet) {
		fleet.wait(4 * time.Second)
		defer fleet.catchUp(fleet.vms...)()
		fleet.vms[0].NoteStoreEra(fleet.directory.restore())
		fleet.mu.Lock()
		fleet.versions[fleet.vms[0].VM] = 7
		fleet.mu.Unlock()
		fleet.wait(delegateCatchUpDelay)
		for _, f := range fleet.vms {
			assert.Equal(t, fleet.versionOf(f), int64(7), "%s", f.VM)
		}
	})
}

// catchUp starts to fetch newer configurations at VMs. The result stops it.
func (fleet *testFleet) catchUp(vms ...*Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, f := range vms {
		c := &ConfigurationCatchUp{
			Fleet: f, Port: "8462", Logger: log.NewNopLogger(),
			OwnVersion: func() int64 { return fleet.versionOf(f) },
			FetchConfiguration: func(_ context.Context, address string) error {
				fleet.mu.Lock()
				defer fleet.mu.Unlock()
				fleet.versions[f.VM] = max(fleet.versions[f.VM], fleet.versionAt(address))
				return nil
			},
		}
		tasks.Go(func() { _ = c.Run(ctx) })
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// versionOf returns a VM's configuration version.
func (fleet *testFleet) versionOf(f *Fleet) int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.versions[f.VM]
}

// versionAt returns the configuration version of the VM whose control port has an address.
// fleet.mu must be held.
func (fleet *testFleet) versionAt(address string) int64 {
	for _, f := range fleet.vms {
		if host(f.Conn.LocalAddr().String()) == host(address) {
			return fleet.versions[f.VM]
		}
	}
	return 0
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
