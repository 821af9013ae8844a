package upstream

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// responseTime is how long a server took to answer one autocommit statement: from
// sending it to the first row, or to the end of an answer without rows.
type responseTime struct {
	workspace platform.WorkspaceName
	at        time.Time
	duration  time.Duration
}

// responseTimer measures the first response on a connection that was just acquired.
// Transactions of several round trips are not measured: they hold locks, and their
// callers may idle between statements.
type responseTimer struct {
	// sentAt is when the request was sent; zero before.
	sentAt time.Time
	// duration is 0 until the first row.
	duration time.Duration
}

// startTiming starts measuring response times and counting idle phases if the limit is
// adaptive, and stops both otherwise.
func (c *Conn) startTiming(l ConcurrencyLimit) {
	c.timed, c.timer = false, nil
	if _, adaptive := l.(AdaptiveLimit); adaptive {
		c.timed, c.timer = true, &responseTimer{}
	}
}

// recordRequest starts the timer, and discards it at a second request.
func (c *Conn) recordRequest() {
	c.endIdlePhase()
	switch {
	case c.timer == nil:
	case c.timer.sentAt.IsZero():
		c.timer.sentAt = time.Now()
	default:
		c.timer = nil
	}
}

// recordMessage updates the timer and begins idle phases from a received message.
func (c *Conn) recordMessage(m pgproto3.BackendMessage) {
	if !c.timed {
		return
	}
	switch m := m.(type) {
	case *pgproto3.DataRow:
		c.recordFirstRow()
	case *pgproto3.ErrorResponse:
		// A failed statement is no measure of the server's speed.
		c.timer = nil
	case *pgproto3.ReadyForQuery:
		if m.TxStatus != 'I' {
			c.beginIdlePhase(idleTransactionDelay)
			return
		}
		c.recordCompletion()
		c.beginIdlePhase(0)
	}
}

func (c *Conn) recordFirstRow() {
	if timer := c.timer; timer != nil && timer.duration == 0 {
		timer.duration = time.Since(timer.sentAt)
	}
}

// recordCompletion stops the timer and passes the measured time to the pool. Dirty
// connections are skipped: their first statement is often a SET or another change of
// session state, whose response time says nothing about that of other statements.
func (c *Conn) recordCompletion() {
	timer := c.timer
	c.timer = nil
	if timer == nil || c.Dirty {
		return
	}
	now := time.Now()
	if timer.duration == 0 {
		timer.duration = now.Sub(timer.sentAt)
	}
	c.pool.recordResponse(responseTime{c.workspace, now, timer.duration})
}
