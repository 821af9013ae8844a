package hostile

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds opening a connection, actionTimeout all that a client does on it.
	dialTimeout   = 2 * time.Second
	actionTimeout = 6 * time.Second
	// holdTime is how long the connections stay open after the last client has done what it does, so
	// that the process accepts those that wait.
	holdTime = 300 * time.Millisecond
	// clientBuffer is the size of the receive buffer of a client's connection, in bytes, so that
	// answers that it doesn't read soon wait at the process under test.
	clientBuffer = 4 << 10
)

// crowd holds the connections of misbehaving clients.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// openCrowd runs a number of clients at once, each on a connection of its own, and returns when all
// have done what they do. Their connections stay open until close.
func openCrowd(address string, clients int, client func(c net.Conn)) *crowd {
	return openClients(address, clients, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(clientBuffer)
		client(c)
	})
}

// openClients does the same for clients whose receive buffers have the usual size.
func openClients(address string, clients int, client func(c net.Conn)) *crowd {
	crowd := &crowd{}
	var tasks sync.WaitGroup
	for range clients {
		tasks.Go(func() {
			c, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(actionTimeout))
			crowd.mu.Lock()
			crowd.conns = append(crowd.conns, c)
			crowd.mu.Unlock()
			client(c)
		})
	}
	tasks.Wait()
	time.Sleep(holdTime)
	return crowd
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
