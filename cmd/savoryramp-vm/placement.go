package main

import (
	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// enableEvacuation connects the parts that evacuate zones, if the settings ask for that.
func (d *daemon) enableEvacuation() {
	if d.Settings.EvacuationBound == 0 {
		return
	}
	d.vm.Placement = &proxy.Placement{Rule: placement.Evacuation{Bound: d.Settings.EvacuationBound}, AwaitCurrent: d.fleet.AwaitEvacuation}
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
