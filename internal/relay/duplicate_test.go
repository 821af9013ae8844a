package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// copyFrames copies gob's messages from one connection to another until one of them ends. It sends each message
// again right before the one that follows, but for those of the first batch or reply, which define gob's types.
func copyFrames(to io.Writer, from io.Reader, repeats bool) {
	f := &frameReader{in: bufio.NewReader(from), maxLength: maxReply}
	var previous []byte
	for values := 0; ; {
		prefix, length, err := f.peekLength()
		if err != nil {
			return
		}
		text := make([]byte, prefix+int(length))
		if _, err := io.ReadFull(f.in, text); err != nil {
			return
		}
		if !definesTypes(text) {
			values++
		}
		if repeats && values > 2 {
			_, _ = to.Write(previous)
		}
		if _, err := to.Write(text); err != nil {
			return
		}
		previous = text
	}
}

// definesTypes reports whether a message of gob defines a type: the type ID after its length, of which bit 0 is
// the sign, is negative.
func definesTypes(text []byte) bool {
	f := &frameReader{in: bufio.NewReader(bytes.NewReader(text))}
	prefix, _, err := f.peekLength()
	if err != nil || prefix >= len(text) {
		return true
	}
	id := text[prefix:]
	if id[0] >= 0x80 {
		id = id[int(-int8(id[0])):]
	}
	return id[0]&1 == 1
}

// startFront forwards one link to a VM and repeats batches or replies.
func startFront(t *testing.T, address net.Addr, batches, replies bool) proxy.Address {
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

func (e *countingEcho) Send(c proxy.Command) {
	e.mu.Lock()
	e.runs[fmt.Sprintf("%#v", c)]++
	e.mu.Unlock()
	e.echo.Send(c)
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
			link, err := sender.Open(t.Context(), startFront(t, r.Listener.Addr(), test.batches, test.replies))
			assert.NilError(t, err)
			defer link.Release(false)
			for i := range 5 {
				answers, err := link.Exec(newBatch(writeOf(i)), time.Now().Add(time.Second))
				assert.NilError(t, err)
				assert.Equal(t, answers[0].Digest, fmt.Sprintf("%#v", writeOf(i)))
				assert.Equal(t, runs(writeOf(i)), 1)
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
