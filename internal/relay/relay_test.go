package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// singleVMFleet is a fleet with one VM.
type singleVMFleet struct{}

func (singleVMFleet) Size() int                         { return 1 }
func (singleVMFleet) Rank() int                         { return 0 }
func (singleVMFleet) Settled() bool                     { return true }
func (singleVMFleet) IsVerifier(proxy.ServiceName) bool { return true }

// echo is a connection to a server that answers each statement with its Go syntax as the digest, and a command
// with a status with its Go syntax as the row.
type echo struct {
	// received has the Go syntax of all commands.
	received []string
	// sent has all answers, answers those that weren't received.
	sent, answers []proxy.Answer
	phase         proxy.Phase
}

func (e *echo) Send(c proxy.Command, _ time.Time) {
	text := fmt.Sprintf("%#v", c)
	e.received = append(e.received, text)
	a := proxy.Answer{Digest: "-", Position: position.Position{Term: 3, Offset: 4}}
	switch c := c.(type) {
	case proxy.BeginAt:
		e.phase = proxy.InTransaction
	case proxy.Abandon:
		e.phase = proxy.Idle
	case proxy.QueryStatus, proxy.Demote, proxy.PauseReceiving, proxy.ResumeReceiving:
		a.Rows = []string{text}
	case proxy.Forward:
		a.Digest = text
		if _, commits := c.Statement.(proxy.Commit); commits {
			e.phase = proxy.Idle
		}
	}
	if e.phase == "" {
		e.phase = proxy.Idle
	}
	a.Phase = e.phase
	e.sent, e.answers = append(e.sent, a), append(e.answers, a)
}
func (*echo) Flush(time.Time) error { return nil }
func (e *echo) Receive(time.Time) (proxy.Answer, error) {
	a := e.answers[0]
	e.answers = e.answers[1:]
	return a, nil
}

func (*echo) DecodeStatus(proxy.Answer) (proxy.ServerStatus, error) { return proxy.ServerStatus{}, nil }
func (*echo) Input() proxy.InputState                               { return proxy.NoInput }
func (*echo) Close()                                                {}

// startRelay starts a VM that accepts batches for server "i-1". If err is set, its connection
// attempts to the server fail with err.
func startRelay(t *testing.T, err error) *Relay { return startRelayWith(t, err, func(*proxy.VM) {}) }

