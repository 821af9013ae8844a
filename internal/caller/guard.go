package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// guards tells whether the attempt needs a read-only transaction of savoryramp's own;
// the mere end of a transaction that isn't there does not.
func (x *exchange) guards() bool {
	if x.request.kind != kindRead || !x.request.runs || x.request.mayCommit || x.inTransaction || x.request.unsynced {
		return false
	}
	return x.conn.Role == upstream.Primary || !x.conn.DefaultsToReadOnly()
}

// send puts the request on the connection, between the ends of a read-only
// transaction if it is guarded.
func (x *exchange) send() {
	if x.guarded {
		x.conn.Frontend.Send(&pgproto3.Query{String: "BEGIN READ ONLY"})
	}
	x.steps = x.request.sends(x.conn)
	if x.guarded {
		x.conn.Frontend.Send(&pgproto3.Query{String: "COMMIT"})
	}
	x.asksSeen = x.guarded && x.conn.Role == upstream.Primary && x.group.AcknowledgeRule() != platform.TermLeased
	if x.asksSeen {
		x.group.SendStatusQuery(x.conn)
	}
}

// begun reads the answer to the beginning of savoryramp's own transaction.
func (x *exchange) begun() error {
	if !x.guarded {
		return nil
	}
	if err := x.untilReady(); err != nil {
		return err
	}
	if x.status != 'T' {
		x.guarded = false
		return upstream.ErrBroken.New("server %s began no transaction", x.conn.Server)
	}
	return nil
}

// ended reads the answer to its end, and to what was asked behind it.
func (x *exchange) ended() error {
	if !x.guarded {
		return nil
	}
	if err := x.untilReady(); err != nil || !x.asksSeen {
		return err
	}
	return x.untilReady()
}

func (x *exchange) untilReady() error {
	for {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.Deadline))
		if err != nil {
			return err
		}
		if ready, found := m.(*pgproto3.ReadyForQuery); found {
			x.status = ready.TxStatus
			return nil
		}
	}
}
