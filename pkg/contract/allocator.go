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
	// knownSince holds, for each holder, when this VM learned that the holder had
	// received row, or that it had ended.
	knownSince map[Holder]time.Time
	// lastSeen holds the time of the last response of each holder. endedAt holds, for each
	// holder that has ended, when this VM learned of it.
	lastSeen map[Holder]time.Time
	endedAt  map[Holder]time.Time
	// demand holds the last reported demand of each VM. weights is a copy of it, made at
	// weightsUpdated, by which the limits are divided.
	demand         map[Name]map[Holder]float64
	weights        map[Name]map[Holder]float64
	weightsUpdated time.Time
}

// Run allocates shares while this VM holds the leadership, until ctx ends.
func (a *Allocator) Run(ctx context.Context) error {
	a.Shares.init()
	a.demand = map[Name]map[Holder]float64{}
	a.weightsUpdated = a.Shares.Now()
	tick := time.NewTicker(allocatorInterval)
	defer tick.Stop()
	for {
		if a.Leadership.Held() {
			a.advanceRow(ctx)
		} else {
			a.rowCurrent = false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// advanceRow writes the next row towards the wanted shares, or up to three rows if all
// holders adopt each one at once.
func (a *Allocator) advanceRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.Shares.Validity/2)
	defer cancel()
	for range 3 {
		if !a.rowCurrent && !a.readTable(ctx) {
			return
		}
		a.distributeRow(ctx)
		if !a.previousUnused() || !a.writeNextRow(ctx) {
			return
		}
	}
}

// readTable reads the newest row from the table. It reports whether the read succeeded.
func (a *Allocator) readTable(ctx context.Context) bool {
	row, err := a.Shares.Table.Read(ctx)
	if err != nil {
		return false
	}
	if row.Version != a.row.Version || a.rowSince.IsZero() {
		a.setRow(row)
	}
	a.rowCurrent = true
	return true
}

// setRow sets the current row and starts the wait until the preceding row is out of use.
func (a *Allocator) setRow(r Row) {
	a.row = r
	a.rowSince = a.Shares.Now()
	a.adopted = map[Holder]Version{}
	a.knownSince = map[Holder]time.Time{}
	a.lastSeen = map[Holder]time.Time{}
	a.endedAt = map[Holder]time.Time{}
	a.Shares.Adopt(r)
}

// distributeRow sends the row to the VMs that it affects and records their responses.
func (a *Allocator) distributeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.Shares.Validity/6)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for vm := range a.recipients() {
		calls.Go(func() {
			answer, err := a.sendRow(ctx, vm)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			a.recordAnswer(answer)
		})
	}
	calls.Wait()
	for _, h := range a.row.Previous {
		if a.endedAt[h].IsZero() && a.Shares.Peers.Ended(h) {
			a.endedAt[h] = a.Shares.Now()
			a.recordKnown(h)
		}
	}
}

// recipients returns the VMs to send the row to: this VM, the holders of the preceding row
// until it is out of use, and, once per rebalanceInterval, all members to learn their
// demand.
func (a *Allocator) recipients() map[VMName]bool {
	vms := map[VMName]bool{a.Shares.Self.VM: true}
	if !a.previousUnused() {
		for _, h := range a.row.Previous {
			vms[h.VM] = true
		}
	}
	if a.Shares.Now().Sub(a.weightsUpdated) >= rebalanceInterval {
		for _, member := range a.Shares.Peers.Members() {
			vms[member.Holder.VM] = true
		}
	}
	return vms
}

// sendRow sends the row to a VM in a renew request.
func (a *Allocator) sendRow(ctx context.Context, vm VMName) (RenewAnswer, error) {
	r := RenewRequest{Version: a.row.Version, Row: &a.row}
	if vm == a.Shares.Self.VM {
		return a.Shares.AnswerRenew(r), nil
	}
	return a.Shares.Peers.Renew(ctx, vm, r)
}

// recordAnswer records the demand and the versions that a VM reported.
func (a *Allocator) recordAnswer(answer RenewAnswer) {
	for _, d := range a.demand {
		delete(d, answer.Holder)
	}
	for name, d := range answer.Demand {
		if d < 0 {
			// A negative demand would make the shares of others exceed the limit.
			continue
		}
		if a.demand[name] == nil {
			a.demand[name] = map[Holder]float64{}
		}
		a.demand[name][answer.Holder] = d
	}
	a.adopted[answer.Holder] = answer.Adopted
	a.lastSeen[answer.Holder] = a.Shares.Now()
	if answer.Version > a.row.Version {
		a.rowCurrent = false
	}
	if answer.Version >= a.row.Version {
		a.recordKnown(answer.Holder)
	}
}