// startRelayWith is startRelay with a change to the VM before it knows its servers.
func startRelayWith(t *testing.T, err error, change func(*proxy.VM)) *Relay {
	t.Helper()
	listener, failed := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, failed)
	vm := &proxy.VM{Name: "home", Fleet: singleVMFleet{}, Logger: log.NewNopLogger()}
	vm.Connect = func(context.Context, proxy.Server, proxy.WorkspaceName) (proxy.ServerLink, position.Position, error) {
		if err != nil {
			return nil, position.Position{}, err
		}
		return &echo{}, position.Position{}, nil
	}
	change(vm)
	vm.SetServers([]proxy.Server{{ID: "i-1", Service: "s", Address: "127.0.0.1:1"}})
	vm.Configure(&proxy.Configuration{Version: 1, Services: map[proxy.ServiceName]*proxy.Service{"s": {Name: "s", Connections: 9}}}, "test")
	r := &Relay{VM: vm, Fleet: &heartbeat.Fleet{}, Listener: listener, Logger: log.NewNopLogger()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func newBatch(commands ...proxy.Command) proxy.Batch {
	return proxy.Batch{Service: "s", Server: "i-1", Workspace: "w", Commands: commands, Within: time.Second, Number: 1}
}

// Every command and its answer are transferred without loss.
func TestCommandsRoundTrip(t *testing.T) {
	server := &echo{}
	r := startRelayWith(t, nil, func(vm *proxy.VM) {
		vm.Connect = func(context.Context, proxy.Server, proxy.WorkspaceName) (proxy.ServerLink, position.Position, error) {
			return server, position.Position{}, nil
		}
	})
	link, err := r.Open(context.Background(), proxy.Address(r.Listener.Addr().String()))
	assert.NilError(t, err)
	defer link.Release(false)
	floor := position.Position{Term: 3, Offset: 4}
	for _, c := range []proxy.Command{
		proxy.Forward{ID: "1", Statement: proxy.Read{Text: "READ 1"}, Floor: floor},
		proxy.Forward{ID: "2", Statement: proxy.Write{Text: "WRITE 1 x"}},
		proxy.Forward{ID: "3", Statement: proxy.Commit{}},
		proxy.Forward{ID: "4", Statement: proxy.Execute{Name: "p", Arguments: "1"}},
		proxy.BeginAt{ReadOnly: true, Floor: floor},
		proxy.Abandon{},
		proxy.Reset{},
		proxy.Assign{Name: "a", Value: "b"},
		proxy.PreparePlan{Name: "p", Plan: proxy.Plan{Writes: true, Shape: "q"}},
		proxy.QueryStatus{},
		proxy.Demote{Term: 2},
		proxy.PauseReceiving{Term: 2},
		proxy.ResumeReceiving{},
	} {
		answers, err := link.Exec(newBatch(c), time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Equal(t, server.received[len(server.received)-1], fmt.Sprintf("%#v", c))
		assert.DeepEqual(t, answers[0], server.sent[len(server.sent)-1])
		assert.Equal(t, answers[0].Position, position.Position{Term: 3, Offset: 4})
	}
}

// An error of the VM that runs a batch keeps its type, because the sending VM decides by the
// type whether the statement may have run.
func TestErrorsKeepTheirType(t *testing.T) {
	for name, kind := range errorKinds {
		if name == "silent" || name == "broken" || name == "busy" || name == "no-server" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, kind.New("no"))
			link, err := r.Open(context.Background(), proxy.Address(r.Listener.Addr().String()))
			assert.NilError(t, err)
			defer link.Release(false)
			_, err = link.Exec(newBatch(proxy.Reset{}), time.Now().Add(2*time.Second))
			assert.Assert(t, errorx.IsOfType(err, kind), "%v", err)
		})
	}
}

// An idle link that the other VM has closed isn't reused: whether a batch sent on it has run
// would be unknown.
func TestClosedIdleLinkIsNotReused(t *testing.T) {
	closing, open := startRelay(t, nil), startRelay(t, nil)
	r := &Relay{Logger: log.NewNopLogger()}
	address := proxy.Address(open.Listener.Addr().String())
	nc, err := net.Dial("tcp", closing.Listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, nc.(*net.TCPConn).CloseWrite())
	var readBuffer [1]byte
	// Read returns once the other side has closed the connection.
	_, _ = nc.Read(readBuffer[:])
	r.stateOf(address).idleLinks = []*link{{
		relay: r, address: address, net: nc, idleSince: time.Now(), out: bufio.NewWriter(nc),
		encoder: gob.NewEncoder(nc), decoder: gob.NewDecoder(nc),
	}}
	link, err := r.Open(context.Background(), address)
	assert.NilError(t, err)
	defer link.Release(false)
	_, err = link.Exec(newBatch(proxy.Reset{}), time.Now().Add(time.Second))
	assert.NilError(t, err)
}

// A VM that can't be reached, or doesn't answer, is avoided for a while.
func TestFailingVMIsAvoided(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	r := &Relay{Logger: log.NewNopLogger()}
	address := proxy.Address(silent.Addr().String())
	link, err := r.Open(context.Background(), address)
	assert.NilError(t, err)
	for range timeoutsBeforeAvoiding {
		_, err = link.Exec(newBatch(proxy.Reset{}), time.Now().Add(10*time.Millisecond))
		assert.Assert(t, errorx.IsOfType(err, proxy.ErrPeerOutcomeUnknown), "%v", err)
	}
	link.Release(false)
	assert.Assert(t, time.Now().Before(r.peers[address].avoidUntil))
	silent.Close()
	_, err = r.Open(context.Background(), address)
	assert.Assert(t, err != nil)
	assert.Equal(t, r.peers[address].failures, timeoutsBeforeAvoiding+1)
}

