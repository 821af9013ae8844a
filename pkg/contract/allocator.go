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
	// allocatorInterval is how often the allocator checks the membership and the row.
	allocatorInterval = 250 * time.Millisecond
	// rebalanceInterval is the shortest time between two changes of shares that are made
	// only because demand changed.
	rebalanceInterval = 30 * time.Second
	// maxHolders is the largest number of VMs that hold shares of a group; the others
	// borrow.
	maxHolders = 16
)

// Allocator divides a group's limits: it writes the group's row while this VM holds the
// leadership. Set the exported fields before calling Run.
type Allocator struct {
	Group      string
	Shares     *Shares
	Leadership Leadership

	row Row
	// rowCurrent reports whether row is the newest row in the table, as far as this VM
	// knows.
	rowCurrent bool
	// rowSince is when this VM learned that the table holds row.
	rowSince time.Time
	// adopted holds the version that each holder has reported as adopted since row was
	// written.
	adopted map[Holder]Version
	// knownSince is when a holder was first known to have received row, or to have
	// ended.
	knownSince map[Holder]time.Time
	// lastSeen is the time of the last response of each holder. endedAt is when this VM
	// learned that a holder had ended.
	lastSeen map[Holder]time.Time
	endedAt  map[Holder]time.Time
	// demand holds the last reported demand of each VM. weights is a copy of it, made at
	// weightsUpdated, by which the limits are divided.
	demand         map[Name]map[Holder]float64
	weights        map[Name]map[Holder]float64
	weightsUpdated time.Time
}

// Run allocates shares while this VM holds the leadership, until ctx ends.
func (m *Allocator) Run(ctx context.Context) error {
	m.Shares.init()
	m.demand = map[Name]map[Holder]float64{}
	m.weightsUpdated = m.Shares.Now()
	tick := time.NewTicker(allocatorInterval)
	defer tick.Stop()
	for {
		if m.Leadership.Held() {
			m.advanceRow(ctx)
		} else {
			m.rowCurrent = false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// advanceRow writes the next row towards the wanted shares, or several if each one takes
// effect everywhere at once.
func (m *Allocator) advanceRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Shares.Validity/2)
	defer cancel()
	for range 3 {
		if !m.rowCurrent && !m.readTable(ctx) {
			return
		}
		m.distributeRow(ctx)
		if !m.previousUnused() || !m.writeNextRow(ctx) {
			return
		}
	}
}

// readTable reads the newest row from the table. It reports whether the read succeeded.
func (m *Allocator) readTable(ctx context.Context) bool {
	row, err := m.Shares.Table.Read(ctx)
	if err != nil {
		return false
	}
	if row.Version != m.row.Version || m.rowSince.IsZero() {
		m.setRow(row)
	}
	m.rowCurrent = true
	return true
}

// setRow sets the current row and starts the wait until the preceding row is out of use.
func (m *Allocator) setRow(r Row) {
	m.row = r
	m.rowSince = m.Shares.Now()
	m.adopted = map[Holder]Version{}
	m.knownSince = map[Holder]time.Time{}
	m.lastSeen = map[Holder]time.Time{}
	m.endedAt = map[Holder]time.Time{}
	m.Shares.Adopt(r)
}

// distributeRow sends the row to the VMs that it affects and records their responses.
func (m *Allocator) distributeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Shares.Validity/6)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for vm := range m.recipients() {
		calls.Go(func() {
			a, err := m.sendRow(ctx, vm)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			m.recordAnswer(a)
		})
	}
	calls.Wait()
	for _, h := range m.row.Previous {
		if m.endedAt[h].IsZero() && m.Shares.Peers.Ended(h) {
			m.endedAt[h] = m.Shares.Now()
			m.recordKnown(h)
		}
	}
}

// recipients returns the VMs to send the row to: this VM, the holders of the preceding row
// until it is out of use, and, once per rebalanceInterval, all members to learn their
// demand.
func (m *Allocator) recipients() map[VMName]bool {
	vms := map[VMName]bool{m.Shares.Self.VM: true}
	if !m.previousUnused() {
		for _, h := range m.row.Previous {
			vms[h.VM] = true
		}
	}
	if m.Shares.Now().Sub(m.weightsUpdated) >= rebalanceInterval {
		for _, member := range m.Shares.Peers.Members() {
			vms[member.Holder.VM] = true
		}
	}
	return vms
}

// sendRow sends the row to a VM in a renew request.
func (m *Allocator) sendRow(ctx context.Context, vm VMName) (RenewAnswer, error) {
	r := RenewRequest{Version: m.row.Version, Row: &m.row}
	if vm == m.Shares.Self.VM {
		return m.Shares.AnswerRenew(r), nil
	}
	return m.Shares.Peers.Renew(ctx, vm, r)
}

