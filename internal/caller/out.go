package caller

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushThreshold is the buffer size at which a partial answer is sent to the
	// caller.
	flushThreshold = 32 << 10
	// maxRetainedCapacity is the largest buffer capacity that is kept between answers.
	maxRetainedCapacity = 64 << 10
	// maxUnconfirmedBytes limits the output that is held back behind an unconfirmed
	// commit.
	maxUnconfirmedBytes = 4 << 20
)

// outputBuffer collects messages for a caller. Output after hold isn't flushed until
// release, and discardHeld drops it.
type outputBuffer struct {
	conn   net.Conn
	buffer []byte
	// heldFrom is the offset of the held-back output; -1 if there is none.
	heldFrom int
}

// send appends a message to the buffer.
func (o *outputBuffer) send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(o.buffer)
	if err != nil {
		return ErrProtocol.Wrap(err, "encode message")
	}
	o.buffer = b
	return nil
}

// hold holds back all output from here on.
func (o *outputBuffer) hold() { o.heldFrom = len(o.buffer) }

// release allows the held-back output to be flushed.
func (o *outputBuffer) release() { o.heldFrom = -1 }

// discardHeld drops the held-back output.
func (o *outputBuffer) discardHeld() {
	if o.heldFrom >= 0 {
		o.buffer = o.buffer[:o.heldFrom]
	}
	o.heldFrom = -1
}

// flush writes all output that isn't held back.
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

// flushAnswer flushes the last part of an answer and drops an oversized buffer. In the
// middle of an answer the buffer is kept, since the next part is likely as large.
func (o *outputBuffer) flushAnswer() error {
	if err := o.flush(); err != nil {
		return err
	}
	if len(o.buffer) == 0 && cap(o.buffer) > maxRetainedCapacity {
		o.buffer = nil
	}
	return nil
}
