// Package socket checks TCP connections without reading from or writing to them.
package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is what a connection's socket holds for its reader.
type State string

// States of a socket. A closed one has no more data.
const (
	Quiet    State = "quiet"
	Readable State = "readable"
	Closed   State = "closed"
)

// IsAlive reports whether an idle connection, on which no data is expected, is still open
// and has received nothing. It can't detect a peer that vanished without closing the
// connection. A connection that isn't TCP counts as alive.
func IsAlive(c net.Conn) bool { return Peek(c) == Quiet }

// Peek returns the state of a connection's socket. A connection that isn't TCP counts as quiet.
func Peek(c net.Conn) State {
	tcp, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return Quiet
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	var buffer [1]byte
	err = rawConn.Control(func(fd uintptr) {
		n, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case recvErr == unix.EAGAIN:
			state = Quiet
		case recvErr == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
