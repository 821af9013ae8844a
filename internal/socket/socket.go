// Package socket checks TCP connections without reading from or writing to them.
package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// IsAlive reports whether an idle connection, on which no data is expected, is still open
// and has received nothing. It can't detect a peer that vanished without closing the
// connection. A connection that isn't TCP counts as alive.
func IsAlive(c net.Conn) bool {
	tcp, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return true
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var buffer [1]byte
	err = rawConn.Control(func(fd uintptr) {
		_, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = recvErr == unix.EAGAIN
	})
	return err == nil && alive
}
