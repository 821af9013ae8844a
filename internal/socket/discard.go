package socket

import "net"

// CloseDiscarding closes a connection and discards what was written to it and not delivered yet. A plain
// Close goes on delivering that: after a network partition the other side would carry out requests whose
// callers gave up long before.
func CloseDiscarding(c net.Conn) error {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		// A connection whose option can't be set is closed all the same.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}
