package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/platform"
)

const (
	// noteEvery is how often a scout repeats the list of servers to its zone.
	listShareInterval = time.Second
	// noteFor is how long the others rely on it before they ask the platform themselves.
	sharedListTTL = 4 * time.Second
)

// watch is the fleet as the VM's groups need it.
type verifierFleet struct{ *heartbeat.Fleet }

// Proves tells whether this VM watches a group's primary.
func (w verifierFleet) Verifies(service proxy.ServiceName) bool {
	proves, _ := w.SelectVMs("prove/"+string(service), proxy.MaxVerifiers)
	return proves
}

// list takes the servers that the platform lists, and says them to the zone.
func (d *daemon) onServers(servers []proxy.Server) {
	d.recordServers(servers, 0)
	if time.Since(d.lastListShared) < listShareInterval {
		return
	}
	d.lastListShared = time.Now()
	text, err := json.Marshal(servers)
	if err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
		return
	}
	d.fleet.BroadcastToZone(text)
}

// note takes the list of servers from a scout.
func (d *daemon) onServerList(text json.RawMessage) {
	var servers []proxy.Server
	if err := json.Unmarshal(text, &servers); err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
		return
	}
	d.lastListReceived.Store(int64(clock.Now()))
	d.recordServers(servers, 0)
}

// listed takes servers that the platform listed so long ago.
func (d *daemon) recordServers(servers []proxy.Server, age time.Duration) {
	d.vm.SetServers(servers)
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	d.servers, d.listedAt = servers, clock.Now().Add(-age)
}

// giveServers says what the platform listed last.
func (d *daemon) serveServerList(w http.ResponseWriter, _ *http.Request) {
	d.serversMu.Lock()
	l := platform.ServerList{AgeMs: clock.Since(d.listedAt).Milliseconds(), Servers: d.servers}
	d.serversMu.Unlock()
	if err := json.NewEncoder(w).Encode(l); err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
	}
}

// askServers asks another VM, drawn at random, which servers the platform lists.
func (d *daemon) fetchServersFromPeer(ctx context.Context) error {
	var addresses []string
	_, port, err := net.SplitHostPort(string(d.Settings.ControlAddress))
	if err != nil {
		return proxy.ErrUnavailable.Wrap(err, "no control address")
	}
	for _, p := range d.fleet.Peers() {
		if host, _, err := net.SplitHostPort(p.Address); err == nil && !p.Silent && !p.Leaving {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	if len(addresses) == 0 {
		return proxy.ErrUnavailable.New("no other VM is heard")
	}
	l, err := platform.FetchServers(ctx, d.store.Client, addresses[rand.IntN(len(addresses))])
	if err != nil {
		return err
	}
	d.recordServers(l.Servers, l.Age())
	return nil
}

// others tells whether scouts ask the platform on behalf of this VM.
func (d *daemon) readByDelegate() bool { return !d.fleet.IsZoneDelegate() }

// othersList tells whether a scout has lately said which servers there are.
func (d *daemon) listReadByDelegate() bool {
	return d.readByDelegate() && d.lastListReceived.Load() > 0 && clock.Since(clock.Instant(d.lastListReceived.Load())) < sharedListTTL
}
