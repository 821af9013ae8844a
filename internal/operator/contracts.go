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
	// contractGroup names the row of the service's contracts.
	contractGroup = "service"
	// watchers are the connections of each server that are kept out of the contracts,
	// one for each VM that watches it.
	watchers = 9
	// sharesWithin is how long a VM that starts waits for shares before it takes
	// callers without, by borrowing.
	sharesWithin = 15 * time.Second
	// learnEvery spaces the questions to peers for the row of shares at the start.
	learnEvery = time.Second
	// connectionLinger is how long a dead VM's connections may stand on a server.
	connectionLinger = 10 * time.Second
)

// contracts shares the workspaces' rates and the servers' connections out over the
// fleet.
type contracts struct {
	shares *contract.Shares
	master *contract.Master
}

// newContracts joins this VM's shares with those of the fleet.
func newContracts(t platform.Table, f *peer.Fleet, held func() bool) *contracts {
	s := &contract.Shares{
		Self:   contract.Holder{VM: contract.VMName(f.Self), Incarnation: contract.Incarnation(f.Incarnation)},
		Table:  contractRow{t, "contract/" + contractGroup},
		Peers:  &peer.Contracts{Fleet: f, Group: contractGroup},
		Linger: connectionLinger,
	}
	f.OnShare = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
		return s.HandleRenew(body)
	}
	f.OnBorrow = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
		return s.HandleBorrow(body)
	}
	return &contracts{s, &contract.Master{Group: contractGroup, Shares: s, Leadership: leadership(held)}}
}

// ready tells whether this VM holds shares of the service's limits.
func (c *contracts) ready() bool {
	for _, g := range c.shares.Row().Holders {
		if g.Holder == c.shares.Self {
			return true
		}
	}
	return false
}

// state is what a dump shows of the shares: the newest row that this VM knows.
func (c *contracts) state() any {
	return struct {
		Ready bool         `json:"ready"`
		Self  string       `json:"vm"`
		Row   contract.Row `json:"row"`
	}{c.ready(), string(c.shares.Self.VM), c.shares.Row()}
}

// leadership tells whether this VM writes the row of shares.
type leadership func() bool

// Held is asked before each write.
func (l leadership) Held() bool { return l() }

// follow takes the limits from each document in force, until ctx ends.
func (c *contracts) follow(ctx context.Context, documents *platform.Configuration) error {
	var version platform.DocumentVersion
	for {
		snapshot, err := documents.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		c.shares.SetLimits(limits(snapshot.Document))
	}
}

// learn takes the row of shares from a peer as long as none is known, since a VM that
// starts while the table is out could borrow from nobody else.
func (c *contracts) learn(ctx context.Context) error {
	for c.shares.Row().Version == 0 && platform.Pause(ctx, learnEvery) {
		c.learnOnce(ctx)
	}
	<-ctx.Done()
	return nil
}

func (c *contracts) learnOnce(ctx context.Context) {
	for _, m := range c.shares.Peers.Members() {
		answer, err := c.shares.Peers.Renew(ctx, m.Holder.VM, contract.RenewRequest{})
		if err == nil && answer.Row != nil {
			c.shares.Adopt(*answer.Row)
			return
		}
	}
}

// limits gives what a document limits.
func limits(d *platform.Document) map[contract.Name]contract.Limit {
	all := map[contract.Name]contract.Limit{}
	for _, w := range d.Workspaces {
		all[rateName(w.Name)] = contract.Rate{PerSecond: float64(w.Rate), Burst: contract.Tokens(w.Burst)}
	}
	for _, u := range d.Upstreams {
		for _, s := range u.Servers {
			all[connectionsName(s.Name)] = contract.Count{Total: contract.Tokens(max(1, int(s.Connections)-watchers))}
		}
	}
	return all
}

func rateName(w platform.WorkspaceName) contract.Name { return contract.Name("workspace/" + w) }

func connectionsName(s platform.ServerName) contract.Name { return contract.Name("server/" + s) }

// Admit waits a bounded time for a token of the workspace's rate.
func (c *contracts) Admit(ctx context.Context, w platform.WorkspaceName) error {
	err := c.shares.Admit(ctx, rateName(w))
	if err == nil {
		return nil
	}
	return caller.ErrRateLimited.Wrap(err, "workspace %s has used up its rate and burst", w)
}

// allowance gives this VM's part of a server's connections.
func (c *contracts) allowance(s platform.ServerName) upstream.Allowance {
	return serverUnits{c.shares, connectionsName(s)}
}

// serverUnits finds a server's units at each use, since a document may bring them later.
type serverUnits struct {
	shares *contract.Shares
	name   contract.Name
}

// Acquire waits for the right to one more connection.
func (u serverUnits) Acquire(ctx context.Context) error {
	for {
		units, err := u.shares.Units(u.name)
		if err == nil {
			return units.Acquire(ctx)
		}
		if !platform.Pause(ctx, unitsRetry) {
			return err
		}
	}
}

// unitsRetry spaces the looks for units that a document is about to bring.
const unitsRetry = 10 * time.Millisecond

// Release gives one back.
func (u serverUnits) Release() {
	if units, err := u.shares.Units(u.name); err == nil {
		units.Release()
	}
}

// Excess is how many must be given back now.
func (u serverUnits) Excess() contract.Tokens {
	units, err := u.shares.Units(u.name)
	if err != nil {
		return 0
	}
	return units.Excess()
}

// Shrunk gets a value when there may be an Excess.
func (u serverUnits) Shrunk() <-chan struct{} {
	units, err := u.shares.Units(u.name)
	if err != nil {
		return nil
	}
	return units.Shrunk()
}

// contractRow is the shares' row of the platform's table.
type contractRow struct {
	table platform.Table
	key   platform.RowKey
}

// Read gives the newest row; the zero Row if there is none.
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

// Swap writes a row if the stored version is one less.
func (r contractRow) Swap(ctx context.Context, row contract.Row) error {
	body, err := json.Marshal(row)
	if err != nil {
		return contract.ErrMalformed.Wrap(err, "row %s", r.key)
	}
	_, err = r.table.Put(ctx, platform.Row{
		Key: r.key, Version: platform.Version(row.Version) - 1, Change: platform.NewChangeID(), Body: body,
	})
	if err != nil {
		return platform.PutError(err, r.key, contract.ErrConflict, contract.ErrUnavailable, contract.ErrOutcomeUnknown)
	}
	return nil
}
