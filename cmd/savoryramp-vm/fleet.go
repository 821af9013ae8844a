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
	// listShareInterval is how often a zone delegate sends the list of servers to its zone.
	listShareInterval = time.Second
	// sharedListTTL is how long a received list is used by the other VMs of the zone before they
	// query the platform themselves.
	sharedListTTL = 4 * time.Second
)

// verifierFleet adds to the fleet the selection of the VMs that verify a group's primary.
type verifierFleet struct{ *heartbeat.Fleet }

// IsVerifier reports whether this VM is one of the verifiers of a group's primary. VMs of all
// versions must use the same purpose for the selection, "prove/" and the service's name, so that
// they select the same verifiers.
func (f verifierFleet) IsVerifier(service proxy.ServiceName) bool {
	selected, _ := f.SelectVMs("prove/"+string(service), proxy.MaxVerifiers)
	return selected
}

// onServers records the servers listed by the platform, and sends them to the VMs of the zone
// every listShareInterval.
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

// onServerList records the list of servers sent by a zone delegate.
func (d *daemon) onServerList(text json.RawMessage) {
	var servers []proxy.Server
	if err := json.Unmarshal(text, &servers); err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
		return
	}
	d.lastListReceived.Store(int64(clock.Now()))
	d.recordServers(servers, 0)
}

// recordServers records a list of servers that the platform returned age ago.
func (d *daemon) recordServers(servers []proxy.Server, age time.Duration) {
	d.vm.SetServers(servers)
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	d.servers, d.listedAt = servers, clock.Now().Add(-age)
}

// serveServerList serves the last recorded list of servers and its age to other VMs.
func (d *daemon) serveServerList(w http.ResponseWriter, _ *http.Request) {
	d.serversMu.Lock()
	l := platform.ServerList{AgeMs: clock.Since(d.listedAt).Milliseconds(), Servers: d.servers}
	d.serversMu.Unlock()
	if err := json.NewEncoder(w).Encode(l); err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
	}
}

// fetchServersFromPeer fetches the platform's list of servers from a random other VM.
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
		return proxy.ErrUnavailable.New("no other VM is live")
	}
	l, err := platform.FetchServers(ctx, d.store.Client, addresses[rand.IntN(len(addresses))])
	if err != nil {
		return err
	}
	d.recordServers(l.Servers, l.Age())
	return nil
}

// readByDelegate reports whether this VM relies on zone delegates to query the platform.
func (d *daemon) readByDelegate() bool { return !d.fleet.IsZoneDelegate() }

// listReadByDelegate reports whether this VM relies on zone delegates and one of them has
// recently sent the list of servers.
func (d *daemon) listReadByDelegate() bool {
	return d.readByDelegate() && d.lastListReceived.Load() > 0 && clock.Since(clock.Instant(d.lastListReceived.Load())) < sharedListTTL
}
