package operator

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// seedPrefix is the prefix of the provisional names of seed peers, which are used until
// their real names are known. No VM name can contain a slash.
const seedPrefix = "seed/"

// seededVMList is the platform's list of VMs. Until the list has been read once, the seed
// peers are used instead.
type seededVMList struct {
	platform.VMList
	seedAddresses []platform.Address
	// listed is true once the platform's list was read successfully.
	listed atomic.Bool
}

// List returns the platform's list. If it has never been readable, List returns the seed
// peers, with names made of their addresses.
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

// fleetSize returns the number of VMs in the fleet, including this one. Until the
// platform's list has been read, it assumes that there are at least as many other VMs as
// seed peers.
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
