package contract

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// masterEvery is how often the master looks at members and rows.
	masterEvery = 250 * time.Millisecond
	// weighEvery is how often shares may follow demand alone.
	weighEvery = 30 * time.Second
	// mostHolders is how many VMs at most hold shares of a group; the others borrow.
	mostHolders = 16
)

// Master writes a group's row while it leads. Set the fields, then Run.
type Master struct {
	Group      string
	Shares     *Shares
	Leadership Leadership

	row Row
	// fresh: row is the newest as far as this VM knows from the table.
	fresh bool
	// since is when row was known to be in force.
	since time.Time
	// adopted are the answers to row, by holder of the version before.
	adopted map[Holder]Version
	// knowing is when a holder was first known to know row, or to have ended.
	knowing map[Holder]time.Time
	// heard is when a holder answered last.
	heard map[Holder]time.Time
	ended map[Holder]time.Time
	// demand is what the VMs told last; weighed is when weights were last taken from it.
	demand  map[Name]map[Holder]float64
	weights map[Name]map[Holder]float64
	weighed time.Time
}

// Run leads when it is the leader, until ctx ends.
func (m *Master) Run(ctx context.Context) error {
	m.Shares.init()
	m.demand = map[Name]map[Holder]float64{}
	m.weighed = m.Shares.Now()
	tick := time.NewTicker(masterEvery)
	defer tick.Stop()
	for {
		if m.Leadership.Held() {
			m.work(ctx)
		} else {
			m.fresh = false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// work makes one step, or two if the first takes effect everywhere at once.
func (m *Master) work(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Shares.Validity/2)
	defer cancel()
	for range 3 {
		if !m.fresh && !m.read(ctx) {
			return
		}
		m.push(ctx)
		if !m.settled() || !m.write(ctx) {
			return
		}
	}
}

func (m *Master) read(ctx context.Context) bool {
	row, err := m.Shares.Table.Read(ctx)
	if err != nil {
		return false
	}
	if row.Version != m.row.Version || m.since.IsZero() {
		m.begin(row)
	}
	m.fresh = true
	return true
}

// begin starts the wait until nobody uses the row before this one.
func (m *Master) begin(r Row) {
	m.row = r
	m.since = m.Shares.Now()
	m.adopted = map[Holder]Version{}
	m.knowing = map[Holder]time.Time{}
	m.heard = map[Holder]time.Time{}
	m.ended = map[Holder]time.Time{}
	m.Shares.Adopt(r)
}

// push tells the row to all whom it concerns and notes their answers.
func (m *Master) push(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Shares.Validity/6)
	defer cancel()
	var mu sync.Mutex
	var asks sync.WaitGroup
	for vm := range m.audience() {
		asks.Go(func() {
			a, err := m.ask(ctx, vm)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			m.answered(a)
		})
	}
	asks.Wait()
	for _, h := range m.row.Previous {
		if m.ended[h].IsZero() && m.Shares.Peers.Ended(h) {
			m.ended[h] = m.Shares.Now()
			m.know(h)
		}
	}
}

// audience is whom to ask: holders of the row before until it is out of use, and all
// members now and then for their demand.
func (m *Master) audience() map[VMName]bool {
	vms := map[VMName]bool{m.Shares.Self.VM: true}
	if !m.settled() {
		for _, h := range m.row.Previous {
			vms[h.VM] = true
		}
	}
	if m.Shares.Now().Sub(m.weighed) >= weighEvery {
		for _, member := range m.Shares.Peers.Members() {
			vms[member.Holder.VM] = true
		}
	}
	return vms
}

func (m *Master) ask(ctx context.Context, vm VMName) (RenewAnswer, error) {
	r := RenewRequest{Version: m.row.Version, Row: &m.row}
	if vm == m.Shares.Self.VM {
		return m.Shares.Renewed(r), nil
	}
	return m.Shares.Peers.Renew(ctx, vm, r)
}

func (m *Master) answered(a RenewAnswer) {
	for _, d := range m.demand {
		delete(d, a.Holder)
	}
	for name, d := range a.Demand {
		if d < 0 {
			// It would make other parts sum to more than the limit.
			continue
		}
		if m.demand[name] == nil {
			m.demand[name] = map[Holder]float64{}
		}
		m.demand[name][a.Holder] = d
	}
	m.adopted[a.Holder] = a.Adopted
	m.heard[a.Holder] = m.Shares.Now()
	if a.Version > m.row.Version {
		m.fresh = false
	}
	if a.Version >= m.row.Version {
		m.know(a.Holder)
	}
}

func (m *Master) know(h Holder) {
	if m.knowing[h].IsZero() {
		m.knowing[h] = m.Shares.Now()
	}
}

// settled tells whether nobody uses the version before the row any more: each of its
// holders has adopted the row, or has ended and its loans with it, or has been silent
// for the validity after a majority of them knew the row.
func (m *Master) settled() bool {
	now := m.Shares.Now()
	late := !now.Before(m.lapse())
	for _, h := range m.row.Previous {
		if m.adopted[h] >= m.row.Version {
			continue
		}
		if at := m.ended[h]; !at.IsZero() {
			if now.Sub(at) < m.wait(m.Shares.LoanValidity) {
				return false
			}
			continue
		}
		if at := m.heard[h]; !late || !at.IsZero() && now.Sub(at) < m.wait(m.Shares.Validity) {
			return false
		}
	}
	return true
}

// lapse is when the version before the row ends at holders that don't answer.
func (m *Master) lapse() time.Time {
	var known []time.Time
	for _, h := range m.row.Previous {
		if at := m.knowing[h]; !at.IsZero() {
			known = append(known, at)
		}
	}
	most := len(m.row.Previous)/2 + 1
	if len(known) < most {
		return m.Shares.Now().Add(time.Hour)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Before(known[j]) })
	last := known[most-1]
	if m.since.After(last) {
		last = m.since
	}
	return last.Add(m.wait(m.Shares.Validity))
}

