package socket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsAlive(t *testing.T) {
	tests := map[string]struct {
		do   func(far net.Conn)
		want bool
	}{
		"idle":            {func(net.Conn) {}, true},
		"closed":          {func(far net.Conn) { far.Close() }, false},
		"received a byte": {func(far net.Conn) { _, _ = far.Write([]byte("x")) }, false},
		"closed by reset": {func(far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); far.Close() }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			local, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer local.Close()
			far, err := listener.Accept()
			assert.NilError(t, err)
			defer far.Close()
			test.do(far)
			if !test.want {
				// Wait for the remote end's packet to arrive. IsAlive only peeks at it, so it
				// stays readable for the check below.
				for end := time.Now().Add(time.Second); IsAlive(local) && time.Now().Before(end); {
					<-time.After(time.Millisecond)
				}
			}
			assert.Equal(t, IsAlive(local), test.want)
		})
	}
}
