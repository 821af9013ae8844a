package main

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/proxy"
)

// registerRateMetrics registers the counter of corrections of this VM's shares of rates. It returns
// ErrMalformed if the meter rejects it.
func (d *daemon) registerRateMetrics(m metric.Meter) error {
	_, err := m.Float64ObservableCounter("savoryramp.vm.rate.corrections",
		metric.WithDescription("Tokens by which shares of rates were corrected once the other VMs' demand was known, by direction."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			c := d.quota.Corrections()
			o.Observe(c.TakenBack, metric.WithAttributes(attribute.String("direction", "taken-back")))
			o.Observe(c.Added, metric.WithAttributes(attribute.String("direction", "added")))
			return nil
		}))
	if err != nil {
		return proxy.ErrMalformed.Wrap(err, "instrument")
	}
	return nil
}
