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
	// heartbeatEvery is how often a quiet server is asked for its position.
	heartbeatEvery = 250 * time.Millisecond
	// silentAfter is how long a server may say nothing before it counts as silent.
	silentAfter = time.Second
	// reconnectAfter is the pause before a lost watch connects again.
	reconnectAfter = 100 * time.Millisecond
	statusQuery    = "SELECT savoryramp_status()"
	// codeTerm is the SQLSTATE of a server that has accepted a higher term.
	codeTerm    = "55000"
	listenQuery = "LISTEN savoryramp_position"
)

// watch holds one connection to a server, over which positions are pushed and
// control statements run.
type watch struct {
	server platform.Server
	login  Login
	dial   Dial
	logger log.Logger
	// report is called with every status, and with usable false when it is lost.
	report func(platform.ServerName, Status, bool)

	mu   sync.Mutex
	conn *Conn
	// asked are the statements sent and not yet answered, oldest first.
	asked []chan answer
	up    bool
}

// answer is what a control statement gave.
type answer struct {
	text string
	err  error
}

// run keeps the connection up until ctx ends.
func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.hold(ctx)
		w.lost(ctx, err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectAfter):
		}
	}
}

// hold connects, listens, and reads until the connection is lost or silent.
func (w *watch) hold(ctx context.Context) error {
	connecting, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	c, err := open(connecting, w.dial, w.server, w.login, false)
	if err != nil {
		return err
	}
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	w.mu.Lock()
	w.conn = c
	w.mu.Unlock()
	w.send(listenQuery, nil)
	return w.read(c)
}

// read handles messages until one fails to come.
func (w *watch) read(c *Conn) error {
	heard := time.Now()
	var failure error
	var text string
	for {
		m, err := c.Receive(time.Now().Add(heartbeatEvery))
		if err != nil {
			if !isSilent(err) || time.Since(heard) > silentAfter {
				return err
			}
			w.send(statusQuery, nil)
			continue
		}
		heard = time.Now()
		switch m := m.(type) {
		case *pgproto3.NotificationResponse:
			err = w.status(m.Payload)
		case *pgproto3.DataRow:
			text = string(m.Values[0])
		case *pgproto3.ErrorResponse:
			failure = w.refusal(m)
		case *pgproto3.ReadyForQuery:
			err = w.answered(text, failure)
			text, failure = "", nil
		}
		if err != nil {
			return err
		}
	}
}

// refusal types a server's error answer.
func (w *watch) refusal(m *pgproto3.ErrorResponse) error {
	if m.Code == codeTerm {
		return ErrTerm.New("server %s: %s", w.server.Name, m.Message)
	}
	return ErrServer.New("server %s: %s: %s", w.server.Name, m.Code, m.Message)
}

// status reports a pushed or asked status.
func (w *watch) status(text string) error {
	s, err := parseStatus(text)
	if err != nil {
		return err
	}
	w.mu.Lock()
	first := !w.up
	w.up = true
	w.mu.Unlock()
	if first {
		eventWatchUp.Log(w.logger, "server", w.server.Name, "role", s.Role, "applied", s.Applied)
	}
	w.report(w.server.Name, s, true)
	return nil
}

// answered hands a finished statement's answer to whoever asked.
func (w *watch) answered(text string, failure error) error {
	w.mu.Lock()
	if len(w.asked) == 0 {
		w.mu.Unlock()
		return ErrBroken.New("server %s answered nobody's question", w.server.Name)
	}
	asker := w.asked[0]
	w.asked = w.asked[1:]
	w.mu.Unlock()
	if asker != nil {
		asker <- answer{text, failure}
	}
	if failure == nil && text != "" {
		return w.status(text)
	}
	return nil
}

// send puts a statement on the connection; asker may be nil.
func (w *watch) send(sql string, asker chan answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		if asker != nil {
			asker <- answer{err: ErrConnect.New("server %s is not connected", w.server.Name)}
		}
		return
	}
	w.asked = append(w.asked, asker)
	w.conn.Front.Send(&pgproto3.Query{String: sql})
	_ = w.conn.Front.Flush()
}

// ask runs a control statement and gives the status that it answers with.
// ErrConnect, ErrSilent, ErrServer.
func (w *watch) ask(ctx context.Context, sql string) (Status, error) {
	asker := make(chan answer, 1)
	w.send(sql, asker)
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
func (w *watch) lost(ctx context.Context, err error) {
	w.mu.Lock()
	asked, up := w.asked, w.up
	w.conn, w.asked, w.up = nil, nil, false
	w.mu.Unlock()
	for _, asker := range asked {
		if asker != nil {
			asker <- answer{err: ErrConnect.Wrap(err, "server %s", w.server.Name)}
		}
	}
	if up && ctx.Err() == nil {
		eventWatchLost.Log(w.logger, "server", w.server.Name, "err", err)
	}
	w.report(w.server.Name, Status{}, false)
}
