package caller

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushAt is how many bytes are gathered before they go to the caller.
	flushAt = 32 << 10
	// keepCapacity is the largest buffer kept between answers, in bytes.
	keepCapacity = 64 << 10
	// maxHeldBack bounds what is gathered behind a commit that isn't confirmed yet.
	maxHeldBack = 4 << 20
)

// out gathers messages for a caller. What follows a mark stays here until it is
// known to be true, and can be taken back.
type out struct {
	net   net.Conn
	bytes []byte
	// held is where the part begins that must not leave yet; -1 for none.
	held int
}

// send gathers a message.
func (o *out) send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(o.bytes)
	if err != nil {
		return ErrProtocol.Wrap(err, "message for the caller")
	}
	o.bytes = b
	return nil
}

// hold keeps what is gathered from now on.
func (o *out) hold() { o.held = len(o.bytes) }

// free lets what was held go with the next flush.
func (o *out) free() { o.held = -1 }

// takeBack forgets what was held.
func (o *out) takeBack() {
	if o.held >= 0 {
		o.bytes = o.bytes[:o.held]
	}
	o.held = -1
}

// flush sends all that isn't held.
func (o *out) flush() error {
	n := len(o.bytes)
	if o.held >= 0 {
		n = o.held
	}
	if n == 0 {
		return nil
	}
	if _, err := o.net.Write(o.bytes[:n]); err != nil {
		return errCaller.Wrap(err, "caller's connection")
	}
	o.bytes = append(o.bytes[:0], o.bytes[n:]...)
	if o.held > 0 {
		o.held = 0
	}
	return nil
}

// end flushes the last piece of an answer. Between the pieces the buffer is kept
// whatever its size, since the next one is likely as large.
func (o *out) end() error {
	if err := o.flush(); err != nil {
		return err
	}
	if len(o.bytes) == 0 && cap(o.bytes) > keepCapacity {
		o.bytes = nil
	}
	return nil
}
