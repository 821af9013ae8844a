package budget

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/savoryramp/savoryramp/internal/socket"
)

// Listen listens on a TCP address. The kernel's buffers of the accepted connections have a fixed size.
func Listen(address string, buffer Bytes) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
				if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, int(buffer)); err != nil {
					optionErr = err
				}
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Listener accepts connections that the budget has room for, and closes others at once.
type Listener struct {
	net.Listener
	Budget *Budget
	Class  Class
	// Activity is recorded for each accepted connection. It is Starting if empty; with Serving, sessions
	// whose progress isn't recorded are never closed for others.
	Activity Activity
}

// Conn is a connection with its account, which ends with it.
type Conn struct {
	net.Conn
	account   *Account
	closeOnce sync.Once
	closeErr  error
}

// Accept returns the next connection that there is room for, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a, fits := l.Budget.Open(l.Class, func() { _ = socket.CloseDiscarding(nc) })
		if !fits {
			_ = socket.CloseDiscarding(nc)
			continue
		}
		if l.Activity != "" {
			a.Progress(l.Activity)
		}
		return &Conn{Conn: nc, account: a}, nil
	}
}

// Close closes the connection and its account.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.account.Close()
	})
	return c.closeErr
}

// AccountOf returns the account of a connection that a Listener accepted, nil for another one.
func AccountOf(c net.Conn) *Account {
	if budgeted, found := c.(*Conn); found {
		return budgeted.account
	}
	return nil
}

// Underlying returns the connection that a Listener accepted, or c itself if it is another one.
func Underlying(c net.Conn) net.Conn {
	if budgeted, found := c.(*Conn); found {
		return budgeted.Conn
	}
	return c
}
