package peer

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// staticVMList is a list of VMs that never changes.
type staticVMList []platform.VM

func (l staticVMList) List(context.Context) ([]platform.VM, error) { return l, nil }

// BenchmarkUpdateStates measures one update of all members' states, which runs at each heartbeat
// interval.
func BenchmarkUpdateStates(b *testing.B) {
	for _, size := range []int{9, 81, 400, 1_600} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			var vms staticVMList
			for i := range size {
				vms = append(vms, platform.VM{Name: platform.VMName(fmt.Sprintf("vm-%04d", i)), Address: "10.0.0.1:1", State: platform.VMLive})
			}
			f := &Fleet{Self: "vm-0000", VMs: vms, Logger: log.NewNopLogger()}
			f.init()
			f.readList(b.Context())
			for b.Loop() {
				f.updateStates()
			}
		})
	}
}
