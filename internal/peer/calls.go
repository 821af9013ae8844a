package peer

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// Promise sends a lease request to a VM. It returns ErrUnreachable or ErrRefused on
// failure.
func (f *Fleet) Promise(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Promise)
}

// Borrow sends a VM a request for tokens of a group of contracts. It returns
// ErrUnreachable or ErrRefused on failure.
func (f *Fleet) Borrow(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Borrow)
}

// Share sends a VM a request about the shares of a group of contracts. It returns
// ErrUnreachable or ErrRefused on failure.
func (f *Fleet) Share(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Share)
}

type rpcMethod func(peerpb.PeerClient, context.Context, *peerpb.Call, ...grpc.CallOption) (*peerpb.Answer, error)

func (f *Fleet) call(ctx context.Context, to Name, name string, body []byte, method rpcMethod) ([]byte, error) {
	client, err := f.client(to)
	if err != nil {
		return nil, err
	}
	request := &peerpb.Call{Vm: string(f.Self), Incarnation: int64(f.Incarnation), Name: name, Body: body}
	a, err := method(client, ctx, request)
	return a.GetBody(), callError(err, to)
}

// FetchDocument fetches the hash and body of a document version that a VM announced.
// The caller must check the body against the hash. It returns ErrUnreachable or
// ErrRefused on failure.
func (f *Fleet) FetchDocument(ctx context.Context, to Name, v platform.DocumentVersion) (platform.DocumentHash, []byte, error) {
	client, err := f.client(to)
	if err != nil {
		return "", nil, err
	}
	a, err := client.Document(ctx, &peerpb.DocumentRequest{Version: int64(v)})
	return platform.DocumentHash(a.GetHash()), a.GetBody(), callError(err, to)
}

// ForwardCancel forwards a caller's cancel request to the VM that runs the session. It
// returns ErrUnreachable or ErrRefused on failure.
func (f *Fleet) ForwardCancel(ctx context.Context, to Name, process uint32, secret []byte) error {
	client, err := f.client(to)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, &peerpb.CancelRequest{Process: process, Secret: secret})
	return callError(err, to)
}

// Goodbye tells all members that aren't gone that this VM's incarnation is ending, and
// waits until they answer or ctx ends.
func (f *Fleet) Goodbye(ctx context.Context) {
	var calls sync.WaitGroup
	for _, m := range f.Members() {
		client, err := f.client(m.Name)
		if err != nil || m.State == Gone {
			continue
		}
		calls.Go(func() {
			_, _ = client.Goodbye(ctx, &peerpb.GoodbyeRequest{Vm: string(f.Self), Incarnation: int64(f.Incarnation)})
		})
	}
	calls.Wait()
}

func (f *Fleet) client(to Name) (peerpb.PeerClient, error) {
	f.init()
	f.mu.Lock()
	m := f.members[to]
	f.mu.Unlock()
	if m == nil {
		return nil, ErrUnreachable.New("VM %s is not a known member", to)
	}
	conn, err := m.link.clientConn()
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}