// Over many keys, VMs become owners in proportion to their capacity.
func TestScoreFollowsCapacity(t *testing.T) {
	counts := map[string]int{}
	capacity := map[string]float64{"small": 0.2, "middle": 0.4, "large": 0.8}
	const keys = 14000
	for i := range keys {
		best, bestScore := "", -1.0
		for vm, c := range capacity {
			if s := score(fmt.Sprint(i), vm, c); s > bestScore {
				best, bestScore = vm, s
			}
		}
		counts[best]++
	}
	for vm, c := range capacity {
		want := c / 1.4 * keys
		assert.Assert(t, float64(counts[vm]) > 0.9*want && float64(counts[vm]) < 1.1*want, "%s: %d of %.0f", vm, counts[vm], want)
	}
}

// The load of a server with a queue, and the time to return of a request that the queue refuses,
// come with the response. Without a queue there is neither.
func TestLoadTravels(t *testing.T) {
	for name, test := range map[string]struct {
		scheduled bool
		tries     int
	}{"with a queue": {true, 20}, "without": {false, 3}} {
		t.Run(name, func(t *testing.T) {
			r := startRelayWith(t, nil, func(v *proxy.VM) { v.PriorityScheduling = test.scheduled })
			open := func() proxy.PeerLink {
				link, err := r.Open(context.Background(), proxy.Address(r.Listener.Addr().String()))
				assert.NilError(t, err)
				t.Cleanup(func() { link.Release(false) })
				return link
			}
			// A transaction that has begun keeps its place for a moment. On a slow machine that may
			// be over when the next one begins, so several are tried.
			last := open()
			refused := false
			for range test.tries {
				batch := newBatch(proxy.BeginAt{})
				batch.Workspace, batch.DeadlineMs = proxy.WorkspaceName("w"), 1
				_, err := last.Exec(batch, time.Now().Add(time.Second))
				if err != nil {
					assert.Assert(t, errorx.IsOfType(err, proxy.ErrBusy), "%v", err)
					assert.Assert(t, proxy.RetryAfter(err) > 0)
					refused = true
					break
				}
				assert.Equal(t, last.Load().Limit > 0, test.scheduled)
				last = open()
			}
			assert.Equal(t, refused, test.scheduled)
		})
	}
}

// A batch that crosses zones is little longer than the text of its statement.
func TestBatchIsSmall(t *testing.T) {
	const text = "READ 1a4"
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	batch := proxy.Batch{
		Service: "ledger", Server: "i-7f3a91c2", Workspace: "amman", Profiled: true, Within: time.Second, Number: 50000,
		Commands: []proxy.Command{proxy.Forward{
			ID: "5c0e7a21d94b36f8", Statement: proxy.Read{Text: text}, Floor: position.Position{Term: 3, Offset: 1207},
		}},
	}
	for range 2 {
		out.Reset()
		assert.NilError(t, encoder.Encode(batch))
	}
	assert.Assert(t, out.Len() <= 100, "%d bytes for a statement of %d", out.Len(), len(text))
	without := out.Len()
	batch.Priority, batch.WorkspacePriority, batch.ObjectiveMs, batch.DeadlineMs = 2, 1, 600, 1500
	out.Reset()
	assert.NilError(t, encoder.Encode(batch))
	assert.Assert(t, out.Len() <= without+15, "%d bytes for urgency", out.Len()-without)
}

// During a rolling upgrade, statements are sent only to VMs of the same protocol version.
func TestPeerOfOtherVersionIsNotOwner(t *testing.T) {
	for name, test := range map[string]struct {
		version int
		want    proxy.Address
	}{
		"same version": {Version, "10.0.0.2:1"},
		"another":      {Version + 1, ""},
		"version zero": {0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Relay{VM: &proxy.VM{Name: "own", Zone: "z"}, Capacity: 1e-9}
			other := heartbeat.Message{VM: "other", Address: "10.0.0.2:1", Capacity: 1e9, RelayVersion: test.version}
			r.peersByZone = map[proxy.AvailabilityZone][]heartbeat.Peer{"z": {{Message: other}}}
			assert.Equal(t, r.selectOwners(proxy.Server{ID: "i-1", Zone: "z"}, 8, time.Now()).choose("i-1", "amman"), test.want)
		})
	}
}

