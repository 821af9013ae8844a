package fakeplatform

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// table is the platform's table.
type table struct{ p *Platform }

// Get reads a row.
func (t table) Get(ctx context.Context, key platform.RowKey) (platform.Row, error) {
	var row platform.Row
	err := t.p.read(ctx, TableGet, func() { row = t.p.newest(key) })
	if err != nil {
		return platform.Row{}, err
	}
	if row.Version == 0 {
		return platform.Row{}, platform.ErrNoRow.New("row %s", key)
	}
	return row, nil
}

// List reads the rows of a prefix.
func (t table) List(ctx context.Context, prefix platform.RowKey) ([]platform.Row, error) {
	var rows []platform.Row
	err := t.p.read(ctx, TableList, func() { rows = t.p.list(prefix) })
	return rows, err
}

// Put writes a row if its version is the stored one.
func (t table) Put(ctx context.Context, row platform.Row) (platform.Row, error) {
	f, err := t.p.begin(ctx, TablePut)
	if err != nil {
		return platform.Row{}, err
	}
	if f.Kind == Conflict {
		t.p.writeOther(row, f)
	}
	var written platform.Row
	var matched bool
	err = t.p.effect(ctx, f, func() { written, matched = t.p.write(row) })
	if err != nil {
		return platform.Row{}, err
	}
	if !matched {
		return platform.Row{}, platform.ErrConflict.New("row %s isn't at version %d", row.Key, row.Version)
	}
	return written, nil
}

// store is the platform's object store.
type store struct{ p *Platform }

// Get reads an object.
func (s store) Get(ctx context.Context, name platform.ObjectName) ([]byte, error) {
	var body []byte
	var found bool
	err := s.p.read(ctx, StoreGet, func() { body, found = s.p.store[name] })
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, platform.ErrNoObject.New("object %s", name)
	}
	return append([]byte(nil), body...), nil
}

// Put writes an object.
func (s store) Put(ctx context.Context, name platform.ObjectName, body []byte) error {
	f, err := s.p.begin(ctx, StorePut)
	if err != nil {
		return err
	}
	kept := append([]byte(nil), body...)
	err = s.p.effect(ctx, f, func() { s.p.store[name] = kept })
	if err != nil {
		return platform.ErrUnavailable.Wrap(err, "object %s", name)
	}
	return nil
}

// read runs look under the lock as the call's fault says.
func (p *Platform) read(ctx context.Context, call Call, look func()) error {
	f, err := p.begin(ctx, call)
	if err != nil {
		return err
	}
	if f.Kind == Slow && !wait(ctx, f.Delay) {
		return platform.ErrUnavailable.Wrap(ctx.Err(), "%s", call)
	}
	if f.Kind == LostAnswer || f.Kind == LostRequest {
		return platform.ErrUnavailable.New("%s: the answer was lost", call)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	look()
	return nil
}

// effect runs change under the lock as the call's fault says. A slow one changes
// half-way, whether or not its caller still waits.
func (p *Platform) effect(ctx context.Context, f Fault, change func()) error {
	if f.Kind == LostRequest {
		return platform.ErrOutcomeUnknown.New("the request was lost")
	}
	delay := time.Duration(0)
	if f.Kind == Slow {
		delay = f.Delay
	}
	done := make(chan struct{})
	time.AfterFunc(delay/2, func() {
		defer close(done)
		p.mu.Lock()
		defer p.mu.Unlock()
		change()
	})
	select {
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown.Wrap(ctx.Err(), "the answer is late")
	case <-done:
	}
	if f.Kind == LostAnswer {
		return platform.ErrOutcomeUnknown.New("the answer was lost")
	}
	if !wait(ctx, delay/2) {
		return platform.ErrOutcomeUnknown.Wrap(ctx.Err(), "the answer is late")
	}
	return nil
}

// writeOther has another writer win over the row.
func (p *Platform) writeOther(row platform.Row, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.newest(row.Key)
	other.Change = platform.NewChangeID()
	if other.Version == 0 {
		other.Body = row.Body
	}
	if f.Other != nil {
		other = f.Other(other)
	}
	p.write(other)
}
