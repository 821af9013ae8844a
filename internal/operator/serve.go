package operator

import (
	"context"
	"net"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

const (
	// fleetSize is how many VMs a server's connections are divided among.
	fleetSize = 9
	// maxQueue bounds the requests of one VM that wait for one server.
	maxQueue = 512
)

// serving is the part of the daemon between callers and upstreams.
type serving struct {
	upstreams *upstream.Upstreams
	callers   *caller.Server
}

// newServing makes the callers' and upstreams' parts and takes the callers' address.
func (d *Daemon) newServing() (*serving, error) {
	listener, err := listen("listen", d.Options.Listen)
	if err != nil {
		return nil, err
	}
	var dialer net.Dialer
	u := &upstream.Upstreams{
		Dial: dialer.DialContext, Logger: d.Logger, Documents: d.Configuration, Share: d.share,
		Reads: upstream.WaitOrPrimary{}, Order: upstream.DeficitRoundRobin, MaxQueue: maxQueue,
	}
	c := &caller.Server{
		VM: platform.VMName(d.Options.VM), Listener: listener, TLS: d.Certificates.callers(), Documents: d.Configuration,
		Upstreams: u, TokenKey: d.tokenKey(), MaxWait: d.Options.MaxWait, Deadline: d.Options.StatementDeadline,
		Logger: d.Logger, Meter: d.Metrics.Meter("caller"),
	}
	d.Admin.Register("callers", c.State)
	d.Admin.Register("upstreams", u.State)
	return &serving{u, c}, nil
}

// tokenKey asks the platform for the key of session tokens; without it the VM
// gives none, and asks the upstreams for floors instead.
func (d *Daemon) tokenKey() caller.TokenKey {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key, err := caller.LoadTokenKey(ctx, d.Table)
	if err != nil {
		eventNoTokens.Log(d.Logger, "error", reason(err))
	}
	return key
}

// share divides a server's connections, less one held by each VM for positions.
func (d *Daemon) share(name platform.ServerName) int {
	document := d.Configuration.Current().Document
	for _, u := range document.Upstreams {
		for _, s := range u.Servers {
			if s.Name == name {
				return max(1, (int(s.Connections)-fleetSize)/fleetSize)
			}
		}
	}
	return 1
}
