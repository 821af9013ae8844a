package peer

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// Promise asks a VM about a lease. ErrUnreachable, ErrRefused.
func (f *Fleet) Promise(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Promise)
}

// Borrow asks a VM for tokens of a group's contracts. ErrUnreachable, ErrRefused.
func (f *Fleet) Borrow(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Borrow)
}

// Share asks a VM about the shares of a group's contracts. ErrUnreachable, ErrRefused.
func (f *Fleet) Share(ctx context.Context, to Name, name string, body []byte) ([]byte, error) {
	return f.call(ctx, to, name, body, peerpb.PeerClient.Share)
}

type callFunc func(peerpb.PeerClient, context.Context, *peerpb.Call, ...grpc.CallOption) (*peerpb.Answer, error)

func (f *Fleet) call(ctx context.Context, to Name, name string, body []byte, method callFunc) ([]byte, error) {
	client, err := f.client(to)
	if err != nil {
		return nil, err
	}
	request := &peerpb.Call{Vm: string(f.Self), Incarnation: int64(f.Incarnation), Name: name, Body: body}
	a, err := method(client, ctx, request)
	return a.GetBody(), callError(err, to)
}

// FetchDocument gets the body of a version that a VM told of. The caller checks it
// against the hash. ErrUnreachable, ErrRefused.
func (f *Fleet) FetchDocument(ctx context.Context, to Name, v platform.DocumentVersion) (platform.DocumentHash, []byte, error) {
	client, err := f.client(to)
	if err != nil {
		return "", nil, err
	}
	a, err := client.Document(ctx, &peerpb.DocumentRequest{Version: int64(v)})
	return platform.DocumentHash(a.GetHash()), a.GetBody(), callError(err, to)
}

// ForwardCancel passes a caller's cancel request to the VM of its session.
// ErrUnreachable, ErrRefused.
func (f *Fleet) ForwardCancel(ctx context.Context, to Name, process uint32, secret []byte) error {
	client, err := f.client(to)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, &peerpb.CancelRequest{Process: process, Secret: secret})
	return callError(err, to)
}

// Goodbye tells all members that this VM leaves, and waits for their answers or the
// end of ctx.
func (f *Fleet) Goodbye(ctx context.Context) {
	var all sync.WaitGroup
	for _, m := range f.Members() {
		client, err := f.client(m.Name)
		if err != nil || m.State == Gone {
			continue
		}
		all.Go(func() {
			_, _ = client.Goodbye(ctx, &peerpb.GoodbyeRequest{Vm: string(f.Self), Incarnation: int64(f.Incarnation)})
		})
	}
	all.Wait()
}

func (f *Fleet) client(to Name) (peerpb.PeerClient, error) {
	f.init()
	f.mu.Lock()
	m := f.members[to]
	f.mu.Unlock()
	if m == nil {
		return nil, ErrUnreachable.New("no VM %s is known", to)
	}
	conn, err := m.link.client()
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}
