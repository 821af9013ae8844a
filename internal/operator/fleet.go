package operator

import (
	"context"
	"net"
	"time"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// announceInterval is the time between attempts to add this VM to the platform's list.
	announceInterval = 2 * time.Second
	// peerRequestTimeout limits a document request or cancel request to peers.
	peerRequestTimeout = 2 * time.Second
)

// newFleet opens the listener for peers and returns this VM's member of the fleet, which
// isn't running yet.
func (d *Daemon) newFleet(vms platform.VMList) (*peer.Fleet, error) {
	listener, err := listen("peer", d.Options.PeerListen)
	if err != nil {
		return nil, err
	}
	o := d.Options
	f := &peer.Fleet{
		Incarnation: peer.Incarnation(time.Now().UnixNano()),
		Self:        platform.VMName(o.VMName), Address: o.PeerListen, AvailabilityZone: platform.AvailabilityZone(o.AvailabilityZone),
		VMs: vms, Listener: d.limitPeers(listener), Logger: d.Logger,
	}
	if t := o.PeerTLS; t != (TLSFiles{}) {
		f.TLS = &peer.TLSFiles{Certificate: t.Certificate, Key: t.Key, Authorities: t.Authority, Logger: d.Logger}
	}
	f.OnFetchDocument = d.serveDocument
	f.OnNewerDocument = d.handleNewerDocument
	return f, nil
}

// limitPeers limits the connections of other VMs, if there is a budget. Which of them make progress isn't
// known here, so none is closed for others; those that don't log in end after a few seconds.
func (d *Daemon) limitPeers(listener net.Listener) net.Listener {
	if d.budget == nil {
		return listener
	}
	return &budget.Listener{Listener: listener, Budget: d.budget, Class: budget.Links, Activity: budget.Serving}
}

// serveDocument returns the document in force to a peer that requests version v. It fails
// if the document in force is older than v.
func (d *Daemon) serveDocument(_ context.Context, v platform.DocumentVersion) (platform.DocumentHash, []byte, error) {
	snapshot := d.Configuration.Current()
	if snapshot.Version < v {
		return "", nil, ErrFailed.New("version %d is unknown on this VM", v)
	}
	return snapshot.Hash, snapshot.Body, nil
}

// handleNewerDocument is called when a peer announces a newer document.
func (d *Daemon) handleNewerDocument(from peer.Name, v platform.DocumentVersion, h platform.DocumentHash) {
	d.Configuration.OfferVersion(v, h)
	go d.fetchDocument(from, v)
}

// fetchDocument requests a document's text from a peer. The platform is read at the same
// time; whichever answers first provides the document.
func (d *Daemon) fetchDocument(from peer.Name, v platform.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	hash, body, err := d.components.fleet.FetchDocument(ctx, from, v)
	if err != nil {
		return
	}
	if err := d.Configuration.OfferDocument(v, hash, body); err != nil {
		eventPeerDocumentRefused.Log(d.Logger, "vm", from, "version", v, "error", rootCause(err))
	}
}

// announceDocuments announces each document in force to the peers until ctx ends.
func (d *Daemon) announceDocuments(ctx context.Context) error {
	var version platform.DocumentVersion
	for {
		snapshot, err := d.Configuration.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		d.components.fleet.AnnounceDocument(snapshot.Version, snapshot.Hash)
	}
}

// announceSelf adds this VM to the platform's list and reports whether that succeeded. It
// is first called before this VM reads the list.
func (d *Daemon) announceSelf() bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	vm := platform.VM{
		Name: platform.VMName(d.Options.VMName), Address: d.Options.PeerListen,
		AvailabilityZone: platform.AvailabilityZone(d.Options.AvailabilityZone), State: platform.VMLive,
	}
	return platform.VMRows{Table: d.Table}.Announce(ctx, vm) == nil
}

// announceUntilListed retries announceSelf until it succeeds, then waits for ctx to end.
func (d *Daemon) announceUntilListed(ctx context.Context) error {
	for !d.components.announced && platform.Pause(ctx, announceInterval) {
		d.components.announced = d.announceSelf()
	}
	<-ctx.Done()
	return nil
}

// leaveFleet hands the leases over and announces to the peers that this VM leaves.
func (d *Daemon) leaveFleet(ctx context.Context) error {
	d.components.fleet.Drain()
	err := d.components.coordination.Drain(ctx)
	d.components.fleet.Goodbye(ctx)
	return err
}

// forwardCancel forwards a cancel request to all other VMs. The VM that has the session
// cancels its statement.
func (d *Daemon) forwardCancel(id caller.SessionID, secret []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	for _, m := range d.components.fleet.Members() {
		if m.Name != platform.VMName(d.Options.VMName) && m.State != peer.Gone {
			_ = d.components.fleet.ForwardCancel(ctx, m.Name, uint32(id), secret)
		}
	}
}
