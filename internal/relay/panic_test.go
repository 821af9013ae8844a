package relay

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// panickingLink is a connection to a server that panics at a read.
type panickingLink struct {
	echo
	closed chan bool
}

func (l *panickingLink) Send(c proxy.Command, until time.Time) {
	if f, isForward := c.(proxy.Forward); isForward {
		if _, reads := f.Statement.(proxy.Read); reads {
			panic("test")
		}
	}
	l.echo.Send(c, until)
}

func (l *panickingLink) Close() { close(l.closed) }

// Guards against a fault on one link that ends the VM's process, with the sessions of all its callers. The server's
// connection is closed, and the sender learns no outcome.
func TestPanicEndsOnlyItsLink(t *testing.T) {
	server, opened := &panickingLink{closed: make(chan bool)}, 0
	r := startRelayWith(t, nil, func(vm *proxy.VM) {
		vm.Connect = func(context.Context, proxy.Server, proxy.WorkspaceName) (proxy.ServerLink, position.Position, error) {
			opened++
			if opened > 1 {
				return &echo{}, position.Position{}, nil
			}
			return server, position.Position{}, nil
		}
	})
	address := proxy.Address(r.Listener.Addr().String())
	failing, err := r.Open(context.Background(), address)
	assert.NilError(t, err)
	_, err = failing.Exec(newBatch(proxy.BeginAt{}), time.Now().Add(time.Second))
	assert.NilError(t, err)
	batch := newBatch(proxy.Forward{ID: "1", Statement: proxy.Read{Text: "READ 1"}})
	batch.Open = true
	_, err = failing.Exec(batch, time.Now().Add(time.Second))
	assert.Assert(t, errorx.IsOfType(err, proxy.ErrPeerOutcomeUnknown), "%v", err)
	failing.Release(false)
	<-server.closed
	other, err := r.Open(context.Background(), address)
	assert.NilError(t, err)
	defer other.Release(false)
	_, err = other.Exec(newBatch(proxy.Forward{ID: "2", Statement: proxy.Write{Text: "WRITE 1 x"}}), time.Now().Add(time.Second))
	assert.NilError(t, err)
}
