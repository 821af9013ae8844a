package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// send puts the request on the connection, between the ends of a read-only
// transaction if it is guarded.
func (x *exchange) send() {
	if x.guarded {
		x.conn.Front.Send(&pgproto3.Query{String: "BEGIN READ ONLY"})
	}
	x.steps = x.request.sends(x.conn)
	if x.guarded {
		x.conn.Front.Send(&pgproto3.Query{String: "COMMIT"})
	}
}

// guard reads the answer to the beginning or end of savoryramp's own transaction.
func (x *exchange) guard() error {
	for x.guarded {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.Deadline))
		if err != nil {
			return err
		}
		if ready, found := m.(*pgproto3.ReadyForQuery); found {
			x.status = ready.TxStatus
			break
		}
	}
	return nil
}
