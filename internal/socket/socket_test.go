package socket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsAlive(t *testing.T) {
	tests := map[string]struct {
		do   func(remote net.Conn)
		want State
	}{
		"rests":            {func(net.Conn) {}, Quiet},
		"ended":            {func(remote net.Conn) { remote.Close() }, Closed},
		"received a byte":  {func(remote net.Conn) { _, _ = remote.Write([]byte("x")) }, Readable},
		"ended by a reset": {func(remote net.Conn) { _ = remote.(*net.TCPConn).SetLinger(0); remote.Close() }, Closed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			local, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer local.Close()
			remote, err := listener.Accept()
			assert.NilError(t, err)
			defer remote.Close()
			test.do(remote)
			if test.want != Quiet {
				// Wait for the remote end's packet to arrive. IsAlive only peeks at it, so it
				// stays readable for the check below.
				for deadline := time.Now().Add(time.Second); IsAlive(local) && time.Now().Before(deadline); {
					<-time.After(time.Millisecond)
				}
			}
			assert.Equal(t, IsAlive(local), test.want == Quiet)
			assert.Equal(t, Peek(local), test.want)
		})
	}
}
