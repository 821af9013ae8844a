package fakeupstream

import (
	"bytes"
	"fmt"
	"sync"
)

// Recorder keeps what servers received and ran, as proof. A nil Recorder keeps
// nothing.
type Recorder struct {
	// Limit bounds the kept bytes of each server; 0 means 64 MB.
	Limit int

	mu    sync.Mutex
	bytes map[ServerName]*bytes.Buffer
	runs  []Run
	count map[string]*Count
	order []Entry
}

const defaultLimit = 64 << 20

// Run is one execution of a statement.
type Run struct {
	Server     ServerName
	Connection ConnectionID
	// Transaction numbers the explicit or implicit transactions of the server.
	Transaction TransactionID
	Statement   Statement
}

// Count is how often a statement with certain arguments ran and committed.
type Count struct {
	Ran       int
	Committed int
}

func (r *Recorder) received(name ServerName, _ ConnectionID, p []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == nil {
		r.bytes = map[ServerName]*bytes.Buffer{}
	}
	b := r.bytes[name]
	if b == nil {
		b = &bytes.Buffer{}
		r.bytes[name] = b
	}
	limit := r.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	b.Write(p[:min(len(p), max(0, limit-b.Len()))])
}

func (r *Recorder) ran(name ServerName, n *session, st Statement) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, Run{Server: name, Connection: n.id, Transaction: n.tx.id, Statement: st})
	r.counted(st).Ran++
}

func (r *Recorder) committed(_ ServerName, _ *session, e Entry) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = append(r.order, e)
	for _, st := range e.Statements {
		r.counted(st).Committed++
	}
}

func (r *Recorder) counted(st Statement) *Count {
	if r.count == nil {
		r.count = map[string]*Count{}
	}
	key := fmt.Sprintf("%s %q", st.SQL, st.Args)
	c := r.count[key]
	if c == nil {
		c = &Count{}
		r.count[key] = c
	}
	return c
}

// Received is every byte that a server got from clients, within the limit, of all
// connections in order of arrival.
func (r *Recorder) Received(name ServerName) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.bytes[name]; b != nil {
		return bytes.Clone(b.Bytes())
	}
	return nil
}

// Runs lists all executions in order, of all servers.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Commits lists all commits in order, of all servers, lost ones included.
func (r *Recorder) Commits() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.order...)
}

// Count tells how often a statement ran and committed; placeholders are written
// the engine's way, ?1.
func (r *Recorder) Count(st Statement) Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.counted(st)
}
