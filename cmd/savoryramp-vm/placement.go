package main

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/internal/relay"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// enablePlacement connects the parts that evacuate zones and limit what cold servers get, if the settings ask for that.
func (d *daemon) enablePlacement() {
	if d.Settings.EvacuationBound == 0 {
		return
	}
	d.vm.Placement = &proxy.Placement{
		Rule: placement.Evacuation{Bound: d.Settings.EvacuationBound}, AwaitCurrent: d.fleet.AwaitEvacuation,
		Warmup: placement.Warmup{Overshoot: d.Settings.WarmupOvershoot, Tolerance: d.Settings.WarmupTolerance}, Sender: d.coldSender, DoubtsList: d.doubtsServerList,
		RegionOf: d.Settings.RegionOf, Regions: d.Settings.KnownRegions(),
	}
	d.fleet.SpreadsEvacuation, d.fleet.OnEvacuation = true, d.onEvacuation
	d.configurationWatcher.OnEvacuated = d.fleet.NoteEvacuatedZones
}

// onEvacuation passes the zones that are being evacuated to the VM, in the order in which they change.
func (d *daemon) onEvacuation() {
	d.evacuationMu.Lock()
	defer d.evacuationMu.Unlock()
	zones, _ := d.fleet.EvacuatedZones()
	since := map[proxy.AvailabilityZone]clock.Instant{}
	for zone, at := range zones {
		since[proxy.AvailabilityZone(zone)] = at
	}
	d.vm.SetEvacuated(since)
}

// coldSender returns the address of the VM that sends to a cold server, and whether that is this VM.
// Nobody is while this VM doesn't know the others yet, or if no VM of the server's region is live, since
// statements may have to stay in it. VMs of all versions must use the same purpose.
func (d *daemon) coldSender(s proxy.Server) (proxy.Address, bool) {
	if !d.fleet.Settled() {
		return "", false
	}
	region := d.Settings.RegionOf(s.Zone)
	first, address := d.fleet.FirstVM("warm/"+string(s.ID), string(s.Zone), func(m heartbeat.Message) bool {
		return (m.VM == d.fleet.VM || m.RelayVersion == relay.Version) && d.Settings.RegionOf(proxy.AvailabilityZone(m.Zone)) == region
	})
	return proxy.Address(address), first == d.fleet.VM
}

// maxListDoubt is how long after a pause the list of servers from before it is doubted. A VM that gets no
// newer one in that time counts as cut off and goes on with what it knows.
const maxListDoubt = 4 * time.Second

// doubtsServerList reports whether this VM was paused after the platform returned the list of servers.
func (d *daemon) doubtsServerList() bool {
	resumedAt := d.fleet.ResumedAt()
	if resumedAt == 0 || clock.Since(resumedAt) > maxListDoubt {
		return false
	}
	d.listMu.Lock()
	defer d.listMu.Unlock()
	return d.list.listedAt < resumedAt
}
