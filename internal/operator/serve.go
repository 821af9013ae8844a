package operator

import (
	"context"
	"net"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxQueueLength limits the requests of this VM that wait for one server.
const maxQueueLength = 512

// components holds the components that serve requests, from callers to upstreams, and
// those that coordinate the fleet.
type components struct {
	upstreams    *upstream.Upstreams
	callers      *caller.Server
	fleet        *peer.Fleet
	coordination *coordination
	limits       *fleetLimits
	// announced is true once this VM is in the platform's list.
	announced bool
}

// newComponents opens the listeners for callers and peers and creates the components.
func (d *Daemon) newComponents() (*components, error) {
	listener, err := listenWithin(d.budget, budget.Callers, "listen", d.Options.CallerListen)
	if err != nil {
		return nil, err
	}
	vms := &seededVMList{VMList: platform.VMRows{Table: d.Table}, seedAddresses: d.Options.SeedPeers}
	fleet, err := d.newFleet(vms)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	coordinator := &coordination{Self: platform.VMName(d.Options.VMName), Table: d.Table, Fleet: fleet}
	fleet.OnPromise = coordinator.handleLeaseRequest
	trust := &platform.Trust{Configuration: d.Configuration, FleetSize: func() int { return vms.fleetSize(fleet.Members()) }}
	fleet.ReportDocument, fleet.OnDocumentReport = trust.Report, trust.RecordPeerReport
	limits := newFleetLimits(d.Table, fleet, coordinator.holdsContractLease)
	var dialer net.Dialer
	u := &upstream.Upstreams{
		Dial: dialer.DialContext, Logger: d.Logger, Documents: d.Configuration, Allowance: limits.connectionAllowance,
		Meter:        d.Metrics.Meter("upstream"),
		Coordination: coordinator, Table: d.Table, ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.DeficitRoundRobin,
		ConcurrencyLimit: d.Options.Limit.ConcurrencyLimit(), MaxQueueLength: maxQueueLength,
	}
	c := &caller.Server{
		VM: platform.VMName(d.Options.VMName), Listener: listener, TLS: d.Certificates.callerTLSConfig(d.Options.ListenTLS, d.Logger), Documents: d.Configuration,
		Upstreams: u, Limiter: limits, TokenKey: d.loadTokenKey(), MaxWait: d.Options.MaxWait, ResponseTimeout: d.Options.StatementDeadline,
		ForwardCancel: d.forwardCancel, DocumentTrusted: trust.CanServe, Logger: d.Logger, Meter: d.Metrics.Meter("caller"),
	}
	fleet.OnCancel = cancelHandler(c)
	d.Admin.Register("client-limits", func() any { return d.budget.State() })
	d.Admin.Register("trusted", func() any { return trust.CanServe() })
	s := &components{upstreams: u, callers: c, fleet: fleet, coordination: coordinator, limits: limits, announced: d.announceSelf()}
	s.registerState(d.Admin)
	return s, nil
}

// cancelHandler returns a function that executes a cancel request from another VM.
func cancelHandler(c *caller.Server) func(ctx context.Context, process uint32, secret []byte) error {
	return func(ctx context.Context, process uint32, secret []byte) error {
		if !c.Cancel(ctx, caller.SessionID(process), secret) {
			return ErrFailed.New("no such session")
		}
		return nil
	}
}

// registerState adds the components to the state dump.
func (s *components) registerState(a *Admin) {
	a.Register("callers", s.callers.State)
	a.Register("upstreams", s.upstreams.State)
	a.Register("leases", s.coordination.state)
	a.Register("contracts", s.limits.state)
	a.Register("peers", func() any { return peersState(s.fleet) })
}

// loadTokenKey loads the cryptographic key of session tokens from the platform. Without it,
// the VM issues no tokens and queries the upstreams for floors, the minimum log positions
// that a session's reads must see.
func (d *Daemon) loadTokenKey() caller.TokenKey {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key, err := caller.LoadTokenKey(ctx, d.Table)
	if err != nil {
		eventNoSessionTokens.Log(d.Logger, "error", rootCause(err))
	}
	return key
}

// peersState returns the members of the fleet, for the state dump.
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
