package heartbeat

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A VM to which the store doesn't deliver a new configuration fetches it from another VM. In a
// large fleet it does so sooner, since only zone delegates read the store.
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
				fleet.mu.Lock()
				fleet.versions = map[VMName]int64{fleet.vms[0].VM: 7}
				fleet.mu.Unlock()
				ctx, cancel := context.WithCancel(context.Background())
				var tasks sync.WaitGroup
				var mu sync.Mutex
				var version int64
				fetchedFrom := ""
				behind := fleet.vms[3]
				c := &ConfigurationCatchUp{
					Fleet: behind, Port: "8462", Logger: log.NewNopLogger(),
					OwnVersion: func() int64 {
						mu.Lock()
						defer mu.Unlock()
						return version
					},
					FetchConfiguration: func(_ context.Context, address string) error {
						mu.Lock()
						defer mu.Unlock()
						version, fetchedFrom = 7, address
						return nil
					},
				}
				tasks.Go(func() { _ = c.Run(ctx) })
				fleet.wait(heartbeatInterval + test.timeout)
				cancel()
				tasks.Wait()
				assert.Equal(t, version, int64(7))
				assert.Equal(t, fetchedFrom, "10.0.0.1:8462")
			})
		})
	}
}
