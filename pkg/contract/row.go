package contract

import "context"

// VMName names a VM.
type VMName string

// Incarnation numbers the starts of a VM's process; later ones are greater.
type Incarnation int64

// Holder is one life of a VM: what it promised or owned ends with it.
type Holder struct {
	VM          VMName      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// Version numbers a group's rows, from 1 without gaps; 0 is no row.
type Version int64

// Row says who holds how much of a group's contracts.
type Row struct {
	Version Version `json:"version"`
	// Previous are the holders of the version before this one.
	Previous []Holder `json:"previous,omitempty"`
	Holders  []Grant  `json:"holders"`
}

// Grant is one holder's shares.
type Grant struct {
	Holder Holder         `json:"holder"`
	Shares map[Name]Share `json:"shares"`
}

// Table keeps a group's row.
type Table interface {
	// Read gives the newest row, strongly consistent; the zero Row if there is none.
	// ErrUnavailable.
	Read(ctx context.Context) (Row, error)
	// Swap writes a row if the stored version is one less. ErrConflict,
	// ErrUnavailable (nothing written), ErrOutcomeUnknown.
	Swap(ctx context.Context, row Row) error
}

// Leadership tells whether this VM should write the row. Two VMs that both think so
// do no harm: the row's conditional write decides.
type Leadership interface{ Held() bool }

// grant finds a holder's shares; nil if it has none.
func (r Row) grant(h Holder) map[Name]Share {
	for _, g := range r.Holders {
		if g.Holder == h {
			return g.Shares
		}
	}
	return nil
}

func (r Row) holders() []Holder {
	list := make([]Holder, 0, len(r.Holders))
	for _, g := range r.Holders {
		list = append(list, g.Holder)
	}
	return list
}

func (r Row) has(h Holder) bool { return r.grant(h) != nil }
