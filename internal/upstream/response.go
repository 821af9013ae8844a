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
	took      time.Duration
}

// stopwatch times the first answer on a connection that was just taken. Transactions of
// several round trips give no time: they hold locks, and their callers idle in them.
type stopwatch struct {
	// sentAt is when the one request was sent; zero before.
	sentAt time.Time
	// took is 0 until the first row.
	took time.Duration
}

// observe begins to look at the connection, as far as a limit needs it.
func (c *Conn) observe(l Limit) {
	c.observed, c.stopwatch = false, nil
	if _, adaptive := l.(Adaptive); adaptive {
		c.observed, c.stopwatch = true, &stopwatch{}
	}
}

// sent starts the stopwatch, and drops it at a second request.
func (c *Conn) sent() {
	c.wake()
	switch {
	case c.stopwatch == nil:
	case c.stopwatch.sentAt.IsZero():
		c.stopwatch.sentAt = time.Now()
	default:
		c.stopwatch = nil
	}
}

// received looks at a message of an answer.
func (c *Conn) received(m pgproto3.BackendMessage) {
	if !c.observed {
		return
	}
	switch m := m.(type) {
	case *pgproto3.DataRow:
		c.firstRow()
	case *pgproto3.ErrorResponse:
		// A failure says nothing of the server's speed.
		c.stopwatch = nil
	case *pgproto3.ReadyForQuery:
		if m.TxStatus != 'I' {
			c.pause(restAfter)
			return
		}
		c.answered()
		c.pause(0)
	}
}

func (c *Conn) firstRow() {
	if w := c.stopwatch; w != nil && w.took == 0 {
		w.took = time.Since(w.sentAt)
	}
}

// answered stops the stopwatch. A caller's own SET isn't a statement like others.
func (c *Conn) answered() {
	w := c.stopwatch
	c.stopwatch = nil
	if w == nil || c.Dirty {
		return
	}
	now := time.Now()
	if w.took == 0 {
		w.took = now.Sub(w.sentAt)
	}
	c.pool.responded(responseTime{c.workspace, now, w.took})
}