// recordKnown records when a holder was first found to know the row or to have ended.
func (a *Allocator) recordKnown(h Holder) {
	if a.knownSince[h].IsZero() {
		a.knownSince[h] = a.Shares.Now()
	}
}

// previousUnused reports whether the version that precedes the row is out of use: each of
// its holders has adopted the row, or has ended and its loans have expired, or hasn't
// answered for the validity, which has also passed since a majority of them knew the row.
func (a *Allocator) previousUnused() bool {
	now := a.Shares.Now()
	previousExpired := !now.Before(a.previousExpires())
	for _, h := range a.row.Previous {
		if a.adopted[h] >= a.row.Version {
			continue
		}
		if at := a.endedAt[h]; !at.IsZero() {
			if now.Sub(at) < a.padded(a.Shares.LoanValidity) {
				return false
			}
			continue
		}
		if at := a.lastSeen[h]; !previousExpired || !at.IsZero() && now.Sub(at) < a.padded(a.Shares.Validity) {
			return false
		}
	}
	return true
}

// previousExpires returns when the preceding version expires at holders that don't answer.
// While no majority knows the row, that is an hour from now.
func (a *Allocator) previousExpires() time.Time {
	var known []time.Time
	for _, h := range a.row.Previous {
		if at := a.knownSince[h]; !at.IsZero() {
			known = append(known, at)
		}
	}
	majority := len(a.row.Previous)/2 + 1
	if len(known) < majority {
		return a.Shares.Now().Add(time.Hour)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Before(known[j]) })
	knownAndWritten := known[majority-1]
	if a.rowSince.After(knownAndWritten) {
		knownAndWritten = a.rowSince
	}
	return knownAndWritten.Add(a.padded(a.Shares.Validity))
}

// padded returns d plus a margin for a clock that runs fast, plus the time that units
// may outlive their holder.
func (a *Allocator) padded(d time.Duration) time.Duration { return d + 2*d/invDrift + a.Shares.Linger }

// writeNextRow writes the next row towards the wanted shares. It reports whether a row was
// written.
func (a *Allocator) writeNextRow(ctx context.Context) bool {
	limits := a.limits()
	wanted := a.wantedGrants(limits)
	next := nextRow(a.row, limits, wanted)
	if !a.Leadership.Held() || sameGrants(next.Grants, a.row.Grants) {
		return false
	}
	err := a.Shares.Table.Swap(ctx, next)
	if err != nil {
		a.rowCurrent = errorx.IsOfType(err, ErrUnavailable)
		return false
	}
	a.setRow(next)
	return true
}

func (a *Allocator) limits() map[Name]Limit {
	a.Shares.mu.Lock()
	defer a.Shares.mu.Unlock()
	return a.Shares.limits
}

// wantedGrants divides the limits among the members. Changed demand alone moves shares only
// once per rebalanceInterval, since loans follow demand at once.
func (a *Allocator) wantedGrants(limits map[Name]Limit) []Grant {
	members := a.eligibleHolders()
	if a.Shares.Now().Sub(a.weightsUpdated) >= rebalanceInterval {
		a.updateWeights()
	}
	var grants []Grant
	for _, h := range members {
		grants = append(grants, Grant{Holder: h, Shares: map[Name]Share{}})
	}
	for name, l := range limits {
		shares := divide(l, members, a.weights[name])
		for i, h := range members {
			grants[i].Shares[name] = shares[h]
		}
	}
	return grants
}

// updateWeights replaces the weights by the current demand.
func (a *Allocator) updateWeights() {
	a.weightsUpdated = a.Shares.Now()
	a.weights = map[Name]map[Holder]float64{}
	for name, d := range a.demand {
		a.weights[name] = maps.Clone(d)
	}
}

// eligibleHolders returns the VMs that should hold shares, chosen from this VM and the members
// that aren't leaving.
func (a *Allocator) eligibleHolders() []Holder {
	candidates := []Holder{a.Shares.Self}
	for _, member := range a.Shares.Peers.Members() {
		if !member.Leaving {
			candidates = append(candidates, member.Holder)
		}
	}
	return pickHolders(candidates, a.Group, maxHolders)
}