// recordAnswer records the demand and the versions that a holder reported.
func (m *Allocator) recordAnswer(a RenewAnswer) {
	for _, d := range m.demand {
		delete(d, a.Holder)
	}
	for name, d := range a.Demand {
		if d < 0 {
			// A negative demand would make the shares of others exceed the limit.
			continue
		}
		if m.demand[name] == nil {
			m.demand[name] = map[Holder]float64{}
		}
		m.demand[name][a.Holder] = d
	}
	m.adopted[a.Holder] = a.Adopted
	m.lastSeen[a.Holder] = m.Shares.Now()
	if a.Version > m.row.Version {
		m.rowCurrent = false
	}
	if a.Version >= m.row.Version {
		m.recordKnown(a.Holder)
	}
}

// recordKnown records that a holder knows the row, or that it has ended.
func (m *Allocator) recordKnown(h Holder) {
	if m.knownSince[h].IsZero() {
		m.knownSince[h] = m.Shares.Now()
	}
}

// previousUnused reports whether the version that precedes the row is out of use: each of
// its holders has adopted the row, or has ended and its loans have expired, or hasn't
// answered for the validity after a majority of them knew the row.
func (m *Allocator) previousUnused() bool {
	now := m.Shares.Now()
	expired := !now.Before(m.previousExpires())
	for _, h := range m.row.Previous {
		if m.adopted[h] >= m.row.Version {
			continue
		}
		if at := m.endedAt[h]; !at.IsZero() {
			if now.Sub(at) < m.padded(m.Shares.LoanValidity) {
				return false
			}
			continue
		}
		if at := m.lastSeen[h]; !expired || !at.IsZero() && now.Sub(at) < m.padded(m.Shares.Validity) {
			return false
		}
	}
	return true
}

// previousExpires returns when the preceding version expires at holders that don't answer.
func (m *Allocator) previousExpires() time.Time {
	var known []time.Time
	for _, h := range m.row.Previous {
		if at := m.knownSince[h]; !at.IsZero() {
			known = append(known, at)
		}
	}
	majority := len(m.row.Previous)/2 + 1
	if len(known) < majority {
		return m.Shares.Now().Add(time.Hour)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Before(known[j]) })
	last := known[majority-1]
	if m.rowSince.After(last) {
		last = m.rowSince
	}
	return last.Add(m.padded(m.Shares.Validity))
}

// padded returns d plus a margin for a clock that runs fast, plus the time that units
// may outlive their holder.
func (m *Allocator) padded(d time.Duration) time.Duration { return d + 2*d/invDrift + m.Shares.Linger }

// writeNextRow writes the next row towards the wanted shares. It reports whether a row was
// written.
func (m *Allocator) writeNextRow(ctx context.Context) bool {
	limits := m.limits()
	wanted := m.wantedGrants(limits)
	next := nextRow(m.row, limits, wanted)
	if !m.Leadership.Held() || sameGrants(next.Holders, m.row.Holders) {
		return false
	}
	err := m.Shares.Table.Swap(ctx, next)
	if err != nil {
		m.rowCurrent = errorx.IsOfType(err, ErrUnavailable)
		return false
	}
	m.setRow(next)
	return true
}

func (m *Allocator) limits() map[Name]Limit {
	m.Shares.mu.Lock()
	defer m.Shares.mu.Unlock()
	return m.Shares.limits
}

// wantedGrants divides the limits among the members. Changed demand alone moves shares only
// once per rebalanceInterval, since loans follow demand at once.
func (m *Allocator) wantedGrants(limits map[Name]Limit) []Grant {
	members := m.eligibleHolders()
	if m.Shares.Now().Sub(m.weightsUpdated) >= rebalanceInterval {
		m.updateWeights()
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

// updateWeights replaces the weights by the current demand.
func (m *Allocator) updateWeights() {
	m.weightsUpdated = m.Shares.Now()
	m.weights = map[Name]map[Holder]float64{}
	for name, d := range m.demand {
		m.weights[name] = maps.Clone(d)
	}
}

// eligibleHolders returns the VMs that should hold shares, chosen from this VM and the members
// that aren't leaving.
func (m *Allocator) eligibleHolders() []Holder {
	all := []Holder{m.Shares.Self}
	for _, member := range m.Shares.Peers.Members() {
		if !member.Leaving {
			all = append(all, member.Holder)
		}
	}
	return pickHolders(all, m.Group, maxHolders)
}
