package upstream

import (
	"context"
	"sync"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// answerOutcome is what became of an answer that isn't that of the outstanding request.
type answerOutcome string

const (
	outcomeSkipped answerOutcome = "skipped"
	outcomeClosed  answerOutcome = "connection-closed"
)

// answerMonitor reports the answers of a group's servers that aren't those of the
// outstanding requests, and the servers whose answers can't be verified. A nil monitor
// reports nothing.
type answerMonitor struct {
	logger  log.Logger
	answers metric.Int64Counter

	mu sync.Mutex
	// unnumbered holds the servers that were reported for not numbering their answers.
	unnumbered map[platform.ServerName]bool
}

func newAnswerMonitor(l log.Logger, m metric.Meter) *answerMonitor {
	if m == nil {
		m = noop.Meter{}
	}
	am := &answerMonitor{logger: l, unnumbered: map[platform.ServerName]bool{}}
	am.answers, _ = m.Int64Counter("savoryramp.upstream.answers.unexpected",
		metric.WithDescription("Answers of a server that aren't those of the outstanding request, by outcome skipped or connection-closed."))
	return am
}

// reportSkipped reports a repeated answer.
func (am *answerMonitor) reportSkipped(c *Conn, number int64) {
	if am == nil {
		return
	}
	eventAnswerRepeated.Log(am.logger, "server", c.Server, "connection", c.backendPID, "received", number, "expected", c.answered+1)
	am.count(c.Server, outcomeSkipped)
}

// reportRejected reports an answer after which the connection is closed.
func (am *answerMonitor) reportRejected(c *Conn, received string) {
	if am == nil {
		return
	}
	eventAnswerRejected.Log(am.logger, "server", c.Server, "connection", c.backendPID, "received", received, "expected", c.answered+1)
	am.count(c.Server, outcomeClosed)
}

func (am *answerMonitor) count(server platform.ServerName, o answerOutcome) {
	am.answers.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("server", string(server)), attribute.String("outcome", string(o))))
}

// reportUnnumbered reports once that a server doesn't number its answers.
func (am *answerMonitor) reportUnnumbered(server platform.ServerName) {
	if am == nil {
		return
	}
	am.mu.Lock()
	isKnown := am.unnumbered[server]
	am.unnumbered[server] = true
	am.mu.Unlock()
	if !isKnown {
		eventAnswersUnnumbered.Log(am.logger, "server", server)
	}
}
