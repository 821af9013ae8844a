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
	announceEvery = 2 * time.Second
	// fetchWithin bounds fetching a document from a peer.
	fetchWithin = 2 * time.Second
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
	f.OnDocument = d.giveDocument
	f.OnNewer = d.hearNewer
	return f, nil
}

// giveDocument answers a peer that lacks the document in force here.
func (d *Daemon) giveDocument(_ context.Context, v platform.DocumentVersion) (platform.DocumentHash, []byte, error) {
	snapshot := d.Configuration.Current()
	if snapshot.Version < v {
		return "", nil, ErrBroken.New("version %d isn't known here", v)
	}
	return snapshot.Hash, snapshot.Body, nil
}

// hearNewer learns from a peer of a newer document.
func (d *Daemon) hearNewer(from peer.Name, v platform.DocumentVersion, h platform.DocumentHash) {
	d.Configuration.Offer(v, h)
	go d.fetchDocument(from, v)
}

// fetchDocument asks a peer for a document's text; whichever way brings it first counts.
func (d *Daemon) fetchDocument(from peer.Name, v platform.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchWithin)
	defer cancel()
	hash, body, err := d.serving.fleet.FetchDocument(ctx, from, v)
	if err != nil {
		return
	}
	if err := d.Configuration.OfferBody(v, hash, body); err != nil {
		eventDocumentRefused.Log(d.Logger, "vm", from, "version", v, "error", reason(err))
	}
}

// spread tells peers of each document in force, until ctx ends.
func (d *Daemon) spread(ctx context.Context) error {
	var version platform.DocumentVersion
	for {
		snapshot, err := d.Configuration.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		d.serving.fleet.Have(snapshot.Version, snapshot.Hash)
	}
}

// enter puts this VM into the platform's list, before it reads that list itself.
func (d *Daemon) enter() bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceEvery)
	defer cancel()
	vm := platform.VM{
		Name: platform.VMName(d.Options.VM), Address: d.Options.Peer,
		AvailabilityZone: platform.AvailabilityZone(d.Options.AvailabilityZone), State: platform.VMLive,
	}
	return platform.VMRows{Table: d.Table}.Announce(ctx, vm) == nil
}

// announce tries to enter this VM again until it is in the list, or ctx ends.
func (d *Daemon) announce(ctx context.Context) error {
	for !d.serving.entered && platform.Pause(ctx, announceEvery) {
		d.serving.entered = d.enter()
	}
	<-ctx.Done()
	return nil
}

// leave tells the fleet that this VM goes.
func (d *Daemon) leave(ctx context.Context) error {
	d.serving.fleet.Drain()
	err := d.serving.coordination.Drain(ctx)
	d.serving.fleet.Goodbye(ctx)
	return err
}

// forwardCancel passes a cancel request on to every other VM; the one that has the
// session acts on it.
func (d *Daemon) forwardCancel(id caller.SessionID, secret []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchWithin)
	defer cancel()
	for _, m := range d.serving.fleet.Members() {
		if m.Name != platform.VMName(d.Options.VM) && m.State != peer.Gone {
			_ = d.serving.fleet.ForwardCancel(ctx, m.Name, uint32(id), secret)
		}
	}
}
