package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// guards tells whether the attempt needs a read-only transaction of savoryramp's own;
// the mere end of a transaction that isn't there does not.
func (x *exchange) needsReadOnlyWrapper() bool {
	if x.request.kind != kindRead || !x.request.executes || x.request.mayCommit || x.inTransaction || x.request.endsWithFlush {
		return false
	}
	return x.conn.Role == upstream.Primary || !x.conn.DefaultsToReadOnly()
}

// send puts the request on the connection, between the ends of a read-only
// transaction if it is guarded.
func (x *exchange) send() {
	if x.wrappedReadOnly {
		x.conn.Frontend.Send(&pgproto3.Query{String: "BEGIN READ ONLY"})
	}
	x.steps = x.request.send(x.conn)
	if x.wrappedReadOnly {
		x.conn.Frontend.Send(&pgproto3.Query{String: "COMMIT"})
	}
	x.sendsStatusQuery = x.wrappedReadOnly && x.conn.Role == upstream.Primary && x.group.AcknowledgeRule() != platform.TermLeased
	if x.sendsStatusQuery {
		x.group.SendStatusQuery(x.conn)
	}
}

// begun reads the answer to the beginning of savoryramp's own transaction.
func (x *exchange) awaitBegin() error {
	if !x.wrappedReadOnly {
		return nil
	}
	if err := x.awaitReady(); err != nil {
		return err
	}
	if x.txStatus != 'T' {
		x.wrappedReadOnly = false
		return upstream.ErrBroken.New("server %s began no transaction", x.conn.Server)
	}
	return nil
}

// ended reads the answer to its end, and to what was asked behind it.
func (x *exchange) awaitEnd() error {
	if !x.wrappedReadOnly {
		return nil
	}
	if err := x.awaitReady(); err != nil || !x.sendsStatusQuery {
		return err
	}
	return x.awaitReady()
}

func (x *exchange) awaitReady() error {
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
