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

// coordination connects the failover monitors of the database groups with the fleet: it
// runs their leases over the peers and the table, and exchanges observations of servers.
type coordination struct {
	Self  platform.VMName
	Table platform.Table
	Fleet *peer.Fleet

	mu         sync.Mutex
	leases     map[string]*lease.Lease
	leaseTasks sync.WaitGroup
	// contractLeaseHeld reports whether this VM holds the lease on the row of shares; nil
	// before Run.
	contractLeaseHeld func() bool
}

// Run competes for the lease on the row of shares until ctx ends. It then waits until
// the goroutines of all leases have returned. Those of the upstreams' leases return when the
// upstream's context ends.
func (c *coordination) Run(ctx context.Context) error {
	leaseHeld := c.JoinLease(ctx, "contract/"+contractGroup)
	c.mu.Lock()
	c.contractLeaseHeld = leaseHeld
	c.mu.Unlock()
	<-ctx.Done()
	c.leaseTasks.Wait()
	return nil
}

// holdsContractLease reports whether this VM holds the lease on the row of shares.
func (c *coordination) holdsContractLease() bool {
	c.mu.Lock()
	leaseHeld := c.contractLeaseHeld
	c.mu.Unlock()
	return leaseHeld != nil && leaseHeld()
}

// Drain hands the leases that this VM holds over to their successors.
func (c *coordination) Drain(ctx context.Context) error {
	c.mu.Lock()
	var leases []*lease.Lease
	for _, l := range c.leases {
		leases = append(leases, l)
	}
	c.mu.Unlock()
	for _, l := range leases {
		// A successor that doesn't receive the request takes over when its promise
		// not to do so expires.
		_ = l.HandOver(ctx)
	}
	return nil
}

// JoinLease competes for a lease until ctx ends. The returned function reports whether
// this VM holds it.
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

// successorCandidates returns the names of the other live VMs.
func (c *coordination) successorCandidates() []lease.Name {
	var names []lease.Name
	for _, m := range c.Fleet.Members() {
		if m.State == peer.Live && m.Name != c.Self {
			names = append(names, lease.Name(m.Name))
		}
	}
	return names
}

// observedRun returns the incarnation of a VM from which this VM receives heartbeats.
func (c *coordination) observedRun(name lease.Name) (lease.RunID, bool) {
	incarnation, observed := c.Fleet.LiveIncarnation(platform.VMName(name))
	return lease.RunID(strconv.FormatInt(int64(incarnation), 10)), observed
}

// listedVMs returns the names in the platform's list of VMs; false if it can't be read.
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

// Observations counts the other live VMs that have reported whether they can use a server,
// and those of them that can't.
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

// ReportObservation reports to the other VMs whether this VM can use a server.
func (c *coordination) ReportObservation(server platform.ServerName, usable bool) {
	c.Fleet.PublishNow(peer.Server{Name: server, Usable: usable})
}

// handleLeaseRequest answers another VM's request about a lease.
func (c *coordination) handleLeaseRequest(_ context.Context, _ peer.Caller, name string, body []byte) ([]byte, error) {
	c.mu.Lock()
	l := c.leases[name]
	c.mu.Unlock()
	if l == nil {
		return nil, ErrFailed.New("lease %q is unknown on this VM", name)
	}
	var r lease.Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, ErrFailed.Wrap(err, "request about lease %q", name)
	}
	return json.Marshal(l.HandleRequest(r))
}

// state returns the state of all leases by name, for the state dump.
func (c *coordination) state() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]lease.State{}
	for name, l := range c.leases {
		all[name] = l.State()
	}
	return all
}

// leasePeers sends the requests of one lease to other VMs.
type leasePeers struct {
	fleet *peer.Fleet
	name  string
}

// Send returns the response of the VM with the given name, whatever its incarnation.
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

// leaseRow stores the row of one lease in the platform's table.
type leaseRow struct {
	table platform.Table
	key   platform.RowKey
}

// Read returns the row, or the zero Row if there is none.
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

// Swap writes the row if the stored version is row.Version, and returns the stored row.
// In contractRow.Swap, row.Version is the new version instead.
func (r leaseRow) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	body, err := json.Marshal(row)
	if err != nil {
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	stored, err := r.table.Put(ctx, platform.Row{
		Key: r.key, Version: platform.Version(row.Version), Change: platform.ChangeID(row.ChangeID), Body: body,
	})
	if err != nil {
		return lease.Row{}, platform.TranslatePutError(err, r.key, lease.ErrConflict, lease.ErrUnavailable, lease.ErrOutcomeUnknown)
	}
	return r.parse(stored)
}

// parse decodes a stored row. Its version and change ID come from the table, not from the
// body.
func (r leaseRow) parse(row platform.Row) (lease.Row, error) {
	var l lease.Row
	if err := json.Unmarshal(row.Body, &l); err != nil {
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	l.Version, l.ChangeID = lease.Version(row.Version), lease.ChangeID(row.Change)
	return l, nil
}
