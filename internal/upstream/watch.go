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
	// heartbeatEvery is how often a quiet server is asked for a sign of life.
	probeInterval = 250 * time.Millisecond
	// statusEvery is how often a quiet server is asked for its whole status.
	statusInterval = 5 * time.Second
	// silentAfter is how long a server may say nothing before it counts as silent.
	silenceTimeout = time.Second
	// reconnectAfter is the pause before a lost watch connects again.
	reconnectDelay = 100 * time.Millisecond
	statusQuery    = "SELECT savoryramp_status()"
	// probeQuery is empty: the answer is the server's position and nothing else.
	probeQuery = ""
	// codeTerm is the SQLSTATE of a server that has accepted a higher term.
	sqlstateStaleTerm = "55000"
	listenQuery       = "LISTEN savoryramp_position"
)

// watch holds one connection to a server, over which positions are pushed and
// control statements run.
type serverWatch struct {
	server platform.Server
	login  Login
	dial   Dial
	logger log.Logger
	// report is called with every status, and with usable false when it is lost.
	onStatus func(platform.ServerName, Status, bool)

	mu   sync.Mutex
	conn *Conn
	// asked are the statements sent and not yet answered, oldest first.
	pending   []pendingQuery
	hasStatus bool
	// last is the newest status that the server told on conn, at toldAt; zero before.
	lastStatus   Status
	lastStatusAt time.Time
}

// question is a statement sent and not yet answered.
type pendingQuery struct {
	// asker is given the answer; nil if nobody waits for it.
	result chan queryResult
	// probe asks for a sign of life only.
	probe bool
}

// answer is what a control statement gave.
type queryResult struct {
	text string
	err  error
}

// run keeps the connection up until ctx ends.
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

// hold connects, listens, and reads until the connection is lost or silent.
func (w *serverWatch) runConnection(ctx context.Context) error {
	connecting, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	c, err := openConn(connecting, w.dial, w.server, w.login, false)
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

// read handles messages until one fails to come.
func (w *serverWatch) readMessages(c *Conn) error {
	heard := time.Now()
	var failure error
	var text string
	for {
		m, err := c.Receive(time.Now().Add(probeInterval))
		if err != nil {
			if !isSilent(err) || time.Since(heard) > silenceTimeout {
				return err
			}
			w.sendProbe()
			continue
		}
		heard = time.Now()
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

// heartbeat asks a quiet server for a sign of life, and now and then for its status.
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

// refusal types a server's error answer.
func (w *serverWatch) queryError(m *pgproto3.ErrorResponse) error {
	if m.Code == sqlstateStaleTerm {
		return ErrStaleTerm.New("server %s: %s", w.server.Name, m.Message)
	}
	return ErrServer.New("server %s: %s: %s", w.server.Name, m.Code, m.Message)
}

// status reports a pushed or asked status.
func (w *serverWatch) handleStatus(text string) error {
	s, err := parseStatus(text)
	if err != nil {
		return err
	}
	w.mu.Lock()
	first := !w.hasStatus
	w.hasStatus, w.lastStatus, w.lastStatusAt = true, s, time.Now()
	w.mu.Unlock()
	if first {
		eventWatchUp.Log(w.logger, "server", w.server.Name, "role", s.Role, "applied", s.Applied)
	}
	w.onStatus(w.server.Name, s, true)
	return nil
}

// answered hands a finished statement's answer to whoever asked.
func (w *serverWatch) handleCompletion(c *Conn, text string, failure error) error {
	w.mu.Lock()
	if len(w.pending) == 0 {
		w.mu.Unlock()
		return ErrBroken.New("server %s answered nobody's question", w.server.Name)
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

// alive takes a sign of life: at the position that the server told last it stands as it
// told; at another it has moved without telling and is asked.
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

// send puts a statement on the connection; asker may be nil.
func (w *serverWatch) sendQuery(sql string, asker chan queryResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		if asker != nil {
			asker <- queryResult{err: ErrConnect.New("server %s is not connected", w.server.Name)}
		}
		return
	}
	w.pending = append(w.pending, pendingQuery{result: asker, probe: sql == probeQuery})
	w.conn.Frontend.Send(&pgproto3.Query{String: sql})
	_ = w.conn.Frontend.Flush()
}

// ask runs a control statement and gives the status that it answers with.
// ErrConnect, ErrSilent, ErrServer.
func (w *serverWatch) query(ctx context.Context, sql string) (Status, error) {
	asker := make(chan queryResult, 1)
	w.sendQuery(sql, asker)
	select {
	case a := <-asker:
		if a.err != nil {
			return Status{}, a.err
		}
		return parseStatus(a.text)
	case <-ctx.Done():
		return Status{}, ErrSilent.Wrap(ctx.Err(), "server %s", w.server.Name)
	}
}

// lost fails everything asked and reports the server as unusable.
func (w *serverWatch) handleDisconnect(ctx context.Context, err error) {
	w.mu.Lock()
	asked, up := w.pending, w.hasStatus
	w.conn, w.pending, w.hasStatus = nil, nil, false
	w.lastStatus, w.lastStatusAt = Status{}, time.Time{}
	w.mu.Unlock()
	for _, q := range asked {
		if q.result != nil {
			q.result <- queryResult{err: ErrConnect.Wrap(err, "server %s", w.server.Name)}
		}
	}
	if up && ctx.Err() == nil {
		eventWatchLost.Log(w.logger, "server", w.server.Name, "err", err)
	}
	w.onStatus(w.server.Name, Status{}, false)
}