// A VM that owns no connections to a server must not look through all workspaces to find that out,
// and owners must not rank the VMs of a zone again for each workspace.
func TestOwnersAreSelectedOncePerServer(t *testing.T) {
	fleet := &heartbeat.Fleet{}
	r := &Relay{VM: &proxy.VM{Name: "own", Zone: "z"}, Capacity: 1, Fleet: fleet}
	server := proxy.Server{ID: "i-1", Zone: "z"}
	assert.Assert(t, r.OwnsAny(server, 90))
	for i := range 59 {
		name := heartbeat.VMName("vm-" + strconv.Itoa(i))
		r.peersByZone["z"] = append(r.peersByZone["z"], heartbeat.Peer{Message: heartbeat.Message{VM: name, Address: string(name) + ":1", Capacity: 1, RelayVersion: Version}})
	}
	r.owners = map[proxy.ServerID]*serverOwners{}
	owned := 0
	for i := range 190 {
		address, local := r.Owner(server, proxy.WorkspaceName("tenant-"+strconv.Itoa(i)), 90)
		assert.Equal(t, local, address == "")
		if local {
			owned++
		}
	}
	assert.Equal(t, len(r.owners), 1)
	owners := r.owners["i-1"]
	assert.Equal(t, len(owners.candidates), 90/minConnectionsPerOwner)
	assert.Equal(t, len(owners.byWorkspace), 190)
	assert.Equal(t, r.OwnsAny(server, 90), owned > 0)
	// A change of the limit selects again.
	r.Owner(server, "tenant-1", 8)
	assert.Equal(t, len(r.owners["i-1"].candidates), 8/minConnectionsPerOwner)
}

// A batch that arrives after its sender has given up isn't run: its caller was told that the outcome is
// unknown, and may have sent the same work again. Partitions hold up batches, and pauses of this VM.
func TestLateBatchIsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		linkAge time.Duration
		want    bool
	}{
		"in time":                     {0, true},
		"delayed, with time left":     {-500 * time.Millisecond, true},
		"delayed beyond its deadline": {-2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, nil)
			nc, err := net.Dial("tcp", r.Listener.Addr().String())
			assert.NilError(t, err)
			defer nc.Close()
			batch := newBatch(proxy.Forward{ID: "1", Statement: proxy.Write{Text: "WRITE 1 x"}})
			batch.LinkAgeMs = test.linkAge.Milliseconds()
			assert.NilError(t, gob.NewEncoder(nc).Encode(batch))
			var response reply
			err = gob.NewDecoder(nc).Decode(&response)
			assert.Equal(t, err == nil && len(response.Answers) == 1, test.want, "%v %v", err, response)
		})
	}
}

// A batch whose sender has closed the link by the time that it is read isn't run. A VM that was paused
// reads both when it wakes.
func TestBatchOfClosedLinkIsNotRun(t *testing.T) {
	connected := make(chan struct{}, 1)
	vm := &proxy.VM{Name: "home", Fleet: singleVMFleet{}, Logger: log.NewNopLogger()}
	vm.Connect = func(context.Context, proxy.Server, proxy.WorkspaceName) (proxy.ServerLink, position.Position, error) {
		connected <- struct{}{}
		return &echo{}, position.Position{}, nil
	}
	vm.SetServers([]proxy.Server{{ID: "i-1", Service: "s", Address: "127.0.0.1:1"}})
	vm.Configure(&proxy.Configuration{Version: 1, Services: map[proxy.ServiceName]*proxy.Service{"s": {Name: "s", Connections: 9}}}, "test")
	r := &Relay{VM: vm, Fleet: &heartbeat.Fleet{}, Logger: log.NewNopLogger()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	nc, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, gob.NewEncoder(sender).Encode(newBatch(proxy.Forward{ID: "1", Statement: proxy.Write{Text: "WRITE 1 x"}})))
	assert.NilError(t, sender.Close())
	r.serveLink(context.Background(), nc)
	assert.Equal(t, len(connected), 0)
}

