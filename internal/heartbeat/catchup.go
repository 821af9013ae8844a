package heartbeat

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/event"
)

const (
	// delegateCatchUpDelay is how long a zone delegate must be behind another VM before it
	// fetches that VM's newer configuration. The store usually delivers it sooner.
	delegateCatchUpDelay = 700 * time.Millisecond
	// nonDelegateCatchUpDelay is the same for a VM that relies on zone delegates to read the
	// store, and while the store may be behind other VMs.
	nonDelegateCatchUpDelay = 50 * time.Millisecond
	// catchUpCheckInterval is how often the versions of the other VMs are checked.
	catchUpCheckInterval = 100 * time.Millisecond
	// fetchTimeout bounds fetching the configuration from another VM.
	fetchTimeout = time.Second
)

var (
	eventCaughtUp = event.Define(5104, "heartbeat-caught-up", event.Info,
		"This VM fetched a newer configuration from another VM because the store hadn't delivered it.")
	eventCatchUpFailed = event.Define(5105, "heartbeat-not-caught-up", event.Warn,
		"Fetching a newer configuration from another VM failed.")
)

// ConfigurationCatchUp fetches newer configurations from other VMs if the store hasn't
// delivered them. Its exported fields are set before Run.
type ConfigurationCatchUp struct {
	Fleet *Fleet
	// OwnVersion returns the version of this VM's configuration.
	OwnVersion func() int64
	// Port is the port at which every VM serves its configuration.
	Port string
	// FetchConfiguration fetches the configuration of the VM at an address and puts it into
	// force.
	FetchConfiguration func(ctx context.Context, address string) error
	Logger             log.Logger
}

// Run checks for newer configurations until ctx ends.
func (c *ConfigurationCatchUp) Run(ctx context.Context) error {
	tick := time.NewTicker(catchUpCheckInterval)
	defer tick.Stop()
	var behindSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		newest, found := c.peerWithNewest()
		switch {
		case !found:
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		case time.Since(behindSince) >= c.catchUpDelay():
			c.fetchFrom(ctx, newest)
			behindSince = time.Now()
		}
	}
}

// catchUpDelay returns how long this VM waits for the store to deliver a newer configuration.
func (c *ConfigurationCatchUp) catchUpDelay() time.Duration {
	if c.Fleet.IsZoneDelegate() && !c.Fleet.storeMayBeBehind() {
		return delegateCatchUpDelay
	}
	return nonDelegateCatchUpDelay
}

// peerWithNewest returns a random live VM among those with the newest configuration, if that is
// newer than this VM's. VMs of this VM's zone are preferred.
func (c *ConfigurationCatchUp) peerWithNewest() (Peer, bool) {
	var newest []Peer
	ownVersion := c.OwnVersion()
	sameZone := false
	for _, p := range c.Fleet.peersAhead(ownVersion) {
		if len(newest) > 0 && p.ConfigurationVersion < newest[0].ConfigurationVersion {
			continue
		}
		inOwnZone := p.Zone == c.Fleet.Zone
		if len(newest) > 0 && p.ConfigurationVersion == newest[0].ConfigurationVersion && sameZone && !inOwnZone {
			continue
		}
		if len(newest) > 0 && (p.ConfigurationVersion > newest[0].ConfigurationVersion || inOwnZone && !sameZone) {
			newest = nil
		}
		newest, sameZone = append(newest, p), inOwnZone
	}
	if len(newest) == 0 {
		return Peer{}, false
	}
	return newest[rand.IntN(len(newest))], true
}

func (c *ConfigurationCatchUp) fetchFrom(ctx context.Context, p Peer) {
	host, _, err := net.SplitHostPort(p.Address)
	if err != nil {
		eventCatchUpFailed.Log(c.Logger, "peer", p.VM, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := c.FetchConfiguration(ctx, net.JoinHostPort(host, c.Port)); err != nil {
		eventCatchUpFailed.Log(c.Logger, "peer", p.VM, "configuration", p.ConfigurationVersion, "err", err)
		return
	}
	eventCaughtUp.Log(c.Logger, "peer", p.VM, "configuration", p.ConfigurationVersion)
}
