// Package upstream manages connections to PostgreSQL database groups: pools with fair
// queues, positions and freshness of servers, health checks and promotion.
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

// Upstreams runs a Group for each database group of the configuration document in force.
type Upstreams struct {
	Dial   Dial
	Logger log.Logger
	// Share returns how many connections this VM may currently have to a server.
	Share func(platform.ServerName) int
	// Allowance returns this VM's connection allowance for a server; if nil, Share
	// applies.
	Allowance func(platform.ServerName) Allowance
	// Meter exports the groups' state; may be nil.
	Meter metric.Meter
	// Coordination connects this VM with the others; if nil, this VM never promotes.
	Coordination Coordination
	// Table stores the records of the groups' terms.
	Table      platform.Table
	ReadPolicy ReadPolicy
	QueueOrder QueueOrder
	// ConcurrencyLimit bounds the connections in use to each server; nil means
	// FixedLimit.
	ConcurrencyLimit ConcurrencyLimit
	// MaxQueueLength bounds the requests that wait for one server.
	MaxQueueLength int
	// Documents returns each newer configuration document.
	Documents interface {
		Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error)
	}

	mu     sync.Mutex
	groups map[platform.UpstreamName]*Group
}

// Run applies each new document until ctx ends, then closes all connections.
func (u *Upstreams) Run(ctx context.Context) error {
	var version platform.DocumentVersion
	if u.Logger == nil {
		u.Logger = log.NewNopLogger()
	}
	u.registerMetrics()
	defer u.stop()
	for {
		snapshot, err := u.Documents.Wait(ctx, version)
		if err != nil {
			return nil
		}
		version = snapshot.Version
		u.applyDocument(ctx, snapshot.Document)
	}
}

// applyDocument starts new groups, updates or replaces changed ones and stops those
// that are no longer listed.
func (u *Upstreams) applyDocument(ctx context.Context, d *platform.Document) {
	u.mu.Lock()
	if u.groups == nil {
		u.groups = map[platform.UpstreamName]*Group{}
	}
	var obsolete []*Group
	listed := map[platform.UpstreamName]bool{}
	for _, up := range d.Upstreams {
		listed[up.Name] = true
		existing := u.groups[up.Name]
		if existing != nil && existing.isUnchanged(up) {
			continue
		}
		if existing != nil && existing.canUpdateTo(up) {
			existing.updateServers(up)
			continue
		}
		if existing != nil {
			obsolete = append(obsolete, existing)
		}
		u.groups[up.Name] = u.startGroup(ctx, up)
	}
	for name, g := range u.groups {
		if !listed[name] {
			obsolete = append(obsolete, g)
			delete(u.groups, name)
			eventGroupRemoved.Log(u.Logger, "upstream", name)
		}
	}
	u.mu.Unlock()
	for _, g := range obsolete {
		g.stop()
	}
}

func (u *Upstreams) startGroup(ctx context.Context, up platform.Upstream) *Group {
	g := &Group{
		Upstream: up, Dial: u.Dial, Logger: log.With(u.Logger, "upstream", up.Name),
		Login:     Login{User: up.User, Database: up.Database, Password: password(up.PasswordVariable)},
		Share:     u.Share,
		Allowance: u.Allowance, Coordination: u.Coordination, Table: u.Table, ReadPolicy: u.ReadPolicy, QueueOrder: u.QueueOrder, ConcurrencyLimit: u.ConcurrencyLimit, MaxQueueLength: u.MaxQueueLength,
		Meter: u.Meter,
	}
	g.start(ctx)
	eventGroupAdded.Log(g.Logger, "servers", len(up.Servers))
	return g
}

// password returns the value of an environment variable; empty if none is named.
func password(variable string) string {
	if variable == "" {
		return ""
	}
	return os.Getenv(variable)
}

// isUnchanged reports whether the group already serves exactly up.
func (g *Group) isUnchanged(up platform.Upstream) bool {
	return g.canUpdateTo(up) && slices.Equal(g.Upstream.Servers, up.Servers)
}

// canUpdateTo reports whether updateServers can apply up to g: the login and the
// acknowledge rule must be the same.
func (g *Group) canUpdateTo(up platform.Upstream) bool {
	return g.Upstream.User == up.User && g.Upstream.Database == up.Database &&
		g.Upstream.PasswordVariable == up.PasswordVariable && g.Upstream.Acknowledge == up.Acknowledge
}

// Group returns the group with the given name, false if the document doesn't list it.
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
