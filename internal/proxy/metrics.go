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
	// refusals counts attempts at a promotion that were given up.
	refusals metric.Int64Counter
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
	refusals, err := m.Int64Counter("savoryramp.vm.promotions.refused", metric.WithDescription("Promotions that this VM didn't order although it had decided to replace a primary, by service and reason."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	v.metrics = instruments{answers, latency, refusals}
	return nil
}

func (i instruments) recordRefusal(service ServiceName, reason string) {
	if i.refusals != nil {
		i.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(service)), attribute.String("reason", reason)))
	}
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
