package operator

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/lease"
)

// coordination joins the database groups' guards with the fleet: leases over peers
// and the table, and views of servers.
type coordination struct {
	Self  platform.VMName
	Table platform.Table
	Fleet *peer.Fleet

	mu         sync.Mutex
	leases     map[string]*lease.Lease
	leaseTasks sync.WaitGroup
	// lead tells whether this VM writes the contracts' row; nil before Run.
	contractLeaseHeld func() bool
}

// Run takes part in the contracts' lease, and waits for the other leases to end, which
// they do with their groups.
func (c *coordination) Run(ctx context.Context) error {
	leaseHeld := c.JoinLease(ctx, "contract/"+contractGroup)
	c.mu.Lock()
	c.contractLeaseHeld = leaseHeld
	c.mu.Unlock()
	<-ctx.Done()
	c.leaseTasks.Wait()
	return nil
}

// held tells whether this VM writes the contracts' row.
func (c *coordination) holdsContractLease() bool {
	c.mu.Lock()
	leaseHeld := c.contractLeaseHeld
	c.mu.Unlock()
	return leaseHeld != nil && leaseHeld()
}

// Drain hands the leases over to their successors.
func (c *coordination) Drain(ctx context.Context) error {
	c.mu.Lock()
	var held []*lease.Lease
	for _, l := range c.leases {
		held = append(held, l)
	}
	c.mu.Unlock()
	for _, l := range held {
		// A successor that doesn't hear takes over when its promise ends.
		_ = l.HandOver(ctx)
	}
	return nil
}

// Lease takes part in a lease until ctx ends.
func (c *coordination) JoinLease(ctx context.Context, name string) func() bool {
	l := &lease.Lease{
		Self:        lease.Member{Name: lease.Name(c.Self), Incarnation: lease.Incarnation(uuid.NewString())},
		Table:       leaseRow{c.Table, platform.RowKey("lease/" + name)},
		Peers:       leasePeers{c.Fleet, name},
		Candidates:  c.successorCandidates,
		ListedNames: c.listedVMs,
		ObservedRun: c.observedRun,
		NewChangeID: func() lease.ChangeID { return lease.ChangeID(uuid.NewString()) },
	}
	c.mu.Lock()
	if c.leases == nil {
		c.leases = map[string]*lease.Lease{}
	}
	c.leases[name] = l
	c.mu.Unlock()
	c.leaseTasks.Go(func() { _ = l.Run(ctx) })
	return func() bool {
		_, held := l.Held()
		return held
	}
}

// candidates for successor are the other live VMs.
func (c *coordination) successorCandidates() []lease.Name {
	var names []lease.Name
	for _, m := range c.Fleet.Members() {
		if m.State == peer.Live && m.Name != c.Self {
			names = append(names, lease.Name(m.Name))
		}
	}
	return names
}

// hears gives the run of a VM that sends heartbeats.
func (c *coordination) observedRun(name lease.Name) (lease.RunID, bool) {
	incarnation, observed := c.Fleet.Hears(platform.VMName(name))
	return lease.RunID(strconv.FormatInt(int64(incarnation), 10)), observed
}

// listed gives the VMs of the platform's list.
func (c *coordination) listedVMs() ([]lease.Name, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	list, err := platform.VMRows{Table: c.Table}.List(ctx)
	if err != nil {
		return nil, false
	}
	names := make([]lease.Name, 0, len(list))
	for _, m := range list {
		names = append(names, lease.Name(m.Name))
	}
	return names, true
}

// Opinions counts the live VMs that told whether they can use a server.
func (c *coordination) Observations(server platform.ServerName) (reporting, unusable int) {
	live := map[platform.VMName]bool{}
	for _, m := range c.Fleet.Members() {
		live[m.Name] = m.State == peer.Live && m.Name != c.Self
	}
	for _, s := range c.Fleet.Views() {
		v, found := s.View.(peer.Server)
		if !found || v.Name != server || !live[s.Origin] {
			continue
		}
		reporting++
		if !v.Usable {
			unusable++
		}
	}
	return reporting, unusable
}

// Tell lets the other VMs know whether this one can use a server.
func (c *coordination) ReportObservation(server platform.ServerName, usable bool) {
	c.Fleet.PublishNow(peer.Server{Name: server, Usable: usable})
}

// answer answers another VM's request about a lease.
func (c *coordination) handleLeaseRequest(_ context.Context, _ peer.Caller, name string, body []byte) ([]byte, error) {
	c.mu.Lock()
	l := c.leases[name]
	c.mu.Unlock()
	if l == nil {
		return nil, ErrFailed.New("lease %q isn't known here", name)
	}
	var r lease.Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, ErrFailed.Wrap(err, "request about lease %q", name)
	}
	return json.Marshal(l.HandleRequest(r))
}

// state is what a dump shows of the leases.
func (c *coordination) state() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]lease.State{}
	for name, l := range c.leases {
		all[name] = l.State()
	}
	return all
}

// leasePeers carries a lease's requests to other VMs.
type leasePeers struct {
	fleet *peer.Fleet
	name  string
}

// Ask gives the answer of whichever incarnation bears the name.
func (p leasePeers) Send(ctx context.Context, to lease.Name, r lease.Request) (lease.Response, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return lease.Response{}, ErrFailed.Wrap(err, "request about lease %q", p.name)
	}
	reply, err := p.fleet.Promise(ctx, platform.VMName(to), p.name, body)
	if err != nil {
		return lease.Response{}, err
	}
	var response lease.Response
	if err := json.Unmarshal(reply, &response); err != nil {
		return lease.Response{}, ErrFailed.Wrap(err, "answer about lease %q", p.name)
	}
	return response, nil
}

// leaseRow is a lease's row of the platform's table.
type leaseRow struct {
	table platform.Table
	key   platform.RowKey
}

// Read gives the row; version 0 if there is none.
func (r leaseRow) Read(ctx context.Context) (lease.Row, error) {
	row, err := r.table.Get(ctx, r.key)
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return lease.Row{}, nil
	}
	if err != nil {
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	return r.parse(row)
}

// Swap writes the row if it is still at row.Version.
func (r leaseRow) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	body, err := json.Marshal(row)
	if err != nil {
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	stored, err := r.table.Put(ctx, platform.Row{
		Key: r.key, Version: platform.Version(row.Version), Change: platform.ChangeID(row.ChangeID), Body: body,
	})
	if err != nil {
		return lease.Row{}, platform.PutError(err, r.key, lease.ErrConflict, lease.ErrUnavailable, lease.ErrOutcomeUnknown)
	}
	return r.parse(stored)
}

// parse reads a stored row; the table's own version and change count.
func (r leaseRow) parse(row platform.Row) (lease.Row, error) {
	var l lease.Row
	if err := json.Unmarshal(row.Body, &l); err != nil {
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	l.Version, l.ChangeID = lease.Version(row.Version), lease.ChangeID(row.Change)
	return l, nil
}
