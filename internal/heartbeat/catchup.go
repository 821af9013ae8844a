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
	askAfter = 700 * time.Millisecond
	// askSoon is the same where the store isn't asked by every VM.
	askSoon = 50 * time.Millisecond
	// askEvery is how often it looks.
	askEvery = 100 * time.Millisecond
	// askWithin bounds one question to another VM.
	askWithin = time.Second
)

var (
	eventCaughtUp = event.Define(5104, "heartbeat-caught-up", event.Info,
		"This VM took a newer configuration from another VM, as the store hadn't brought it.")
	eventNotCaughtUp = event.Define(5105, "heartbeat-not-caught-up", event.Warn,
		"Another VM has a newer configuration but didn't give it.")
)

// CatchUp takes newer configurations from other VMs while the store doesn't bring them.
// The exported fields are set before Run.
type CatchUp struct {
	Fleet *Fleet
	// Version is this VM's.
	Version func() int64
	// Port is where every VM gives its configuration.
	Port string
	// Fetch asks the VM at an address and puts what it gives into force.
	Fetch  func(ctx context.Context, address string) error
	Logger log.Logger
}

// Run looks until ctx ends.
func (c *CatchUp) Run(ctx context.Context) error {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	var behind time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		ahead, found := c.ahead()
		switch {
		case !found:
			behind = time.Time{}
		case behind.IsZero():
			behind = time.Now()
		case time.Since(behind) >= c.patience():
			c.ask(ctx, ahead)
			behind = time.Now()
		}
	}
}

// patience is how long the store is waited for.
func (c *CatchUp) patience() time.Duration {
	if c.Fleet.Scout() {
		return askAfter
	}
	return askSoon
}

// ahead is a live VM with the newest configuration, if that is newer than this one's; one
// of this zone, if there is one.
func (c *CatchUp) ahead() (Peer, bool) {
	var newest []Peer
	own := c.Version()
	near := false
	for _, p := range c.Fleet.Peers() {
		if p.Silent || p.Configuration <= own || len(newest) > 0 && p.Configuration < newest[0].Configuration {
			continue
		}
		closer := p.Zone == c.Fleet.Zone
		if len(newest) > 0 && p.Configuration == newest[0].Configuration && near && !closer {
			continue
		}
		if len(newest) > 0 && (p.Configuration > newest[0].Configuration || closer && !near) {
			newest = nil
		}
		newest, near = append(newest, p), closer
	}
	if len(newest) == 0 {
		return Peer{}, false
	}
	return newest[rand.IntN(len(newest))], true
}

func (c *CatchUp) ask(ctx context.Context, p Peer) {
	host, _, err := net.SplitHostPort(p.Address)
	if err != nil {
		eventNotCaughtUp.Log(c.Logger, "peer", p.VM, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	if err := c.Fetch(ctx, net.JoinHostPort(host, c.Port)); err != nil {
		eventNotCaughtUp.Log(c.Logger, "peer", p.VM, "configuration", p.Configuration, "err", err)
		return
	}
	eventCaughtUp.Log(c.Logger, "peer", p.VM, "configuration", p.Configuration)
}
