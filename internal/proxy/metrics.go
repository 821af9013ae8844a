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
	// refusals, waits and forecastErrors are those of servers' queues, by class. Only statements
	// that waited are recorded in the last two.
	refusals              metric.Int64Counter
	waits, forecastErrors metric.Float64Histogram
	// connections counts those that were opened to servers.
	connections metric.Int64Counter
	// promotionRefusals counts attempts at a promotion that were given up.
	promotionRefusals metric.Int64Counter
	// unexpectedAnswers counts answers of servers that weren't, or may not have been, those of the outstanding
	// commands.
	unexpectedAnswers metric.Int64Counter
	// sessionPanics counts sessions that ended by a fault of this program.
	sessionPanics metric.Int64Counter
}

// latencyBounds, in seconds, are densest around the latency objectives and timeouts of the
// routes.
var latencyBounds = []float64{.002, .005, .01, .02, .05, .1, .15, .25, .5, 1, 2, 5}

// forecastErrorBounds, in seconds, are symmetric: a negative error means that the wait was shorter.
var forecastErrorBounds = []float64{-.5, -.2, -.1, -.05, -.02, -.01, 0, .01, .02, .05, .1, .2, .5}

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
	refusals, err := m.Int64Counter("savoryramp.vm.queue.refusals", metric.WithDescription("Requests refused because of a server's forecast, by class and server, and those refused by forecasts of all servers or while the VM starts, without a server."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	waits, err := m.Float64Histogram("savoryramp.vm.queue.wait", metric.WithUnit("s"),
		metric.WithDescription("Time that statements waited for their turn at a server, of those that waited, by class and server."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	forecastErrors, err := m.Float64Histogram("savoryramp.vm.queue.forecast-error", metric.WithUnit("s"),
		metric.WithDescription("Actual wait less the forecast, of statements that waited, by class and server."), metric.WithExplicitBucketBoundaries(forecastErrorBounds...))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	connections, err := m.Int64Counter("savoryramp.vm.connections.opened", metric.WithDescription("Connections opened to servers, by service."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	promotionRefusals, err := m.Int64Counter("savoryramp.vm.promotions.refused", metric.WithDescription("Promotions that this VM didn't order although it had decided to replace a primary, by service and reason."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	unexpectedAnswers, err := m.Int64Counter("savoryramp.vm.answers.unexpected", metric.WithDescription("Answers of servers that weren't, or may not have been, those of the outstanding commands, by service and kind."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	sessionPanics, err := m.Int64Counter("savoryramp.vm.session.panics", metric.WithDescription("Sessions of callers and of other VMs that ended by a fault of this program."))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	if err := v.registerQueueLength(m); err != nil {
		return err
	}
	v.metrics = instruments{answers, latency, refusals, waits, forecastErrors, connections, promotionRefusals, unexpectedAnswers, sessionPanics}
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

// recordConnection counts a connection that was opened to a server of a service.
func (i instruments) recordConnection(service ServiceName) {
	if i.connections != nil {
		i.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(service))))
	}
}

// recordPromotionRefusal counts a promotion that was given up.
func (i instruments) recordPromotionRefusal(service ServiceName, reason string) {
	if i.promotionRefusals != nil {
		i.promotionRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(service)), attribute.String("reason", reason)))
	}
}

// recordUnexpectedAnswer counts an answer that wasn't, or may not have been, that of the outstanding command.
func (i instruments) recordUnexpectedAnswer(service ServiceName, whose attribution) {
	if i.unexpectedAnswers != nil {
		i.unexpectedAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(service)), attribute.String("kind", string(whose))))
	}
}

// recordSessionPanic counts a session that ended by a fault of this program.
func (i instruments) recordSessionPanic() {
	if i.sessionPanics != nil {
		i.sessionPanics.Add(context.Background(), 1)
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
