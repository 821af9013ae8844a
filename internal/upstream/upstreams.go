// Package upstream speaks to the database groups: connections, positions, terms.
package upstream

import (
	"context"
	"os"
	"slices"
	"sync"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Upstreams keeps a Group for each database group of the document in force.
type Upstreams struct {
	Dial   Dial
	Logger log.Logger
	// Share is how many connections this VM may have to a server at this moment.
	Share func(platform.ServerName) int
	// Allowance gives this VM's part of a server's connections; nil to go by Share.
	Allowance func(platform.ServerName) Allowance
	// Meter exports the groups' state; may be nil.
	Meter metric.Meter
	// Coordination joins this VM with the others; without it nobody promotes here.
	Coordination Coordination
	// Table keeps the records of the groups' terms.
	Table platform.Table
	Reads ReadPolicy
	Order Order
	// Limit of the connections in use to each server; nil is Fixed.
	Limit Limit
	// MaxQueue bounds the requests that wait for one server.
	MaxQueue int
	// Documents gives each newer document.
	Documents interface {
		Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error)
	}

	mu     sync.Mutex
	groups map[platform.UpstreamName]*Group
}

// Run follows the document until ctx ends, then closes all connections.
func (u *Upstreams) Run(ctx context.Context) error {
	var version platform.DocumentVersion
	if u.Logger == nil {
		u.Logger = log.NewNopLogger()
	}
	u.observe()
	defer u.stop()
	for {
		snapshot, err := u.Documents.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		u.apply(ctx, snapshot.Document)
	}
}

// apply starts new groups, replaces changed ones and stops those no longer named.
func (u *Upstreams) apply(ctx context.Context, d *platform.Document) {
	u.mu.Lock()
	if u.groups == nil {
		u.groups = map[platform.UpstreamName]*Group{}
	}
	var doomed []*Group
	named := map[platform.UpstreamName]bool{}
	for _, up := range d.Upstreams {
		named[up.Name] = true
		before := u.groups[up.Name]
		if before != nil && before.same(up) {
			continue
		}
		if before != nil && before.sameLogin(up) {
			before.update(up)
			continue
		}
		if before != nil {
			doomed = append(doomed, before)
		}
		u.groups[up.Name] = u.group(ctx, up)
	}
	for name, g := range u.groups {
		if !named[name] {
			doomed = append(doomed, g)
			delete(u.groups, name)
			eventGroupRemoved.Log(u.Logger, "upstream", name)
		}
	}
	u.mu.Unlock()
	for _, g := range doomed {
		g.stop()
	}
}

func (u *Upstreams) group(ctx context.Context, up platform.Upstream) *Group {
	g := &Group{
		Upstream: up, Dial: u.Dial, Logger: log.With(u.Logger, "upstream", up.Name),
		Login:     Login{User: up.User, Database: up.Database, Password: password(up.PasswordVariable)},
		Share:     u.Share,
		Allowance: u.Allowance, Coordination: u.Coordination, Table: u.Table, Reads: u.Reads, Order: u.Order, Limit: u.Limit, MaxQueue: u.MaxQueue,
	}
	g.start(ctx)
	eventGroupAdded.Log(g.Logger, "servers", len(up.Servers))
	return g
}

func password(variable string) string {
	if variable == "" {
		return ""
	}
	return os.Getenv(variable)
}

// same tells whether the group already serves exactly up.
func (g *Group) same(up platform.Upstream) bool {
	return g.sameLogin(up) && slices.Equal(g.Upstream.Servers, up.Servers)
}

// sameLogin tells whether connections opened for g serve up as well.
func (g *Group) sameLogin(up platform.Upstream) bool {
	return g.Upstream.User == up.User && g.Upstream.Database == up.Database &&
		g.Upstream.PasswordVariable == up.PasswordVariable && g.Upstream.Acknowledge == up.Acknowledge
}

// Group gives the group of a name, false if the document doesn't name it.
func (u *Upstreams) Group(name platform.UpstreamName) (*Group, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	g, found := u.groups[name]
	return g, found
}

func (u *Upstreams) stop() {
	u.mu.Lock()
	groups := u.groups
	u.groups = nil
	u.mu.Unlock()
	for _, g := range groups {
		g.stop()
	}
}
