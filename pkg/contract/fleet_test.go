package contract_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

// table is an in-memory Table with injected outages and lost responses.
type table struct {
	mu          sync.Mutex
	row         contract.Row
	unavailable bool
	loseReplies bool
	callCount   int
}

func (t *table) Read(ctx context.Context) (contract.Row, error) {
	time.Sleep(3 * time.Millisecond)
	if ctx.Err() != nil {
		return contract.Row{}, contract.ErrUnavailable.Wrap(ctx.Err(), "too late")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callCount++
	if t.unavailable {
		return contract.Row{}, contract.ErrUnavailable.New("outage")
	}
	return t.row, nil
}

func (t *table) Swap(_ context.Context, r contract.Row) error {
	time.Sleep(3 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callCount++
	if t.unavailable {
		return contract.ErrUnavailable.New("outage")
	}
	if r.Version != t.row.Version+1 {
		return contract.ErrConflict.New("version %d", t.row.Version)
	}
	t.row = r
	if t.loseReplies {
		return contract.ErrOutcomeUnknown.New("response lost")
	}
	return nil
}

// vm is one VM of the simulated fleet. A restart replaces its Shares.
type vm struct {
	name        contract.VMName
	incarnation contract.Incarnation
	shares      *contract.Shares
	stop        func()
	alive       bool
	leader      bool
	isolated    bool          // cut off from VMs and table, but not from callers
	running     chan struct{} // closed unless the VM is paused
	drift       float64       // relative error of the speed of the VM's clock
}

// fleet is a simulated fleet of VMs with a network between them.
type fleet struct {
	mu           sync.Mutex
	table        *table
	limits       map[contract.Name]contract.Limit
	linger       time.Duration
	vms          []*vm
	random       *rand.Rand
	lossRate     float64
	networkDelay time.Duration
	messageCount int
	byteCount    int
	startedAt    time.Time
}

func newFleet(seed uint64, size int, limits map[contract.Name]contract.Limit) *fleet {
	f := &fleet{
		table: &table{}, limits: limits, networkDelay: time.Millisecond,
		random: rand.New(rand.NewPCG(seed, seed)), startedAt: time.Now(),
	}
	for i := range size {
		running := make(chan struct{})
		close(running)
		f.vms = append(f.vms, &vm{name: contract.VMName(rune('a' + i)), running: running, drift: f.random.Float64()*5e-4 - 2.5e-4})
	}
	return f
}

func (f *fleet) start(i int) {
	f.mu.Lock()
	v := f.vms[i]
	v.incarnation++
	v.alive = true
	startedAt := f.startedAt
	drift := v.drift
	s := &contract.Shares{
		Self: contract.Holder{VM: v.name, Incarnation: v.incarnation}, MaxWait: time.Second, Linger: f.linger,
		Now: func() time.Time {
			d := time.Since(startedAt)
			return startedAt.Add(d + time.Duration(float64(d)*drift))
		},
	}
	e := &endpoint{fleet: f, vm: v, incarnation: v.incarnation}
	s.Table, s.Peers = e, e
	s.SetLimits(f.limits)
	v.shares = s
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Unlock()
	var work sync.WaitGroup
	allocator := &contract.Allocator{Group: "g", Shares: s, Leadership: e}
	work.Go(func() { _ = s.Run(ctx) })
	work.Go(func() { _ = allocator.Run(ctx) })
	v.stop = func() {
		cancel()
		work.Wait()
	}
}

func (f *fleet) startAll(leader int) {
	f.vms[leader].leader = true
	for i := range f.vms {
		f.start(i)
	}
}

// kill ends a VM's process without a shutdown.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	wasAlive := f.vms[i].alive
	f.vms[i].alive = false
	f.mu.Unlock()
	if wasAlive {
		f.resume(i)
		f.vms[i].stop()
	}
}

func (f *fleet) pause(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[i].running = make(chan struct{})
}

func (f *fleet) resume(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.vms[i].running:
	default:
		close(f.vms[i].running)
	}
}

func (f *fleet) stopAll() {
	for i := range f.vms {
		f.kill(i)
	}
}

// endpoint connects one VM to the other VMs and to the table. Its calls block while the VM
// is paused.
type endpoint struct {
	fleet       *fleet
	vm          *vm
	incarnation contract.Incarnation
}

func (e *endpoint) waitWhilePaused() {
	e.fleet.mu.Lock()
	running := e.vm.running
	e.fleet.mu.Unlock()
	<-running
}

// isReachable reports whether messages get through to another VM, or to the table if to is
// nil.
func (e *endpoint) isReachable(to *vm) bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return !e.vm.isolated && (to == nil || !to.isolated)
}

func (e *endpoint) Held() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.vm.leader
}

func (e *endpoint) Read(ctx context.Context) (contract.Row, error) {
	e.waitWhilePaused()
	defer e.waitWhilePaused()
	if !e.isReachable(nil) {
		return contract.Row{}, contract.ErrUnavailable.New("cut")
	}
	return e.fleet.table.Read(ctx)
}

func (e *endpoint) Swap(ctx context.Context, r contract.Row) error {
	e.waitWhilePaused()
	defer e.waitWhilePaused()
	if !e.isReachable(nil) {
		return contract.ErrUnavailable.New("cut")
	}
	return e.fleet.table.Swap(ctx, r)
}

func (e *endpoint) Members() []contract.Member {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []contract.Member
	for _, v := range f.vms {
		select {
		case <-v.running:
		default:
			continue
		}
		if v != e.vm && v.alive && !v.isolated {
			list = append(list, contract.Member{Holder: contract.Holder{VM: v.name, Incarnation: v.incarnation}})
		}
	}
	return list
}

