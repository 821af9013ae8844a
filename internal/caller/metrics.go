package caller

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// instruments are the callers' metrics.
type instruments struct {
	sessions metric.Int64UpDownCounter
	requests metric.Int64Counter
	refused  metric.Int64Counter
	cut      metric.Int64Counter
	duration metric.Float64Histogram
}

func newInstruments(m metric.Meter) instruments {
	if m == nil {
		m = noop.Meter{}
	}
	var i instruments
	i.sessions, _ = m.Int64UpDownCounter("savoryramp.caller.sessions",
		metric.WithDescription("Callers' sessions that are logged in."))
	i.requests, _ = m.Int64Counter("savoryramp.caller.requests",
		metric.WithDescription("Requests answered, by workspace, kind and role of the server."))
	i.refused, _ = m.Int64Counter("savoryramp.caller.refused",
		metric.WithDescription("Requests refused or failed by savoryramp itself, by workspace and SQLSTATE."))
	i.cut, _ = m.Int64Counter("savoryramp.caller.sessions.cut",
		metric.WithDescription("Sessions broken off at the end of a shutdown's drain."))
	i.duration, _ = m.Float64Histogram("savoryramp.caller.request.duration", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10),
		metric.WithDescription("Time from a request's arrival to the end of its answer."))
	return i
}

func (i *instruments) answered(w platform.WorkspaceName, k kind, role upstream.Role, took time.Duration) {
	set := metric.WithAttributes(
		attribute.String("workspace", string(w)), attribute.String("kind", string(k)), attribute.String("role", string(role)))
	i.requests.Add(context.Background(), 1, set)
	i.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("workspace", string(w))))
}

func (i *instruments) refusal(w platform.WorkspaceName, code string) {
	i.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", string(w)), attribute.String("sqlstate", code)))
}
