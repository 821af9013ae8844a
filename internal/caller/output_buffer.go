package caller

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushAt is how many bytes are gathered before they go to the caller.
	flushThreshold = 32 << 10
	// keepCapacity is the largest buffer kept between answers, in bytes.
	maxRetainedCapacity = 64 << 10
	// maxHeldBack bounds what is gathered behind a commit that isn't confirmed yet.
	maxUnconfirmedBytes = 4 << 20
)

// out gathers messages for a caller. What follows a mark stays here until it is
// known to be true, and can be taken back.
type outputBuffer struct {
	conn   net.Conn
	buffer []byte
	// held is where the part begins that must not leave yet; -1 for none.
	heldFrom int
}

// send gathers a message.
func (o *outputBuffer) send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(o.buffer)
	if err != nil {
		return ErrProtocol.Wrap(err, "message for the caller")
	}
	o.buffer = b
	return nil
}

// hold keeps what is gathered from now on.
func (o *outputBuffer) hold() { o.heldFrom = len(o.buffer) }

// free lets what was held go with the next flush.
func (o *outputBuffer) release() { o.heldFrom = -1 }

// takeBack forgets what was held.
func (o *outputBuffer) discardHeld() {
	if o.heldFrom >= 0 {
		o.buffer = o.buffer[:o.heldFrom]
	}
	o.heldFrom = -1
}

// flush sends all that isn't held.
func (o *outputBuffer) flush() error {
	n := len(o.buffer)
	if o.heldFrom >= 0 {
		n = o.heldFrom
	}
	if n == 0 {
		return nil
	}
	if _, err := o.conn.Write(o.buffer[:n]); err != nil {
		return errCallerGone.Wrap(err, "caller's connection")
	}
	o.buffer = append(o.buffer[:0], o.buffer[n:]...)
	if o.heldFrom > 0 {
		o.heldFrom = 0
	}
	return nil
}

// end flushes the last piece of an answer. Between the pieces the buffer is kept
// whatever its size, since the next one is likely as large.
func (o *outputBuffer) flushAnswer() error {
	if err := o.flush(); err != nil {
		return err
	}
	if len(o.buffer) == 0 && cap(o.buffer) > maxRetainedCapacity {
		o.buffer = nil
	}
	return nil
}
