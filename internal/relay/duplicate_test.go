package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// copyFrames copies gob's messages from one connection to another until one of them ends. From when repeats is
// true, it sends each message again right before the one that follows. The first batch and the first reply define
// gob's types, which a decoder accepts only once.
func copyFrames(to io.Writer, from io.Reader, repeats func() bool) {
	f := &frameReader{in: bufio.NewReader(from), maxLength: maxReply}
	var previous []byte
	for {
		prefix, length, err := f.peekLength()
		if err != nil {
			return
		}
		text := make([]byte, prefix+int(length))
		if _, err := io.ReadFull(f.in, text); err != nil {
			return
		}
		repeated := previous
		if repeats() {
			previous = text
		}
		_, _ = to.Write(repeated)
		if _, err := to.Write(text); err != nil {
			return
		}
	}
}

// startFront forwards one link to a VM and repeats batches or replies.
func startFront(t *testing.T, address net.Addr, batches, replies func() bool) proxy.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address.String())
		if err != nil {
			near.Close()
			return
		}
		go func() {
			copyFrames(far, near, batches)
			far.Close()
		}()
		copyFrames(near, far, replies)
		near.Close()
	}()
	return proxy.Address(l.Addr().String())
}

// countingEcho is an echo that counts the commands by their Go syntax.
type countingEcho struct {
	echo
	mu   *sync.Mutex
	runs map[string]int
}

func (e *countingEcho) Send(c proxy.Command, until time.Time) {
	e.mu.Lock()
	e.runs[fmt.Sprintf("%#v", c)]++
	e.mu.Unlock()
	e.echo.Send(c, until)
}

// countRuns starts a VM that counts the commands that it runs.
func countRuns(t *testing.T) (r *Relay, runs func(proxy.Command) int) {
	var mu sync.Mutex
	byCommand := map[string]int{}
	r = startRelayWith(t, nil, func(v *proxy.VM) {
		v.Connect = func(context.Context, proxy.Server, proxy.WorkspaceName) (proxy.ServerLink, position.Position, error) {
			return &countingEcho{mu: &mu, runs: byCommand}, position.Position{}, nil
		}
	})
	return r, func(c proxy.Command) int {
		mu.Lock()
		defer mu.Unlock()
		return byCommand[fmt.Sprintf("%#v", c)]
	}
}

func writeOf(i int) proxy.Command {
	return proxy.Forward{ID: "1", Statement: proxy.Write{Text: fmt.Sprintf("WRITE 1 x%d", i)}}
}

// TestDuplicatesOnLink guards against a reply that is given to the next caller, and against a link that breaks:
// a reply or a batch arrives a second time on a link between VMs, together with the next one.
func TestDuplicatesOnLink(t *testing.T) {
	for name, test := range map[string]struct{ batches, replies bool }{
		"replies": {false, true}, "batches": {true, false}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, runs := countRuns(t)
			sender := &Relay{Logger: log.NewNopLogger()}
			var started atomic.Bool
			batches := func() bool { return started.Load() && test.batches }
			replies := func() bool { return started.Load() && test.replies }
			link, err := sender.Open(t.Context(), startFront(t, r.Listener.Addr(), batches, replies))
			assert.NilError(t, err)
			defer link.Release(false)
			for i := range 5 {
				answers, err := link.Exec(newBatch(writeOf(i)), time.Now().Add(time.Second))
				assert.NilError(t, err)
				assert.Equal(t, answers[0].Digest, fmt.Sprintf("%#v", writeOf(i)))
				assert.Equal(t, runs(writeOf(i)), 1)
				started.Store(true)
			}
		})
	}
}

// recordingConn keeps what was last written.
type recordingConn struct {
	net.Conn
	last []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.last = bytes.Clone(p)
	return c.Conn.Write(p)
}

// TestDuplicateBatchIsNotRun guards against a write that runs twice: its batch arrives a second time while the
// link is idle.
func TestDuplicateBatchIsNotRun(t *testing.T) {
	r, runs := countRuns(t)
	sender := &Relay{Logger: log.NewNopLogger()}
	opened, err := sender.Open(t.Context(), proxy.Address(r.Listener.Addr().String()))
	assert.NilError(t, err)
	defer opened.Release(false)
	l := opened.(*link)
	recorder := &recordingConn{Conn: l.net}
	l.out.Reset(recorder)
	for i := range 2 {
		_, err = opened.Exec(newBatch(writeOf(i)), time.Now().Add(time.Second))
		assert.NilError(t, err)
	}
	_, err = recorder.Conn.Write(recorder.last)
	assert.NilError(t, err)
	for deadline := time.Now().Add(100 * time.Millisecond); time.Now().Before(deadline) && runs(writeOf(1)) == 1; {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, runs(writeOf(1)), 1)
	answers, err := opened.Exec(newBatch(writeOf(2)), time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, answers[0].Digest, fmt.Sprintf("%#v", writeOf(2)))
}

// TestDuplicateWithoutMemory guards against a batch that runs although its sender was told that it didn't: a
// duplicate of a long batch, for which there is no memory, is refused under the number of the next one.
func TestDuplicateWithoutMemory(t *testing.T) {
	r, runs := countRuns(t)
	b := &budget.Budget{Limits: budget.Limits{Total: 200 * budget.KB, Connections: map[budget.Class]int{budget.Links: 10}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &budget.Listener{Listener: l, Budget: b, Class: budget.Links}
	defer listener.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		accepted, err := listener.Accept()
		if err == nil {
			r.serveLink(t.Context(), accepted)
		}
	}()
	defer func() { <-served }()
	defer nc.Close()
	var text bytes.Buffer
	encoder, decoder := gob.NewEncoder(&text), gob.NewDecoder(nc)
	send := func(number uint64, c proxy.Command) reply {
		t.Helper()
		batch := newBatch(c)
		batch.Number, batch.Within = number, 5*time.Second
		text.Reset()
		assert.NilError(t, encoder.Encode(batch))
		_, err := nc.Write(text.Bytes())
		assert.NilError(t, err)
		var response reply
		if number != 3 {
			assert.NilError(t, decoder.Decode(&response))
			assert.Equal(t, response.Number, number)
		}
		return response
	}
	long := proxy.Forward{ID: "2", Statement: proxy.Write{Text: "WRITE 1 " + strings.Repeat("x", 40<<10)}}
	assert.Equal(t, len(send(1, writeOf(1)).Answers), 1)
	assert.Equal(t, len(send(2, long).Answers), 1)
	busy := b.Unlimited()
	busy.Force(200 * budget.KB)
	_, err = nc.Write(text.Bytes())
	assert.NilError(t, err)
	var refused reply
	assert.NilError(t, decoder.Decode(&refused))
	assert.Equal(t, refused.Kind, "busy")
	assert.Equal(t, refused.Number, uint64(3))
	busy.ReleaseMessage()
	send(3, writeOf(3))
	assert.Equal(t, len(send(4, writeOf(4)).Answers), 1)
	assert.Equal(t, runs(writeOf(3)), 0)
	assert.Equal(t, runs(writeOf(4)), 1)
	assert.Equal(t, runs(long), 1)
}
