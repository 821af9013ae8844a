package operator

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// registerState adds the daemon's own state to the state dump and the metrics.
func (d *Daemon) registerState(started time.Time) {
	d.Admin.Register("vm", func() any { return d.vmState(started) })
	d.Admin.Register("document", d.documentState)
	d.registerMetrics()
}

func (d *Daemon) vmState(started time.Time) any {
	return struct {
		Name             string `json:"name"`
		AvailabilityZone string `json:"availability-zone"`
		Version          string `json:"version"`
		UptimeSeconds    int64  `json:"uptime-seconds"`
		Ready            bool   `json:"ready"`
		Draining         bool   `json:"draining"`
	}{
		Name:             d.Options.VMName,
		AvailabilityZone: d.Options.AvailabilityZone,
		Version:          d.Version,
		UptimeSeconds:    int64(time.Since(started).Seconds()),
		Ready:            d.ready() && !d.Admin.isDraining(),
		Draining:         d.Admin.isDraining(),
	}
}

func (d *Daemon) documentState() any {
	snapshot := d.Configuration.Current()
	return struct {
		Version int64  `json:"version"`
		Hash    string `json:"hash"`
	}{int64(snapshot.Version), string(snapshot.Hash)}
}

// registerMetrics exports the metrics that describe the VM as a whole, for alert rules.
func (d *Daemon) registerMetrics() {
	meter := d.Metrics.Meter("operator")
	gauge := func(name, description string, value func() int64) {
		_, _ = meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
	}
	gauge(metricReady, "1 while the VM accepts callers, else 0.", func() int64 { return boolToInt(d.ready() && !d.Admin.isDraining()) })
	gauge(metricDraining, "1 once a drain was requested, else 0.", func() int64 { return boolToInt(d.Admin.isDraining()) })
	gauge(metricDocument, "Version of the document in force on this VM.", func() int64 { return int64(d.Configuration.Current().Version) })
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
