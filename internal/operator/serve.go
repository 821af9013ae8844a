package operator

import (
	"context"
	"net"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxQueue bounds the requests of one VM that wait for one server.
const maxQueue = 512

// serving is the part of the daemon between callers and upstreams.
type serving struct {
	upstreams    *upstream.Upstreams
	callers      *caller.Server
	fleet        *peer.Fleet
	coordination *coordination
	contracts    *contracts
	// entered is true once this VM is in the platform's list.
	entered bool
}

// newServing makes the callers' and upstreams' parts and takes the callers' address.
func (d *Daemon) newServing() (*serving, error) {
	listener, err := listen("listen", d.Options.Listen)
	if err != nil {
		return nil, err
	}
	vms := &seeds{VMList: platform.VMRows{Table: d.Table}, addresses: d.Options.SeedPeers}
	fleet, err := d.newFleet(vms)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	joined := &coordination{Self: platform.VMName(d.Options.VM), Table: d.Table, Fleet: fleet}
	fleet.OnPromise = joined.answer
	trust := &platform.Trust{Configuration: d.Configuration, Members: func() int { return vms.size(fleet.Members()) }}
	fleet.Word, fleet.OnWord = trust.Tell, trust.Hear
	limits := newContracts(d.Table, fleet, joined.held)
	var dialer net.Dialer
	u := &upstream.Upstreams{
		Dial: dialer.DialContext, Logger: d.Logger, Documents: d.Configuration, Allowance: limits.allowance,
		Meter:        d.Metrics.Meter("upstream"),
		Coordination: joined, Table: d.Table, ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.DeficitRoundRobin,
		ConcurrencyLimit: d.Options.Limit.Limit(), MaxQueueLength: maxQueue,
	}
	c := &caller.Server{
		VM: platform.VMName(d.Options.VM), Listener: listener, TLS: d.Certificates.callers(d.Options.ListenTLS, d.Logger), Documents: d.Configuration,
		Upstreams: u, Limiter: limits, TokenKey: d.tokenKey(), MaxWait: d.Options.MaxWait, ResponseTimeout: d.Options.StatementDeadline,
		ForwardCancel: d.forwardCancel, DocumentTrusted: trust.Holds, Logger: d.Logger, Meter: d.Metrics.Meter("caller"),
	}
	fleet.OnCancel = cancelOf(c)
	d.Admin.Register("trusted", func() any { return trust.Holds() })
	s := &serving{upstreams: u, callers: c, fleet: fleet, coordination: joined, contracts: limits, entered: d.enter()}
	s.register(d.Admin)
	return s, nil
}

// cancelOf passes a cancel request that came from another VM on to the callers' part.
func cancelOf(c *caller.Server) func(ctx context.Context, process uint32, secret []byte) error {
	return func(ctx context.Context, process uint32, secret []byte) error {
		if !c.Cancel(ctx, caller.SessionID(process), secret) {
			return ErrBroken.New("no such session")
		}
		return nil
	}
}

// register adds the parts to the state dump.
func (s *serving) register(a *Admin) {
	a.Register("callers", s.callers.State)
	a.Register("upstreams", s.upstreams.State)
	a.Register("leases", s.coordination.state)
	a.Register("contracts", s.contracts.state)
	a.Register("peers", func() any { return peersState(s.fleet) })
}

// tokenKey asks the platform for the key of session tokens; without it the VM
// gives none, and asks the upstreams for floors instead.
func (d *Daemon) tokenKey() caller.TokenKey {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key, err := caller.LoadTokenKey(ctx, d.Table)
	if err != nil {
		eventNoTokens.Log(d.Logger, "error", reason(err))
	}
	return key
}

// peersState is what a dump shows of the fleet.
func peersState(f *peer.Fleet) any {
	type member struct {
		AvailabilityZone platform.AvailabilityZone `json:"availability-zone"`
		Address          platform.Address          `json:"address"`
		State            peer.State                `json:"state"`
	}
	all := map[platform.VMName]member{}
	for _, m := range f.Members() {
		all[m.Name] = member{m.AvailabilityZone, m.Address, m.State}
	}
	return all
}