func (e *endpoint) Ended(h contract.Holder) bool {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.name == h.VM {
			return v.incarnation > h.Incarnation
		}
	}
	return false
}

// deliver simulates the delivery of one message: it counts and delays the message, and
// returns an error if it is lost.
func (e *endpoint) deliver(ctx context.Context, body any) error {
	f := e.fleet
	encoded, _ := json.Marshal(body)
	f.mu.Lock()
	f.messageCount++
	f.byteCount += len(encoded)
	lost := f.random.Float64() < f.lossRate
	delayed := f.lossRate > 0 && f.random.Float64() < 0.2
	d := f.networkDelay
	if delayed {
		d += time.Duration(f.random.Float64() * float64(800*time.Millisecond))
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return contract.ErrUnavailable.New("lost")
	}
	time.Sleep(d)
	return nil
}

// peer returns the VM of the given name, or nil if its process is not running.
func (e *endpoint) peer(to contract.VMName) *vm {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.name == to && v.alive {
			return v
		}
	}
	return nil
}

// call delivers a request to another VM and its response back; either one may be delayed or
// lost.
func (e *endpoint) call(ctx context.Context, to contract.VMName, request any, handle func(*contract.Shares) (any, error)) (any, error) {
	e.waitWhilePaused()
	defer e.waitWhilePaused()
	if err := e.deliver(ctx, request); err != nil {
		return nil, err
	}
	v := e.peer(to)
	if v == nil {
		return nil, contract.ErrUnavailable.New("dead")
	}
	if !e.isReachable(v) {
		<-ctx.Done()
		return nil, contract.ErrUnavailable.New("cut")
	}
	e.fleet.mu.Lock()
	running := v.running
	e.fleet.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
		return nil, contract.ErrUnavailable.New("paused")
	}
	if e.peer(to) == nil {
		return nil, contract.ErrUnavailable.New("dead")
	}
	response, err := handle(v.shares)
	if err != nil {
		return nil, err
	}
	if err := e.deliver(ctx, response); err != nil {
		return nil, err
	}
	return response, nil
}

func (e *endpoint) Renew(ctx context.Context, to contract.VMName, r contract.RenewRequest) (contract.RenewAnswer, error) {
	a, err := e.call(ctx, to, r, func(s *contract.Shares) (any, error) { return s.AnswerRenew(r), nil })
	if err != nil {
		return contract.RenewAnswer{}, err
	}
	return a.(contract.RenewAnswer), nil
}

func (e *endpoint) Borrow(ctx context.Context, to contract.VMName, r contract.BorrowRequest) (contract.BorrowAnswer, error) {
	a, err := e.call(ctx, to, r, func(s *contract.Shares) (any, error) { return s.Lend(r) })
	if err != nil {
		return contract.BorrowAnswer{}, err
	}
	return a.(contract.BorrowAnswer), nil
}

// history records the requests that all VMs of a fleet admitted and refused.
type history struct {
	mu        sync.Mutex
	admitted  []time.Time
	refused   []time.Time
	waitTimes []time.Duration
	// connectedRequests lists the requests to VMs that weren't cut off from the others.
	connectedRequests []*request
}

// request is a request that arrived at a VM.
type request struct {
	arrivedAt time.Time
	admitted  bool
}

// maxOverrun returns by how many tokens the admitted requests exceed burst + rate x window in
// the worst window. It is at most 0 if the limit was never exceeded.
func (h *history) maxOverrun(rate, burst float64) float64 {
	if len(h.admitted) == 0 {
		return 0
	}
	overrun, lowestLevel := -burst, 0.0
	for i, at := range h.admitted {
		level := float64(i) - rate*at.Sub(h.admitted[0]).Seconds()
		if i == 0 || level < lowestLevel {
			lowestLevel = level
		}
		overrun = max(overrun, level-lowestLevel+1-burst)
	}
	return overrun
}

// minThroughput returns the lowest rate admitted in any window of the given width that starts
// at least from after the first admission. It also returns the largest number of requests
// that connected VMs didn't admit in a window whose rate was below requiredRate.
func (h *history) minThroughput(from, width time.Duration, requiredRate float64) (minRate float64, maxMissed int) {
	first, last := h.admitted[0], h.admitted[len(h.admitted)-1]
	minRate = float64(len(h.admitted))
	for at := first.Add(from); at.Add(width).Before(last); at = at.Add(width / 4) {
		inside := func(t time.Time) bool { return t.After(at) && t.Before(at.Add(width)) }
		count, missed := 0.0, 0
		for _, a := range h.admitted {
			if inside(a) {
				count++
			}
		}
		for _, r := range h.connectedRequests {
			if inside(r.arrivedAt) && !r.admitted {
				missed++
			}
		}
		minRate = min(minRate, count/width.Seconds())
		if count/width.Seconds() < requiredRate {
			maxMissed = max(maxMissed, missed)
		}
	}
	return minRate, maxMissed
}

// request sends one request to a VM and records its outcome.
func (f *fleet) request(h *history, i int, name contract.Name) {
	v := f.vms[i]
	(&endpoint{fleet: f, vm: v}).waitWhilePaused()
	f.mu.Lock()
	s, alive, isolated := v.shares, v.alive, v.isolated
	f.mu.Unlock()
	if !alive {
		return
	}
	r := &request{arrivedAt: time.Now()}
	if !isolated {
		h.mu.Lock()
		h.connectedRequests = append(h.connectedRequests, r)
		h.mu.Unlock()
	}
	err := s.Admit(context.Background(), name)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.refused = append(h.refused, r.arrivedAt)
		return
	}
	r.admitted = true
	h.admitted = append(h.admitted, time.Now())
	h.waitTimes = append(h.waitTimes, time.Since(r.arrivedAt))
}
