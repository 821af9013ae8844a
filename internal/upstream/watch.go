package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// probeInterval is how long a server may be quiet before it is probed.
	probeInterval = 250 * time.Millisecond
	// statusInterval is how old the status of a quiet server may be before it is
	// queried again.
	statusInterval = 5 * time.Second
	// silenceTimeout is how long a server may send nothing before the connection counts
	// as lost.
	silenceTimeout = time.Second
	// reconnectDelay is the pause before a lost connection is opened again.
	reconnectDelay = 100 * time.Millisecond
	statusQuery    = "SELECT savoryramp_status()"
	// probeQuery is empty: its response contains the server's position and no rows.
	probeQuery = ""
	// sqlstateStaleTerm is the SQLSTATE of a server that has accepted a higher term.
	sqlstateStaleTerm = "55000"
	listenQuery       = "LISTEN savoryramp_position"
)

// serverWatch keeps one connection to a server. On it the server pushes its status, and
// control statements run: those that query the status or change terms.
type serverWatch struct {
	server platform.Server
	login  Login
	dial   Dial
	logger log.Logger
	// monitor may be nil.
	monitor *answerMonitor
	// onStatus is called with every status, and with usable false when the connection
	// is lost.
	onStatus func(platform.ServerName, Status, bool)

	mu   sync.Mutex
	conn *Conn
	// pending holds the statements that were sent and are not yet answered, oldest
	// first.
	pending   []pendingQuery
	hasStatus bool
	// lastStatus is the newest status received on conn, at lastStatusAt; zero before
	// the first.
	lastStatus   Status
	lastStatusAt time.Time
}

// pendingQuery is a statement that was sent and is not yet answered.
type pendingQuery struct {
	// result receives the answer; nil if nobody waits for it.
	result chan queryResult
	// probe is true if the statement is a probeQuery.
	probe bool
}

// queryResult is the result of a control statement.
type queryResult struct {
	text string
	err  error
}

