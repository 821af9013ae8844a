package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// needsReadOnlyWrapper reports whether the proxy must wrap the request in a read-only
// transaction. A COMMIT or ROLLBACK outside of a transaction needs no wrapper.
func (x *attempt) needsReadOnlyWrapper() bool {
	if x.request.kind != kindRead || !x.request.executes || x.request.mayEndEarlierTransaction || x.inTransaction || x.request.endsWithFlush {
		return false
	}
	return x.conn.Role == upstream.Primary || !x.conn.DefaultsToReadOnly()
}

// send sends the request, within BEGIN READ ONLY and COMMIT if it is wrapped.
func (x *attempt) send() {
	if x.wrappedReadOnly {
		x.conn.Send(&pgproto3.Query{String: "BEGIN READ ONLY"})
	}
	x.steps = x.request.send(x.conn)
	if x.wrappedReadOnly {
		x.conn.Send(&pgproto3.Query{String: "COMMIT"})
	}
	x.sendsStatusQuery = x.wrappedReadOnly && x.conn.Role == upstream.Primary && x.group.AcknowledgeRule() != platform.TermLeased
	if x.sendsStatusQuery {
		x.group.SendStatusQuery(x.conn)
	}
}

// awaitBegin reads the reply to the wrapper's BEGIN.
func (x *attempt) awaitBegin() error {
	if !x.wrappedReadOnly {
		return nil
	}
	if err := x.awaitReady(); err != nil {
		return err
	}
	if x.txStatus != 'T' {
		x.wrappedReadOnly = false
		return upstream.ErrBroken.New("server %s didn't begin a transaction", x.conn.Server)
	}
	return nil
}

// awaitEnd reads the replies to the wrapper's COMMIT and to the status query.
func (x *attempt) awaitEnd() error {
	if !x.wrappedReadOnly {
		return nil
	}
	if err := x.awaitReady(); err != nil || !x.sendsStatusQuery {
		return err
	}
	return x.awaitReady()
}

func (x *attempt) awaitReady() error {
	for {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.ResponseTimeout))
		if err != nil {
			return err
		}
		if ready, found := m.(*pgproto3.ReadyForQuery); found {
			x.txStatus = ready.TxStatus
			return nil
		}
	}
}
