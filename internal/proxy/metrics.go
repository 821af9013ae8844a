package proxy

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments measure the answers to callers; the zero value records nothing.
type instruments struct {
	answers metric.Int64Counter
	latency metric.Float64Histogram
}

// latencyBounds, in seconds, are densest around the latency objectives and timeouts of the
// routes.
var latencyBounds = []float64{.002, .005, .01, .02, .05, .1, .15, .25, .5, 1, 2, 5}

// RegisterMetrics registers the VM's instruments. It returns ErrMalformed if the meter rejects
// one.
func (v *VM) RegisterMetrics(m metric.Meter) error {
	answers, err := m.Int64Counter("savoryramp.vm.answers", metric.WithDescription("Answers to callers by database and outcome."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	latency, err := m.Float64Histogram("savoryramp.vm.latency", metric.WithUnit("s"),
		metric.WithDescription("Time from a statement's arrival to its answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	v.metrics = instruments{answers, latency}
	return v.registerEvacuationMetrics(m)
}

// registerEvacuationMetrics registers the gauges of what is left at servers of evacuated zones.
func (v *VM) registerEvacuationMetrics(m metric.Meter) error {
	gauge, err := m.Int64ObservableGauge("savoryramp.vm.evacuation.left",
		metric.WithDescription("This VM's connections to servers of a zone that is being evacuated, and the statements that use or await one."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, e := range v.evacuations() {
			zone := attribute.String("zone", string(e.Zone))
			o.ObserveInt64(gauge, int64(e.Connections), metric.WithAttributes(zone, attribute.String("kind", "connections")))
			o.ObserveInt64(gauge, int64(e.Statements), metric.WithAttributes(zone, attribute.String("kind", "statements")))
		}
		return nil
	}, gauge)
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	return nil
}

func (i instruments) recordAnswer(r *Route, a Answer, took time.Duration) {
	if i.answers == nil {
		return
	}
	outcome := string(a.Failure)
	if a.Succeeded() {
		outcome = "ok"
	}
	set := metric.WithAttributes(attribute.String("database", string(r.Database)), attribute.String("outcome", outcome))
	i.answers.Add(context.Background(), 1, set)
	i.latency.Record(context.Background(), took.Seconds(), set)
}
