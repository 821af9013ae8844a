package platform

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// ErrMetric means that a metric instrument can't be created.
var ErrMetric = errs.NewType("metric")

// registerMetrics registers the gauges of a configuration and returns a function that
// unregisters them.
func (c *Configuration) registerMetrics() (stop func(), err error) {
	meter := c.Meter
	if meter == nil {
		meter = noop.Meter{}
	}
	version, err := meter.Int64ObservableGauge("savoryramp.configuration.version",
		metric.WithDescription("Version of the document in force; 0 for none."))
	if err != nil {
		return nil, ErrMetric.Wrap(err, "version")
	}
	read, err := meter.Float64ObservableGauge("savoryramp.configuration.read.timestamp",
		metric.WithUnit("s"), metric.WithDescription("When the table was last read, since the epoch; 0 for never."))
	if err != nil {
		return nil, ErrMetric.Wrap(err, "read timestamp")
	}
	rejected, err := meter.Int64ObservableCounter("savoryramp.platform.responses.rejected",
		metric.WithDescription("Responses of the table or the object store that might have been duplicates, and weren't used."))
	if err != nil {
		return nil, ErrMetric.Wrap(err, "rejected responses")
	}
	registration, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(version, int64(c.Current().Version))
		o.ObserveFloat64(read, c.tableReadUnixSeconds())
		o.ObserveInt64(rejected, duplicates.Load())
		return nil
	}, version, read, rejected)
	if err != nil {
		return nil, ErrMetric.Wrap(err, "callback")
	}
	return func() { _ = registration.Unregister() }, nil
}

// tableReadUnixSeconds returns TableReadAt in seconds since the epoch, 0 for never.
func (c *Configuration) tableReadUnixSeconds() float64 {
	readAt := c.TableReadAt()
	if readAt.IsZero() {
		return 0
	}
	return float64(readAt.UnixMilli()) / 1000
}
