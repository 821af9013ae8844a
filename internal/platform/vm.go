package platform

import "context"

type (
	// DocumentVersion numbers accepted documents, from 1; 0 is none.
	DocumentVersion int64
	// DocumentHash names a document's body in the store.
	DocumentHash string
)

// VMState is how the platform lists a VM.
type VMState string

// The states of the list, which lags.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	Name VMName
	// Address is where its peers reach it.
	Address          Address
	AvailabilityZone AvailabilityZone
	State            VMState
}

// VMList is the platform's list of VMs. It lags behind what runs.
type VMList interface {
	// List gives all VMs, live and leaving. ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}
