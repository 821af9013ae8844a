package upstream

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// gauges are read from the groups whenever metrics are collected.
type gauges struct {
	usable, lag, connections, limit, waiting metric.Int64ObservableGauge
}

// registerMetrics registers gauges of the groups' state, unless Meter is nil.
func (u *Upstreams) registerMetrics() {
	if u.Meter == nil {
		return
	}
	var g gauges
	g.usable, _ = u.Meter.Int64ObservableGauge("savoryramp.upstream.primary.usable",
		metric.WithDescription("1 while this VM can use a primary of the group, else 0."))
	g.lag, _ = u.Meter.Int64ObservableGauge("savoryramp.upstream.replica.lag", metric.WithUnit("{entry}"),
		metric.WithDescription("Log entries that a replica has yet to apply, as far as this VM knows."))
	g.connections, _ = u.Meter.Int64ObservableGauge("savoryramp.upstream.connections",
		metric.WithDescription("This VM's connections to a server, by state in-use or idle."))
	g.limit, _ = u.Meter.Int64ObservableGauge("savoryramp.upstream.connections.limit",
		metric.WithDescription("How many connections to a server this VM may have in use at once."))
	g.waiting, _ = u.Meter.Int64ObservableGauge("savoryramp.upstream.requests.waiting",
		metric.WithDescription("Requests of this VM that wait for a connection to a server."))
	_, _ = u.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u.mu.Lock()
		defer u.mu.Unlock()
		for name, group := range u.groups {
			g.observeGroup(o, name, group)
		}
		return nil
	}, g.usable, g.lag, g.connections, g.limit, g.waiting)
}

// observeGroup records the gauges of one group.
func (g gauges) observeGroup(o metric.Observer, name platform.UpstreamName, group *Group) {
	group.mu.Lock()
	defer group.mu.Unlock()
	primary := group.usablePrimary()
	usable := int64(0)
	if primary != nil {
		usable = 1
	}
	label := attribute.String("upstream", string(name))
	o.ObserveInt64(g.usable, usable, metric.WithAttributes(label))
	for server, m := range group.members {
		labels := []attribute.KeyValue{label, attribute.String("server", string(server))}
		if primary != nil && m != primary {
			behind := max(0, primary.status.Applied.Offset-m.status.Applied.Offset)
			o.ObserveInt64(g.lag, int64(behind), metric.WithAttributes(labels...))
		}
		inUse, idle, waiting := m.pool.connectionCounts()
		_, limit := m.pool.shareAndLimit()
		o.ObserveInt64(g.limit, int64(limit), metric.WithAttributes(labels...))
		o.ObserveInt64(g.waiting, int64(waiting), metric.WithAttributes(labels...))
		o.ObserveInt64(g.connections, int64(inUse), metric.WithAttributes(append(labels, attribute.String("state", "in-use"))...))
		o.ObserveInt64(g.connections, int64(idle), metric.WithAttributes(append(labels, attribute.String("state", "idle"))...))
	}
}
