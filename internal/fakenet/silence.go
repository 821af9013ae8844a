package fakenet

import (
	"net"
	"sync"
)

// SilenceableListener accepts real connections that can be silenced: the other end then gets no more data on
// them and no error, as behind a firewall that has lost its state.
type SilenceableListener struct {
	net.Listener

	mu sync.Mutex
	// silence is closed when the connections accepted since the last SilenceAll are silenced.
	silence chan struct{}
}

// Accept waits for the next connection.
func (l *SilenceableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silence == nil {
		l.silence = make(chan struct{})
	}
	return silenceableConn{nc, l.silence}, nil
}

// SilenceAll silences the connections accepted so far. New ones work.
func (l *SilenceableListener) SilenceAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silence != nil {
		close(l.silence)
		l.silence = nil
	}
}

type silenceableConn struct {
	net.Conn
	silence <-chan struct{}
}

// Write sends bytes, or drops them if the connection is silenced.
func (c silenceableConn) Write(b []byte) (int, error) {
	select {
	case <-c.silence:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}