// wait is d on a clock that may run fast, with what lingers.
func (m *Master) wait(d time.Duration) time.Duration { return d + 2*d/drift + m.Shares.Linger }

// write takes the next step towards the wanted shares. It tells whether it wrote.
func (m *Master) write(ctx context.Context) bool {
	limits := m.limits()
	wanted := m.wanted(limits)
	next := step(m.row, limits, wanted)
	if !m.Leadership.Held() || same(next.Holders, m.row.Holders) {
		return false
	}
	err := m.Shares.Table.Swap(ctx, next)
	if err != nil {
		m.fresh = errorx.IsOfType(err, ErrUnavailable)
		return false
	}
	m.begin(next)
	return true
}

func (m *Master) limits() map[Name]Limit {
	m.Shares.mu.Lock()
	defer m.Shares.mu.Unlock()
	return m.Shares.limits
}

// wanted divides the limits over the members. Demand alone moves shares only now and
// then, since loans follow it at once.
func (m *Master) wanted(limits map[Name]Limit) []Grant {
	members := m.members()
	if m.Shares.Now().Sub(m.weighed) >= weighEvery {
		m.weigh()
	}
	var grants []Grant
	for _, h := range members {
		grants = append(grants, Grant{Holder: h, Shares: map[Name]Share{}})
	}
	for name, l := range limits {
		shares := divide(l, members, m.weights[name])
		for i, h := range members {
			grants[i].Shares[name] = shares[h]
		}
	}
	return grants
}

// weigh takes the present demand as weights.
func (m *Master) weigh() {
	m.weighed = m.Shares.Now()
	m.weights = map[Name]map[Holder]float64{}
	for name, d := range m.demand {
		m.weights[name] = maps.Clone(d)
	}
}

func (m *Master) members() []Holder {
	all := []Holder{m.Shares.Self}
	for _, member := range m.Shares.Peers.Members() {
		if !member.Leaving {
			all = append(all, member.Holder)
		}
	}
	return pick(all, m.Group, mostHolders)
}
