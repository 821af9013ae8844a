package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

// VMState is whether a VM takes new work.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs that run savoryramp. A malformed entry has only
// its name, so that the VM doesn't count as missing from the list.
type VM struct {
	Name VMName `json:"-"`
	// Address is the address at which other VMs connect to it.
	Address          Address          `json:"address"`
	AvailabilityZone AvailabilityZone `json:"availability-zone"`
	State            VMState          `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList interface {
	// List reads the VMs sorted by name. It returns ErrUnavailable if the service fails.
	List(ctx context.Context) ([]VM, error)
}

const vmPrefix = "vm/"

// VMRows is a VMList stored in the rows "vm/NAME" of a table.
type VMRows struct {
	Table Table
}

// List reads the VMs sorted by name.
func (v VMRows) List(ctx context.Context) ([]VM, error) {
	rows, err := v.Table.List(ctx, vmPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]VM, 0, len(rows))
	for _, r := range rows {
		list = append(list, decodeVM(VMName(strings.TrimPrefix(string(r.Key), vmPrefix)), r.Body))
	}
	return list, nil
}

// decodeVM decodes the entry of a VM.
func decodeVM(name VMName, body []byte) VM {
	m := VM{Name: name}
	if err := json.Unmarshal(body, &m); err != nil || m.State != VMLive && m.State != VMLeaving {
		return VM{Name: name}
	}
	_, port, err := net.SplitHostPort(string(m.Address))
	if _, errPort := strconv.ParseUint(port, 10, 16); err != nil || errPort != nil {
		return VM{Name: name}
	}
	return m
}

// IsMalformed reports whether the VM's entry is malformed.
func (m VM) IsMalformed() bool { return m.State == "" }

// Announce writes a VM's entry and replaces an earlier one. It returns the errors of Table.
func (v VMRows) Announce(ctx context.Context, m VM) error {
	key := RowKey(vmPrefix + string(m.Name))
	body, err := json.Marshal(m)
	if err != nil {
		return ErrRow.Wrap(err, "row %s", key)
	}
	row, err := v.Table.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, ErrNoRow) {
		return err
	}
	_, err = v.Table.Put(ctx, Row{Key: key, Version: row.Version, Change: NewChangeID(), Body: body})
	return err
}

// NewChangeID returns a new random ID for one change of a row.
func NewChangeID() ChangeID {
	return ChangeID(uuid.NewString())
}
