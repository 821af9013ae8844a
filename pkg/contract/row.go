package contract

import "context"

// VMName identifies a VM.
type VMName string

// Incarnation distinguishes the processes of a VM across restarts; it increases with
// each start.
type Incarnation int64

// Holder is one incarnation of a VM. Its shares and confirmations end with its process.
type Holder struct {
	VM          VMName      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// Version numbers the versions of a group's row, from 1 without gaps; 0 means that no row
// exists.
type Version int64

// Row records the share of each contract of a group that each holder has.
type Row struct {
	Version Version `json:"version"`
	// Previous lists the holders of the preceding version.
	Previous []Holder `json:"previous,omitempty"`
	Grants   []Grant  `json:"holders"`
}

// Grant lists the shares of one holder by contract.
type Grant struct {
	Holder Holder         `json:"holder"`
	Shares map[Name]Share `json:"shares"`
}

// Table stores a group's row.
type Table interface {
	// Read returns the newest row with strong consistency, or the zero Row if none is
	// stored. It fails with ErrUnavailable if the table can't be read.
	Read(ctx context.Context) (Row, error)
	// Swap writes row if the stored version is row.Version-1. It fails with ErrConflict
	// or ErrUnavailable if nothing was written, and with ErrOutcomeUnknown if the row
	// may have been written.
	Swap(ctx context.Context, row Row) error
}

// Leadership reports whether this VM should write the row. It is safe for several VMs to
// hold it at once, since the row is written by compare-and-swap.
type Leadership interface{ Held() bool }

// sharesOf returns the shares of h, or nil if it holds none.
func (r Row) sharesOf(h Holder) map[Name]Share {
	for _, g := range r.Grants {
		if g.Holder == h {
			return g.Shares
		}
	}
	return nil
}

func (r Row) holders() []Holder {
	list := make([]Holder, 0, len(r.Grants))
	for _, g := range r.Grants {
		list = append(list, g.Holder)
	}
	return list
}

func (r Row) has(h Holder) bool { return r.sharesOf(h) != nil }
