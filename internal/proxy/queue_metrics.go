package proxy

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/pkg/schedule"
)

// registerQueueLength registers the gauge of waiting statements.
func (v *VM) registerQueueLength(m metric.Meter) error {
	_, err := m.Int64ObservableGauge("savoryramp.vm.queue.length", metric.WithDescription("Statements that wait for their turn at a server, by class and server."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, g := range v.Groups() {
				for _, m := range g.sortedMembers() {
					if m.pool.Queue != nil {
						m.pool.Queue.observeLength(o)
					}
				}
			}
			return nil
		}))
	if err != nil {
		return ErrMalformed.Wrap(err, "instrument")
	}
	return nil
}

func (q *serverQueue) observeLength(o metric.Int64Observer) {
	q.mu.Lock()
	classes := q.queue.Classes(q.now())
	q.mu.Unlock()
	for _, c := range classes {
		o.Observe(int64(c.Waiting), q.attributes(c.Class))
	}
}

// attributes returns the attributes of a class at the server. They are kept, since each statement
// that waits needs them.
func (q *serverQueue) attributes(c schedule.Class) metric.MeasurementOption {
	q.metricsMu.Lock()
	defer q.metricsMu.Unlock()
	option := q.options[c]
	if option == nil {
		if q.options == nil {
			q.options = map[schedule.Class]metric.MeasurementOption{}
		}
		option = classAttributes(c, q.server)
		q.options[c] = option
	}
	return option
}

func classAttributes(c schedule.Class, server ServerID) metric.MeasurementOption {
	set := attribute.NewSet(attribute.Int("priority", c.Route), attribute.Int("workspace-priority", c.Workspace), attribute.String("server", string(server)))
	return metric.WithAttributeSet(set)
}

// recordWait records how long a statement that begins has waited for its turn, if it has, and the
// difference from what was forecast.
func (q *serverQueue) recordWait(i *schedule.Item) {
	actual, forecast := i.Wait()
	metrics := &q.vm.metrics
	if metrics.waits == nil || actual == 0 {
		return
	}
	class := q.attributes(i.Class)
	metrics.waits.Record(context.Background(), actual.Seconds(), class)
	metrics.forecastErrors.Record(context.Background(), (actual - forecast).Seconds(), class)
}

// recordRefusal counts a refusal by the queue.
func (q *serverQueue) recordRefusal(c schedule.Class) {
	if refusals := q.vm.metrics.refusals; refusals != nil {
		refusals.Add(context.Background(), 1, q.attributes(c))
	}
}

// recordRefusal counts a refusal that no single server's queue decided.
func (i instruments) recordRefusal(u Urgency) {
	if i.refusals != nil {
		i.refusals.Add(context.Background(), 1, classAttributes(u.class(), ""))
	}
}
