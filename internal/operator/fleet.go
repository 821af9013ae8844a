package operator

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// announceEvery spaces the attempts to enter this VM into the platform's list.
	announceInterval = 2 * time.Second
	// fetchWithin bounds fetching a document from a peer.
	peerRequestTimeout = 2 * time.Second
)

// newFleet makes this VM's part in the fleet and takes the peers' address.
func (d *Daemon) newFleet(vms platform.VMList) (*peer.Fleet, error) {
	listener, err := listen("peer", d.Options.Peer)
	if err != nil {
		return nil, err
	}
	o := d.Options
	f := &peer.Fleet{
		Incarnation: peer.Incarnation(time.Now().UnixNano()),
		Self:        platform.VMName(o.VM), Address: o.Peer, AvailabilityZone: platform.AvailabilityZone(o.AvailabilityZone),
		VMs: vms, Listener: listener, Logger: d.Logger,
	}
	if t := o.PeerTLS; t != (TLSFiles{}) {
		f.TLS = &peer.Files{Certificate: t.Certificate, Key: t.Key, Authorities: t.Authority, Logger: d.Logger}
	}
	f.OnDocument = d.serveDocument
	f.OnNewer = d.handleNewerDocument
	return f, nil
}

// giveDocument answers a peer that lacks the document in force here.
func (d *Daemon) serveDocument(_ context.Context, v platform.DocumentVersion) (platform.DocumentHash, []byte, error) {
	snapshot := d.Configuration.Current()
	if snapshot.Version < v {
		return "", nil, ErrFailed.New("version %d isn't known here", v)
	}
	return snapshot.Hash, snapshot.Body, nil
}

// hearNewer learns from a peer of a newer document.
func (d *Daemon) handleNewerDocument(from peer.Name, v platform.DocumentVersion, h platform.DocumentHash) {
	d.Configuration.Offer(v, h)
	go d.fetchDocument(from, v)
}

// fetchDocument asks a peer for a document's text; whichever way brings it first counts.
func (d *Daemon) fetchDocument(from peer.Name, v platform.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	hash, body, err := d.components.fleet.FetchDocument(ctx, from, v)
	if err != nil {
		return
	}
	if err := d.Configuration.OfferBody(v, hash, body); err != nil {
		eventPeerDocumentRefused.Log(d.Logger, "vm", from, "version", v, "error", rootCause(err))
	}
}

// spread tells peers of each document in force, until ctx ends.
func (d *Daemon) announceDocuments(ctx context.Context) error {
	var version platform.DocumentVersion
	for {
		snapshot, err := d.Configuration.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		d.components.fleet.Have(snapshot.Version, snapshot.Hash)
	}
}

// enter puts this VM into the platform's list, before it reads that list itself.
func (d *Daemon) announceSelf() bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	vm := platform.VM{
		Name: platform.VMName(d.Options.VM), Address: d.Options.Peer,
		AvailabilityZone: platform.AvailabilityZone(d.Options.AvailabilityZone), State: platform.VMLive,
	}
	return platform.VMRows{Table: d.Table}.Announce(ctx, vm) == nil
}

// announce tries to enter this VM again until it is in the list, or ctx ends.
func (d *Daemon) announceUntilListed(ctx context.Context) error {
	for !d.components.announced && platform.Pause(ctx, announceInterval) {
		d.components.announced = d.announceSelf()
	}
	<-ctx.Done()
	return nil
}

// leave tells the fleet that this VM goes.
func (d *Daemon) leaveFleet(ctx context.Context) error {
	d.components.fleet.Drain()
	err := d.components.coordination.Drain(ctx)
	d.components.fleet.Goodbye(ctx)
	return err
}

// forwardCancel passes a cancel request on to every other VM; the one that has the
// session acts on it.
func (d *Daemon) forwardCancel(id caller.SessionID, secret []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	for _, m := range d.components.fleet.Members() {
		if m.Name != platform.VMName(d.Options.VM) && m.State != peer.Gone {
			_ = d.components.fleet.ForwardCancel(ctx, m.Name, uint32(id), secret)
		}
	}
}
