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
	// askAfter is how long this VM must be behind another before it asks for the newer
	// configuration: the store brings it sooner as a rule.
	delegateCatchUpDelay = 700 * time.Millisecond
	// askSoon is the same where the store isn't asked by every VM.
	catchUpDelay = 50 * time.Millisecond
	// askEvery is how often it looks.
	catchUpCheckInterval = 100 * time.Millisecond
	// askWithin bounds one question to another VM.
	fetchTimeout = time.Second
)

var (
	eventCaughtUp = event.Define(5104, "heartbeat-caught-up", event.Info,
		"This VM took a newer configuration from another VM, as the store hadn't brought it.")
	eventCatchUpFailed = event.Define(5105, "heartbeat-not-caught-up", event.Warn,
		"Another VM has a newer configuration but didn't give it.")
)

// CatchUp takes newer configurations from other VMs while the store doesn't bring them.
// The exported fields are set before Run.
type ConfigurationCatchUp struct {
	Fleet *Fleet
	// Version is this VM's.
	OwnVersion func() int64
	// Port is where every VM gives its configuration.
	Port string
	// Fetch asks the VM at an address and puts what it gives into force.
	FetchConfiguration func(ctx context.Context, address string) error
	Logger             log.Logger
}

// Run looks until ctx ends.
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

// patience is how long the store is waited for.
func (c *ConfigurationCatchUp) catchUpDelay() time.Duration {
	if c.Fleet.IsZoneDelegate() {
		return delegateCatchUpDelay
	}
	return catchUpDelay
}

// ahead is a live VM with the newest configuration, if that is newer than this one's; one
// of this zone, if there is one.
func (c *ConfigurationCatchUp) peerWithNewest() (Peer, bool) {
	var newest []Peer
	ownVersion := c.OwnVersion()
	sameZone := false
	for _, p := range c.Fleet.Peers() {
		if p.Silent || p.ConfigurationVersion <= ownVersion || len(newest) > 0 && p.ConfigurationVersion < newest[0].ConfigurationVersion {
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
