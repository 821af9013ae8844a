package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/contract"
)

const (
	// contractGroup is the name of the table row and of the lease for the service's limits.
	contractGroup = "service"
	// reservedConnections is the number of each server's connections that are not divided
	// into shares: one for each VM that monitors the server.
	reservedConnections = 9
	// sharesTimeout is how long a starting VM waits for shares of the limits before it
	// accepts callers without shares and borrows from other VMs.
	sharesTimeout = 15 * time.Second
	// shareRowFetchInterval is the time between two requests to peers for the row of shares
	// at startup.
	shareRowFetchInterval = time.Second
	// connectionLingerTime is how long a dead VM's connections may stay open on a server.
	connectionLingerTime = 10 * time.Second
)

// fleetLimits divides the workspaces' rates and the servers' connections among the VMs of
// the fleet.
type fleetLimits struct {
	shares    *contract.Shares
	allocator *contract.Allocator
}

// newFleetLimits returns this VM's shares of the limits and registers the handlers for the
// other VMs' requests. leaseHeld reports whether this VM holds the lease on the row of shares.
func newFleetLimits(t platform.Table, f *peer.Fleet, leaseHeld func() bool) *fleetLimits {
	s := &contract.Shares{
		Self:   contract.Holder{VM: contract.VMName(f.Self), Incarnation: contract.Incarnation(f.Incarnation)},
		Table:  contractRow{t, "contract/" + contractGroup},
		Peers:  &peer.ContractPeers{Fleet: f, Group: contractGroup},
		Linger: connectionLingerTime,
	}
	f.OnShare = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
		return s.HandleRenew(body)
	}
	f.OnBorrow = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
		return s.HandleBorrow(body)
	}
	return &fleetLimits{s, &contract.Allocator{Group: contractGroup, Shares: s, Leadership: leaseHeldFunc(leaseHeld)}}
}

// hasShares reports whether this VM holds shares of the service's limits.
func (c *fleetLimits) hasShares() bool {
	for _, g := range c.shares.Row().Grants {
		if g.Holder == c.shares.Self {
			return true
		}
	}
	return false
}

// state returns the newest row of shares that this VM knows, for the state dump.
func (c *fleetLimits) state() any {
	return struct {
		Ready bool         `json:"ready"`
		Self  string       `json:"vm"`
		Row   contract.Row `json:"row"`
	}{c.hasShares(), string(c.shares.Self.VM), c.shares.Row()}
}

// leaseHeldFunc reports whether this VM holds the lease on the row of shares. Only the
// holder writes the row, to avoid conflicting writes; two writers would do no harm.
type leaseHeldFunc func() bool

// Held implements contract.Leadership; it is called before each write.
func (l leaseHeldFunc) Held() bool { return l() }

// followDocuments updates the limits from each document in force until ctx ends.
func (c *fleetLimits) followDocuments(ctx context.Context, documents *platform.Configuration) error {
	var version platform.DocumentVersion
	for {
		snapshot, err := documents.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		c.shares.SetLimits(documentLimits(snapshot.Document))
	}
}

// fetchShareRow asks the peers for the row of shares until one is known. Without the row, a
// VM that starts while the table is unavailable would know no VM to borrow from.
func (c *fleetLimits) fetchShareRow(ctx context.Context) error {
	for c.shares.Row().Version == 0 && platform.Pause(ctx, shareRowFetchInterval) {
		c.fetchShareRowOnce(ctx)
	}
	<-ctx.Done()
	return nil
}

func (c *fleetLimits) fetchShareRowOnce(ctx context.Context) {
	for _, m := range c.shares.Peers.Members() {
		response, err := c.shares.Peers.Renew(ctx, m.Holder.VM, contract.RenewRequest{})
		if err == nil && response.Row != nil {
			c.shares.Adopt(*response.Row)
			return
		}
	}
}

