package operator

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// seedPrefix begins the names under which seed peers are called until they tell their
// own. No VM can have such a name.
const seedPrefix = "seed/"

// seeds is the platform's list of VMs, in whose place the seed peers stand until it has
// been read once.
type seededVMList struct {
	platform.VMList
	seedAddresses []platform.Address
	// listed is true once the platform's list was read.
	listed atomic.Bool
}

// List gives the platform's list, or the seed peers by their addresses.
func (s *seededVMList) List(ctx context.Context) ([]platform.VM, error) {
	list, err := s.VMList.List(ctx)
	if err == nil {
		s.listed.Store(true)
		return list, nil
	}
	if s.listed.Load() || len(s.seedAddresses) == 0 {
		return nil, err
	}
	for _, a := range s.seedAddresses {
		list = append(list, platform.VM{Name: platform.VMName(seedPrefix + a), Address: a, State: platform.VMLive})
	}
	return list, nil
}

// size is how many VMs the fleet has, this one included: as many as there are seed
// peers at least, until the list tells.
func (s *seededVMList) fleetSize(members []peer.Member) int {
	known := 0
	for _, m := range members {
		if !strings.HasPrefix(string(m.Name), seedPrefix) {
			known++
		}
	}
	if !s.listed.Load() {
		known = max(known, len(s.seedAddresses))
	}
	return known + 1
}