// run keeps the connection open until ctx ends.
func (w *serverWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.runConnection(ctx)
		w.handleDisconnect(ctx, err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// runConnection connects, runs LISTEN, and reads until the connection is lost or
// silent.
func (w *serverWatch) runConnection(ctx context.Context) error {
	connectCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	c, err := openConn(connectCtx, w.dial, w.server, w.login, false, w.monitor)
	if err != nil {
		return err
	}
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	w.mu.Lock()
	w.conn = c
	w.mu.Unlock()
	w.sendQuery(listenQuery, nil)
	return w.readMessages(c)
}

// readMessages handles messages until reading fails or the server is silent for too
// long.
func (w *serverWatch) readMessages(c *Conn) error {
	lastReceived := time.Now()
	var failure error
	var text string
	for {
		m, err := c.Receive(time.Now().Add(probeInterval))
		if err != nil {
			if !isSilent(err) || time.Since(lastReceived) > silenceTimeout {
				return err
			}
			w.sendProbe()
			continue
		}
		lastReceived = time.Now()
		switch m := m.(type) {
		case *pgproto3.NotificationResponse:
			err = w.handleStatus(m.Payload)
		case *pgproto3.DataRow:
			text = firstValue(m)
		case *pgproto3.ErrorResponse:
			failure = w.queryError(m)
		case *pgproto3.ReadyForQuery:
			err = w.handleCompletion(c, text, failure)
			text, failure = "", nil
		}
		if err != nil {
			return err
		}
	}
}

// sendProbe sends a probe to a quiet server, or a status query if its status is old.
func (w *serverWatch) sendProbe() {
	w.mu.Lock()
	due := time.Since(w.lastStatusAt) >= statusInterval
	w.mu.Unlock()
	if due {
		w.sendQuery(statusQuery, nil)
		return
	}
	w.sendQuery(probeQuery, nil)
}

// queryError converts a server's error response to a typed error.
func (w *serverWatch) queryError(m *pgproto3.ErrorResponse) error {
	if m.Code == sqlstateStaleTerm {
		return ErrStaleTerm.New("server %s: %s", w.server.Name, m.Message)
	}
	return ErrServer.New("server %s: %s: %s", w.server.Name, m.Code, m.Message)
}

// handleStatus passes on a status that was pushed or queried.
func (w *serverWatch) handleStatus(text string) error {
	s, err := parseStatus(text)
	if err != nil {
		return err
	}
	w.mu.Lock()
	isFirst := !w.hasStatus
	w.hasStatus, w.lastStatus, w.lastStatusAt = true, s, time.Now()
	w.mu.Unlock()
	if isFirst {
		eventWatchUp.Log(w.logger, "server", w.server.Name, "role", s.Role, "applied", s.Applied)
	}
	w.onStatus(w.server.Name, s, true)
	return nil
}

// handleCompletion ends the oldest pending statement: it passes the result to the
// sender and handles the status or the answer to a probe.
func (w *serverWatch) handleCompletion(c *Conn, text string, failure error) error {
	w.mu.Lock()
	if len(w.pending) == 0 {
		w.mu.Unlock()
		return ErrBroken.New("server %s sent an answer but no statement was pending", w.server.Name)
	}
	q := w.pending[0]
	w.pending = w.pending[1:]
	w.mu.Unlock()
	if q.result != nil {
		q.result <- queryResult{text, failure}
	}
	switch {
	case failure != nil:
	case q.probe:
		w.handleProbeAnswer(c)
	case text != "":
		return w.handleStatus(text)
	}
	return nil
}

// handleProbeAnswer reports the last status again if the server's position is still the
// one applied in it; otherwise the position has changed without a push, and the status
// is queried.
func (w *serverWatch) handleProbeAnswer(c *Conn) {
	w.mu.Lock()
	last := w.lastStatus
	w.mu.Unlock()
	if c.Position != last.Applied {
		w.sendQuery(statusQuery, nil)
		return
	}
	w.onStatus(w.server.Name, last, true)
}

// sendQuery sends a statement on the connection; result may be nil.
func (w *serverWatch) sendQuery(sql string, result chan queryResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		if result != nil {
			result <- queryResult{err: ErrConnect.New("server %s is not connected", w.server.Name)}
		}
		return
	}
	w.pending = append(w.pending, pendingQuery{result: result, probe: sql == probeQuery})
	w.conn.Send(&pgproto3.Query{String: sql})
	_ = w.conn.frontend.Flush()
}

// query runs a control statement and returns the status that the server answers with.
// It returns ErrConnect, ErrSilent, ErrServer, ErrStaleTerm or ErrBroken.
func (w *serverWatch) query(ctx context.Context, sql string) (Status, error) {
	result := make(chan queryResult, 1)
	w.sendQuery(sql, result)
	select {
	case answer := <-result:
		if answer.err != nil {
			return Status{}, answer.err
		}
		return parseStatus(answer.text)
	case <-ctx.Done():
		return Status{}, ErrSilent.Wrap(ctx.Err(), "server %s", w.server.Name)
	}
}

// handleDisconnect fails all pending statements and reports the server as unusable.
func (w *serverWatch) handleDisconnect(ctx context.Context, err error) {
	w.mu.Lock()
	pending, hadStatus := w.pending, w.hasStatus
	w.conn, w.pending, w.hasStatus = nil, nil, false
	w.lastStatus, w.lastStatusAt = Status{}, time.Time{}
	w.mu.Unlock()
	for _, q := range pending {
		if q.result != nil {
			q.result <- queryResult{err: ErrConnect.Wrap(err, "server %s", w.server.Name)}
		}
	}
	if hadStatus && ctx.Err() == nil {
		eventWatchLost.Log(w.logger, "server", w.server.Name, "err", err)
	}
	w.onStatus(w.server.Name, Status{}, false)
}
