package lease_test

import (
	"context"
	"fmt"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

type memoryTable struct{ row lease.Row }

func (t *memoryTable) Read(context.Context) (lease.Row, error) { return t.row, nil }

func (t *memoryTable) Swap(_ context.Context, row lease.Row) (lease.Row, error) {
	if row.Version != t.row.Version {
		return lease.Row{}, lease.ErrConflict.New("version %d is stored", t.row.Version)
	}
	row.Version++
	t.row = row
	return row, nil
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	l := &lease.Lease{
		Self:        lease.Member{Name: "vm-1", Incarnation: "1"},
		Table:       &memoryTable{},
		Candidates:  func() []lease.Name { return nil },
		ListedNames: func() ([]lease.Name, bool) { return nil, false },
		NewChangeID: func() lease.ChangeID { return "first" },
	}
	changed := l.Changed()
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	<-changed
	for {
		changed = l.Changed()
		if grant, held := l.Held(); held {
			fmt.Println("held, version", grant.Version)
			break
		}
		<-changed
	}
	cancel()
	<-done
	// Output: held, version 1
}