// A link whose batch wasn't answered is reset. Closing it would deliver the batch once a partition has
// healed.
func TestFailedLinkIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	r := &Relay{Logger: log.NewNopLogger()}
	link, err := r.Open(context.Background(), proxy.Address(listener.Addr().String()))
	assert.NilError(t, err)
	far, err := listener.Accept()
	assert.NilError(t, err)
	defer far.Close()
	_, err = link.Exec(newBatch(proxy.Reset{}), time.Now().Add(-deadlineSlack+10*time.Millisecond))
	assert.Assert(t, errorx.IsOfType(err, proxy.ErrPeerOutcomeUnknown), "%v", err)
	link.Release(false)
	_, err = io.Copy(io.Discard, far)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// One VM keeps the order of all statements for a server. While it is avoided the next in rank
// takes its place, the same on all VMs, and afterwards it does again.
func TestOneOwnerWithSuccessor(t *testing.T) {
	fleet := &heartbeat.Fleet{}
	r := &Relay{VM: &proxy.VM{Name: "own", Zone: "other", PriorityScheduling: true}, Capacity: 1, Fleet: fleet, Logger: log.NewNopLogger()}
	server := proxy.Server{ID: "i-1", Zone: "z"}
	r.OwnsAny(server, 56)
	for i := range 28 {
		name := heartbeat.VMName("vm-" + strconv.Itoa(i))
		r.peersByZone["z"] = append(r.peersByZone["z"], heartbeat.Peer{Message: heartbeat.Message{VM: name, Address: string(name) + ":1", Capacity: 1, RelayVersion: Version}})
	}
	ownerOfAll := func() proxy.Address {
		r.owners = map[proxy.ServerID]*serverOwners{}
		owner, local := r.Owner(server, "tenant", 56)
		assert.Assert(t, !local)
		for i := range 84 {
			address, _ := r.Owner(server, proxy.WorkspaceName("tenant-"+strconv.Itoa(i)), 56)
			assert.Equal(t, address, owner)
		}
		return owner
	}
	first := ownerOfAll()
	r.stateOf(first).avoidUntil = time.Now().Add(time.Hour)
	second := ownerOfAll()
	assert.Assert(t, second != first)
	r.stateOf(second).avoidUntil = time.Now().Add(time.Hour)
	third := ownerOfAll()
	assert.Assert(t, third != first && third != second)
	r.stateOf(first).avoidUntil = time.Time{}
	assert.Equal(t, ownerOfAll(), first)
}

// While a server's zone has no VM, one VM of the other zones owns its connections, not each of them,
// which would exceed the server's limit.
func TestOneOwnerWithoutVMInZone(t *testing.T) {
	const vms = 10
	owners := map[proxy.Address]bool{}
	for own := range vms {
		address := func(i int) proxy.Address { return proxy.Address("vm-" + strconv.Itoa(i) + ":1") }
		r := &Relay{VM: &proxy.VM{Name: proxy.VMName("vm-" + strconv.Itoa(own)), Zone: "other", PriorityScheduling: true}, Capacity: 1, Fleet: &heartbeat.Fleet{}}
		server := proxy.Server{ID: "i-1", Zone: "z"}
		r.OwnsAny(server, 56)
		for i := range vms {
			if i != own {
				message := heartbeat.Message{VM: heartbeat.VMName("vm-" + strconv.Itoa(i)), Address: string(address(i)), Capacity: 1, RelayVersion: Version}
				r.peersByZone["other"] = append(r.peersByZone["other"], heartbeat.Peer{Message: message})
			}
		}
		r.owners = map[proxy.ServerID]*serverOwners{}
		owner, local := r.Owner(server, "tenant", 56)
		if local {
			owner = address(own)
		}
		owners[owner] = true
	}
	assert.Equal(t, len(owners), 1, "%v", owners)
}
