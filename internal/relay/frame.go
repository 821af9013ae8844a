package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/proxy"
)

const (
	// maxBatch is the largest encoded batch, in bytes: a long statement with all that a session may keep.
	maxBatch = 16 << 20
	// maxReply is the largest encoded reply, in bytes.
	maxReply = 64 << 20
	// batchCopies is how many copies of a long batch are held while it runs: what was read, the decoded
	// commands, and their text for the server.
	batchCopies = 3
	// replyCopies is how many copies of a long reply are held while it is decoded.
	replyCopies = 2
	// roomTimeout bounds waiting for room for a long batch. The sender waits little longer.
	roomTimeout = 500 * time.Millisecond
	// maxPrefix is the greatest length of the prefix with a message's length, in bytes.
	maxPrefix = 9
)

// frameReader reads gob's messages from a link. It checks the length that precedes each message before
// the decoder reads it, since the decoder allocates that much at once.
type frameReader struct {
	in *bufio.Reader
	// maxLength is the greatest length of a message.
	maxLength uint64
	// account is charged with long messages. It may be nil.
	account *budget.Account
	// isReply is true on a link to another VM. forces is true if a reply is read without room, too, since its batch
	// may have changed something.
	isReply, forces bool
	// left is the number of bytes of the current message that haven't been read.
	left int
}

// Read reads from the current message, or begins the next one. It returns ErrMalformed if that is too
// long, and ErrBusy, after skipping the message, if there is no memory for it.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.left == 0 {
		if err := f.begin(); err != nil {
			return 0, err
		}
	}
	n, err := f.in.Read(p[:min(len(p), f.left)])
	f.left -= n
	f.account.Progress(budget.Receiving)
	return n, err
}

// ReadByte is there so that the decoder doesn't read ahead through a buffer of its own.
func (f *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

// begin waits for the next message and checks its length.
func (f *frameReader) begin() error {
	prefix, length, err := f.peekLength()
	if err != nil {
		return err
	}
	if length > f.maxLength {
		return proxy.ErrMalformed.New("a message of %d bytes is longer than %d", length, f.maxLength)
	}
	f.account.Progress(budget.Receiving)
	if !f.reserve(budget.Bytes(length)) {
		if _, err := f.in.Discard(prefix + int(length)); err != nil {
			return err
		}
		return proxy.ErrBusy.New("no memory for a message of %d bytes", length)
	}
	f.left = prefix + int(length)
	return nil
}

// reserve charges a long message before it is read, and reports whether it may be.
func (f *frameReader) reserve(length budget.Bytes) bool {
	if length <= budget.FreeBytes {
		return true
	}
	if !f.isReply {
		return f.account.Reserve(batchCopies*length, time.Now().Add(roomTimeout))
	}
	isReserved := f.account.Reserve(replyCopies*length, time.Now().Add(roomTimeout))
	if !isReserved && f.forces {
		f.account.Force(replyCopies * length)
	}
	return isReserved || f.forces
}

// peekLength returns the length of the next message and that of the prefix which tells it. A prefix is
// one byte below 128, or the negated number of the bytes that follow it, most significant first.
func (f *frameReader) peekLength() (prefix int, length uint64, err error) {
	first, err := f.in.Peek(1)
	if err != nil {
		return 0, 0, err
	}
	if first[0] < 0x80 {
		return 1, uint64(first[0]), nil
	}
	prefix = 1 - int(int8(first[0]))
	if prefix > maxPrefix {
		return 0, 0, proxy.ErrMalformed.New("a prefix of %d bytes is longer than %d", prefix, maxPrefix)
	}
	bytes, err := f.in.Peek(prefix)
	if err != nil {
		return 0, 0, err
	}
	var number [8]byte
	copy(number[8-len(bytes[1:]):], bytes[1:])
	return prefix, binary.BigEndian.Uint64(number[:]), nil
}
