// Package socket looks at TCP connections without using them.
package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// Alive tells whether a connection that awaits nothing has neither ended nor received
// anything. One that has fallen silent can't be told from one that rests.
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
		_, _, failed := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = failed == unix.EAGAIN
	})
	return err == nil && alive
}
