package fakeplatform

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Call is a kind of call to the platform.
type Call string

// The calls.
const (
	TableGet  Call = "table-get"
	TablePut  Call = "table-put"
	TableList Call = "table-list"
	StoreGet  Call = "store-get"
	StorePut  Call = "store-put"
)

// Calls lists every kind of call.
func Calls() []Call {
	return []Call{TableGet, TablePut, TableList, StoreGet, StorePut}
}

// FaultKind is a way in which calls go wrong.
type FaultKind string

// The kinds of fault.
const (
	// None is a call that goes well; it ends a fault.
	None FaultKind = "none"
	// Down refuses calls without doing anything.
	Down FaultKind = "down"
	// Slow answers after the fault's delay; a write takes effect half-way, also when
	// its caller has given up.
	Slow FaultKind = "slow"
	// LostAnswer does what the call asks and then fails it.
	LostAnswer FaultKind = "lost-answer"
	// LostRequest fails a call in the same way without having done anything.
	LostRequest FaultKind = "lost-request"
	// Conflict has another writer win just before a conditional write.
	Conflict FaultKind = "conflict"
)

// Fault makes the calls of one kind go wrong.
type Fault struct {
	Kind FaultKind
	// After is how many calls still go well first.
	After int
	// Times is how many calls go wrong then; 0 is all until the fault is ended.
	Times int
	// Delay is that of Slow.
	Delay time.Duration
	// Other is what the other writer of Conflict makes of a row; nil is the same row
	// under another change id.
	Other func(platform.Row) platform.Row
}

type armedFault struct {
	Fault
	seen int
}

// SetFault replaces the fault of a kind of call.
func (p *Platform) SetFault(call Call, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[call] = &armedFault{Fault: f}
}

// SetFaults replaces the faults of several kinds of call, or of all if none is named.
func (p *Platform) SetFaults(f Fault, calls ...Call) {
	if len(calls) == 0 {
		calls = Calls()
	}
	for _, c := range calls {
		p.SetFault(c, f)
	}
}

// SetSteps has the next calls of a kind meet one fault each, before any set by SetFault.
func (p *Platform) SetSteps(call Call, steps ...Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps[call] = steps
}

// fault counts a call and gives the fault that it meets.
func (p *Platform) fault(call Call) Fault {
	p.counts[call]++
	if steps := p.steps[call]; len(steps) > 0 {
		p.steps[call] = steps[1:]
		return steps[0]
	}
	armed := p.faults[call]
	if armed == nil {
		return Fault{Kind: None}
	}
	armed.seen++
	over := armed.Times > 0 && armed.seen > armed.After+armed.Times
	if armed.seen <= armed.After || over {
		return Fault{Kind: None}
	}
	return armed.Fault
}

// begin counts a call, keeps it to the limit and gives its fault.
func (p *Platform) begin(ctx context.Context, call Call) (Fault, error) {
	p.mu.Lock()
	allowed := p.allowed(call)
	f := p.fault(call)
	p.mu.Unlock()
	if !allowed {
		return f, errThrottled.New("%s: over the limit", call)
	}
	if f.Kind == Down {
		return f, platform.ErrUnavailable.New("%s: the service is down", call)
	}
	if ctx.Err() != nil {
		return f, platform.ErrUnavailable.Wrap(ctx.Err(), "%s", call)
	}
	return f, nil
}

func (p *Platform) allowed(call Call) bool {
	switch call {
	case TablePut:
		return p.writes.take(p.WriteLimit)
	case TableGet, TableList:
		return p.reads.take(p.ReadLimit)
	}
	return true
}

var errThrottled = platform.ErrUnavailable.NewSubtype("throttled")

// wait waits and reports whether it waited to the end.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return platform.Pause(ctx, d)
}
