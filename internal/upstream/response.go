package upstream

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// responseTime is how long a server took to answer one autocommit statement: from its
// sending to the first row, or to the end of an answer without rows.
type responseTime struct {
	workspace platform.WorkspaceName
	at        time.Time
	duration  time.Duration
}

// stopwatch times the first answer on a connection that was just taken. Transactions of
// several round trips give no time: they hold locks, and their callers idle in them.
type responseTimer struct {
	// sentAt is when the one request was sent; zero before.
	sentAt time.Time
	// took is 0 until the first row.
	duration time.Duration
}

// observe begins to look at the connection, as far as a limit needs it.
func (c *Conn) startTiming(l ConcurrencyLimit) {
	c.timed, c.timer = false, nil
	if _, adaptive := l.(AdaptiveLimit); adaptive {
		c.timed, c.timer = true, &responseTimer{}
	}
}

// sent starts the stopwatch, and drops it at a second request.
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

// received looks at a message of an answer.
func (c *Conn) recordMessage(m pgproto3.BackendMessage) {
	if !c.timed {
		return
	}
	switch m := m.(type) {
	case *pgproto3.DataRow:
		c.recordFirstRow()
	case *pgproto3.ErrorResponse:
		// A failure says nothing of the server's speed.
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
	if w := c.timer; w != nil && w.duration == 0 {
		w.duration = time.Since(w.sentAt)
	}
}

// answered stops the stopwatch. A caller's own SET isn't a statement like others.
func (c *Conn) recordCompletion() {
	w := c.timer
	c.timer = nil
	if w == nil || c.Dirty {
		return
	}
	now := time.Now()
	if w.duration == 0 {
		w.duration = now.Sub(w.sentAt)
	}
	c.pool.recordResponse(responseTime{c.workspace, now, w.duration})
}
