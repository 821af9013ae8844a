package caller

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// instruments are the metrics of callers' sessions and requests.
type instruments struct {
	sessions    metric.Int64UpDownCounter
	requests    metric.Int64Counter
	refused     metric.Int64Counter
	sessionsCut metric.Int64Counter
	panics      metric.Int64Counter
	duration    metric.Float64Histogram

	mu sync.RWMutex
	// optionsByKey caches the options of each combination of workspace, kind and role:
	// building attribute sets costs more than counting.
	optionsByKey map[metricKey]*metricOptions
}

type metricKey struct {
	workspace platform.WorkspaceName
	kind      statementKind
	role      upstream.Role
}

// metricOptions are slices that are passed on unchanged, so that recording allocates
// nothing.
type metricOptions struct {
	request  []metric.AddOption
	duration []metric.RecordOption
}

func newInstruments(m metric.Meter) *instruments {
	if m == nil {
		m = noop.Meter{}
	}
	i := &instruments{optionsByKey: map[metricKey]*metricOptions{}}
	i.sessions, _ = m.Int64UpDownCounter("savoryramp.caller.sessions",
		metric.WithDescription("Callers' sessions that are logged in."))
	i.requests, _ = m.Int64Counter("savoryramp.caller.requests",
		metric.WithDescription("Requests answered, by workspace, kind and role of the server."))
	i.refused, _ = m.Int64Counter("savoryramp.caller.refused",
		metric.WithDescription("Requests refused or failed by savoryramp itself, by workspace and SQLSTATE."))
	i.sessionsCut, _ = m.Int64Counter("savoryramp.caller.sessions.cut",
		metric.WithDescription("Sessions broken off at the end of a shutdown's drain."))
	i.panics, _ = m.Int64Counter("savoryramp.caller.session.panics",
		metric.WithDescription("Sessions that ended by a fault of this program."))
	i.duration, _ = m.Float64Histogram("savoryramp.caller.request.duration", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10),
		metric.WithDescription("Time from a request's arrival to the end of its answer."))
	return i
}

func (i *instruments) recordAnswer(w platform.WorkspaceName, k statementKind, role upstream.Role, duration time.Duration) {
	options := i.optionsFor(metricKey{w, k, role})
	i.requests.Add(context.Background(), 1, options.request...)
	i.duration.Record(context.Background(), duration.Seconds(), options.duration...)
}

func (i *instruments) optionsFor(key metricKey) *metricOptions {
	i.mu.RLock()
	options := i.optionsByKey[key]
	i.mu.RUnlock()
	if options != nil {
		return options
	}
	workspace := attribute.String("workspace", string(key.workspace))
	options = &metricOptions{
		request: []metric.AddOption{metric.WithAttributes(
			workspace, attribute.String("kind", string(key.kind)), attribute.String("role", string(key.role)))},
		duration: []metric.RecordOption{metric.WithAttributes(workspace)},
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.optionsByKey[key] = options
	return options
}

func (i *instruments) recordRefusal(w platform.WorkspaceName, code string) {
	i.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", string(w)), attribute.String("sqlstate", code)))
}
