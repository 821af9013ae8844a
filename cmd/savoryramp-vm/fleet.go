package main

import (
	"encoding/json"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
)

const (
	// noteEvery is how often a scout repeats the list of servers to its zone.
	noteEvery = time.Second
	// noteFor is how long the others rely on it before they ask the platform themselves.
	noteFor = 4 * time.Second
)

// watch is the fleet as the VM's groups need it.
type watch struct{ *heartbeat.Fleet }

// Proves tells whether this VM watches a group's primary.
func (w watch) Proves(service proxy.ServiceName) bool {
	proves, _ := w.Among("prove/"+string(service), proxy.Provers)
	return proves
}

// list takes the servers that the platform lists, and says them to the zone.
func (d *daemon) list(servers []proxy.Server) {
	d.vm.List(servers)
	if time.Since(d.notedAt) < noteEvery {
		return
	}
	d.notedAt = time.Now()
	text, err := json.Marshal(servers)
	if err != nil {
		eventNote.Log(d.logger, "err", err)
		return
	}
	d.fleet.Share(text)
}

// note takes the list of servers from a scout.
func (d *daemon) note(text json.RawMessage) {
	var servers []proxy.Server
	if err := json.Unmarshal(text, &servers); err != nil {
		eventNote.Log(d.logger, "err", err)
		return
	}
	d.heardList.Store(int64(clock.Now()))
	d.vm.List(servers)
}

// others tells whether scouts ask the platform on behalf of this VM.
func (d *daemon) others() bool { return !d.fleet.Scout() }

// othersList tells whether a scout has lately said which servers there are.
func (d *daemon) othersList() bool {
	return d.others() && d.heardList.Load() > 0 && clock.Since(clock.Instant(d.heardList.Load())) < noteFor
}
