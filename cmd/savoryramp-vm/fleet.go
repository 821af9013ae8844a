package main

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/platform"
)

const (
	// maxDelegateStoreAge is the age of a zone delegate's latest read of the store up to which the
	// other VMs of the zone don't read it themselves. It is longer than the store holds a request
	// for changes, and shorter than the time in which a configuration must be in force.
	maxDelegateStoreAge = 4 * time.Second
	// maxDelegateListAge is the same for the list of servers.
	maxDelegateListAge = 5 * time.Second
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

// serverList is the list of servers that this VM uses.
type serverList struct {
	servers []proxy.Server
	// hash identifies the list in heartbeats. It is zero if there is none.
	hash uint64
	// listedAt is when the platform last returned the list.
	listedAt clock.Instant
	// lackedFrom is the control address of a zone delegate that has another list, empty if there
	// is none.
	lackedFrom string
}

// hashServers sorts servers by ID and returns their hash.
func hashServers(servers []proxy.Server) (uint64, error) {
	slices.SortFunc(servers, func(a, b proxy.Server) int { return cmp.Compare(a.ID, b.ID) })
	text, err := json.Marshal(servers)
	if err != nil {
		return 0, proxy.ErrMalformed.Wrap(err, "list of servers")
	}
	return xxhash.Sum64(text), nil
}

// onServers records the servers listed by the platform, and sends a changed list to the VMs of the
// zone.
func (d *daemon) onServers(servers []proxy.Server) {
	if !d.recordServers(servers, 0) {
		return
	}
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
	d.recordServers(servers, 0)
}

// recordServers records a list of servers that the platform returned age ago, and reports whether
// it differs from the one before.
func (d *daemon) recordServers(servers []proxy.Server, age time.Duration) (changed bool) {
	hash, err := hashServers(servers)
	if err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
		return false
	}
	d.listMu.Lock()
	defer d.listMu.Unlock()
	changed = hash != d.list.hash
	d.list = serverList{servers: servers, hash: hash, listedAt: clock.Now().Add(-age)}
	if changed {
		d.vm.SetServers(servers)
	}
	return changed
}

// compareServerList checks a zone delegate's heartbeat for whether the delegate has the same list
// of servers as this VM, which then is as new as the delegate's.
func (d *daemon) compareServerList(message heartbeat.Message) {
	if message.ServerList == 0 || message.Digested || message.Zone != string(d.Settings.Zone) {
		return
	}
	d.listMu.Lock()
	defer d.listMu.Unlock()
	if message.ServerList == d.list.hash {
		listedAt := clock.Now().Add(-time.Duration(message.ServerListAgeMs) * time.Millisecond)
		d.list.listedAt, d.list.lackedFrom = max(d.list.listedAt, listedAt), ""
		return
	}
	if host, _, err := net.SplitHostPort(message.Address); err == nil {
		d.list.lackedFrom = net.JoinHostPort(host, d.controlPort())
	}
}

// controlPort returns the port of the control pages, which all VMs have in common.
func (d *daemon) controlPort() string {
	_, port, err := net.SplitHostPort(string(d.Settings.ControlAddress))
	if err != nil {
		// Without the port no other VM is reached, which is logged there.
		return ""
	}
	return port
}

// lacksServerList reports whether a zone delegate has another list of servers than this VM.
func (d *daemon) lacksServerList() bool {
	d.listMu.Lock()
	defer d.listMu.Unlock()
	return d.list.lackedFrom != ""
}

// serverListAge returns how long ago the platform last returned the list of servers.
func (d *daemon) serverListAge() time.Duration {
	d.listMu.Lock()
	defer d.listMu.Unlock()
	return clock.Since(d.list.listedAt)
}

// knownServers returns the servers that this VM uses.
func (d *daemon) knownServers() []proxy.Server {
	d.listMu.Lock()
	defer d.listMu.Unlock()
	return d.list.servers
}

// serveServerList serves the last recorded list of servers and its age to other VMs.
func (d *daemon) serveServerList(w http.ResponseWriter, _ *http.Request) {
	d.listMu.Lock()
	l := platform.ServerList{AgeMs: clock.Since(d.list.listedAt).Milliseconds(), Servers: d.list.servers}
	d.listMu.Unlock()
	if err := json.NewEncoder(w).Encode(l); err != nil {
		eventMalformedServerList.Log(d.logger, "err", err)
	}
}

// fetchServersFromPeer fetches the platform's list of servers from a zone delegate that has
// another one than this VM, or else from a random other VM.
func (d *daemon) fetchServersFromPeer(ctx context.Context) error {
	d.listMu.Lock()
	address := d.list.lackedFrom
	d.listMu.Unlock()
	if address == "" {
		var addresses []string
		for _, p := range d.fleet.Peers() {
			if host, _, err := net.SplitHostPort(p.Address); err == nil && !p.Silent && !p.Leaving {
				addresses = append(addresses, net.JoinHostPort(host, d.controlPort()))
			}
		}
		if len(addresses) == 0 {
			return proxy.ErrUnavailable.New("no other VM is live")
		}
		address = addresses[rand.IntN(len(addresses))]
	}
	l, err := d.store.FetchServers(ctx, address)
	if err != nil {
		return err
	}
	d.recordServers(l.Servers, l.Age())
	return nil
}

// readByDelegate reports whether this VM relies on zone delegates to read the platform's store.
func (d *daemon) readByDelegate() bool { return d.fleet.ReliesOnDelegate(maxDelegateStoreAge) }

// listReadByDelegate reports whether this VM relies on zone delegates to read the list of servers.
func (d *daemon) listReadByDelegate() bool {
	if !d.readByDelegate() {
		return false
	}
	d.listMu.Lock()
	defer d.listMu.Unlock()
	return d.list.lackedFrom != "" || d.list.hash == 0 || clock.Since(d.list.listedAt) < maxDelegateListAge
}
