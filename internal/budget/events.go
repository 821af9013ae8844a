package budget

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/event"
)

// logInterval is the least time between two log lines about the same reason.
const logInterval = time.Second

var eventLimited = event.Define(7101, "budget-limited", event.Warn,
	"A limit of memory or connections acted on a client; reason tells which, count how often since the last such line.")

var (
	errs = errorx.NewNamespace("budget")
	// ErrMeter means that a meter rejected an instrument.
	ErrMeter = errs.NewType("meter")
	// ErrLimit means that a limit is invalid.
	ErrLimit = errs.NewType("limit")
)

// record counts an act of a limit, and logs it unless the last such line is recent. b.mu must be held.
func (b *Budget) record(r Reason, c Class, doing Activity) {
	b.init()
	b.counts[r]++
	b.unlogged[r]++
	now := time.Now()
	if now.Sub(b.loggedAt[r]) < logInterval {
		return
	}
	eventLimited.Log(b.Logger, "reason", r, "class", c, "activity", doing, "count", b.unlogged[r], "connections", len(b.accounts[c]),
		"max-connections", b.Limits.Connections[c], "held", b.held, "max-held", b.Limits.Total, "kept", b.kept, "waiting", len(b.waiters))
	b.loggedAt[r], b.unlogged[r] = now, 0
}

// State is a snapshot of a budget, for diagnosis.
type State struct {
	Held        Bytes            `json:"held"`
	MaxHeld     Bytes            `json:"max-held"`
	Kept        Bytes            `json:"kept"`
	Waiting     int              `json:"waiting"`
	Connections map[Class]int    `json:"connections"`
	Max         map[Class]int    `json:"max-connections"`
	Acts        map[Reason]int64 `json:"acts"`
}

// State returns a snapshot of the budget.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Held: b.held, MaxHeld: b.Limits.Total, Kept: b.kept, Waiting: len(b.waiters), Connections: map[Class]int{}, Max: b.Limits.Connections, Acts: map[Reason]int64{}}
	for c := range b.Limits.Connections {
		s.Connections[c] = len(b.accounts[c])
	}
	for _, r := range reasons {
		s.Acts[r] = b.counts[r]
	}
	return s
}

// RegisterMetrics registers the budget's instruments. It returns ErrMeter if the meter rejects one.
func (b *Budget) RegisterMetrics(m metric.Meter) error {
	acts, err := m.Int64ObservableCounter("savoryramp.budget.acts", metric.WithDescription("Clients refused or closed by a limit of memory or connections, by reason."))
	if err != nil {
		return ErrMeter.Wrap(err, "acts")
	}
	held, err := m.Int64ObservableGauge("savoryramp.budget.held", metric.WithUnit("By"), metric.WithDescription("Memory charged to sessions."))
	if err != nil {
		return ErrMeter.Wrap(err, "held")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := b.State()
		for r, n := range s.Acts {
			o.ObserveInt64(acts, n, metric.WithAttributes(attribute.String("reason", string(r))))
		}
		o.ObserveInt64(held, int64(s.Held))
		return nil
	}, acts, held)
	if err != nil {
		return ErrMeter.Wrap(err, "callback")
	}
	return nil
}