// documentLimits returns the limits that a document sets.
func documentLimits(d *platform.Document) map[contract.Name]contract.Limit {
	all := map[contract.Name]contract.Limit{}
	for _, w := range d.Workspaces {
		all[rateName(w.Name)] = contract.Rate{PerSecond: float64(w.Rate), Burst: contract.Tokens(w.Burst)}
	}
	for _, u := range d.Upstreams {
		for _, s := range u.Servers {
			all[connectionsName(s.Name)] = contract.Count{Total: contract.Tokens(max(1, int(s.Connections)-reservedConnections))}
		}
	}
	return all
}

func rateName(w platform.WorkspaceName) contract.Name { return contract.Name("workspace/" + w) }

func connectionsName(s platform.ServerName) contract.Name { return contract.Name("server/" + s) }

// Admit waits a limited time for a token of the workspace's rate. It returns
// caller.ErrRateLimited if there is none.
func (c *fleetLimits) Admit(ctx context.Context, w platform.WorkspaceName) error {
	err := c.shares.Admit(ctx, rateName(w))
	if err == nil {
		return nil
	}
	return caller.ErrRateLimited.Wrap(err, "workspace %s has used up its rate and burst", w)
}

// connectionAllowance returns this VM's share of a server's connections.
func (c *fleetLimits) connectionAllowance(s platform.ServerName) upstream.Allowance {
	return serverAllowance{c.shares, connectionsName(s)}
}

// serverAllowance is this VM's share of a server's connections. It looks the share up at
// each use, since a later document may add the server.
type serverAllowance struct {
	shares *contract.Shares
	name   contract.Name
}

// Acquire waits until this VM may open one more connection.
func (u serverAllowance) Acquire(ctx context.Context) error {
	for {
		units, err := u.shares.Units(u.name)
		if err == nil {
			return units.Acquire(ctx)
		}
		if !platform.Pause(ctx, unitsRetryDelay) {
			return err
		}
	}
}

// unitsRetryDelay is the pause between two lookups of a server that isn't known yet.
const unitsRetryDelay = 10 * time.Millisecond

// Release returns the right to one connection.
func (u serverAllowance) Release() {
	if units, err := u.shares.Units(u.name); err == nil {
		units.Release()
	}
}

// Excess returns how many connections this VM has above its share and must close.
func (u serverAllowance) Excess() contract.Tokens {
	units, err := u.shares.Units(u.name)
	if err != nil {
		return 0
	}
	return units.Excess()
}

// ExcessNotify returns a channel that receives a value when Excess may have become positive. It
// returns nil if the server isn't known.
func (u serverAllowance) ExcessNotify() <-chan struct{} {
	units, err := u.shares.Units(u.name)
	if err != nil {
		return nil
	}
	return units.ExcessNotify()
}

// contractRow stores the row of shares in the platform's table.
type contractRow struct {
	table platform.Table
	key   platform.RowKey
}

// Read returns the newest row, or the zero Row if there is none.
func (r contractRow) Read(ctx context.Context) (contract.Row, error) {
	row, err := r.table.Get(ctx, r.key)
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return contract.Row{}, nil
	}
	if err != nil {
		return contract.Row{}, contract.ErrUnavailable.Wrap(err, "row %s", r.key)
	}
	var c contract.Row
	if err := json.Unmarshal(row.Body, &c); err != nil {
		return contract.Row{}, contract.ErrMalformed.Wrap(err, "row %s", r.key)
	}
	c.Version = contract.Version(row.Version)
	return c, nil
}

// Swap writes a row if the stored version is row.Version-1: row.Version is the new version.
// In leaseRow.Swap, row.Version is the stored version instead.
func (r contractRow) Swap(ctx context.Context, row contract.Row) error {
	body, err := json.Marshal(row)
	if err != nil {
		return contract.ErrMalformed.Wrap(err, "row %s", r.key)
	}
	_, err = r.table.Put(ctx, platform.Row{
		Key: r.key, Version: platform.Version(row.Version) - 1, Change: platform.NewChangeID(), Body: body,
	})
	if err != nil {
		return platform.TranslatePutError(err, r.key, contract.ErrConflict, contract.ErrUnavailable, contract.ErrOutcomeUnknown)
	}
	return nil
}
