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

// instruments are the callers' metrics.
type instruments struct {
	sessions metric.Int64UpDownCounter
	requests metric.Int64Counter
	refused  metric.Int64Counter
	cut      metric.Int64Counter
	duration metric.Float64Histogram

	mu sync.RWMutex
	// labelled keeps what answers are counted under, one entry for each workspace, kind
	// and role seen: building attribute sets costs more than counting.
	labelled map[label]*labels
}

type label struct {
	workspace platform.WorkspaceName
	kind      kind
	role      upstream.Role
}

// labels are passed on as they are, so that counting allocates nothing.
type labels struct {
	request  []metric.AddOption
	duration []metric.RecordOption
}

func newInstruments(m metric.Meter) *instruments {
	if m == nil {
		m = noop.Meter{}
	}
	i := &instruments{labelled: map[label]*labels{}}
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
	l := i.labels(label{w, k, role})
	i.requests.Add(context.Background(), 1, l.request...)
	i.duration.Record(context.Background(), took.Seconds(), l.duration...)
}

func (i *instruments) labels(of label) *labels {
	i.mu.RLock()
	l := i.labelled[of]
	i.mu.RUnlock()
	if l != nil {
		return l
	}
	workspace := attribute.String("workspace", string(of.workspace))
	l = &labels{
		request: []metric.AddOption{metric.WithAttributes(
			workspace, attribute.String("kind", string(of.kind)), attribute.String("role", string(of.role)))},
		duration: []metric.RecordOption{metric.WithAttributes(workspace)},
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.labelled[of] = l
	return l
}

func (i *instruments) refusal(w platform.WorkspaceName, code string) {
	i.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", string(w)), attribute.String("sqlstate", code)))
}
