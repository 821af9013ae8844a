package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	startup = "STARTUP strict " + key + "\r\n"
	// fullMessage is the length of the texts in messages that just fit into 1 MiB.
	fullMessage = 1<<20 - 64
	// keptText is the length of texts that sessions keep, unreadText that of answers nobody reads.
	keptText   = 512 << 10
	unreadText = 768 << 10
	// halfMessage is where clients stop that don't finish a message.
	halfMessage = 600 << 10
	pieceSize   = 8 << 10
)

func text(length int) string { return strings.Repeat("x", length) }

// send writes without regard to errors: the VM may refuse the client or close its connection.
func send(c net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// sendInPieces writes a text in small pieces with pauses.
func sendInPieces(c net.Conn, text string, size int, pause time.Duration) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.Write([]byte(text[:n])); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// readAnswers reads a number of answers, or until the connection ends.
func readAnswers(c net.Conn, number int) {
	in := bufio.NewReader(c)
	for number > 0 {
		line, err := in.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return
		}
		if bytes.HasPrefix(line, []byte("READY ")) {
			number--
		}
	}
}

// callerPatterns are the crowds at the callers' port.
var callerPatterns = map[string]pattern{
	"full messages at once": {clients: 200, client: func(c net.Conn) {
		send(c, startup, "QUERY a SET v "+text(fullMessage)+"\r\n")
		readAnswers(c, 2)
	}},
	"full messages in small pieces": {clients: 200, client: func(c net.Conn) {
		send(c, startup)
		sendInPieces(c, "QUERY a SET v "+text(fullMessage)+"\r\n", pieceSize, time.Millisecond)
		readAnswers(c, 2)
	}},
	"full writes at once": {clients: 200, client: func(c net.Conn) {
		send(c, startup, "QUERY a WRITE k "+text(fullMessage-256)+"\r\n")
		readAnswers(c, 2)
	}},
	"long messages instead of a startup": {clients: 200, client: func(c net.Conn) {
		send(c, text(fullMessage))
	}},
	"messages far over the limit": {clients: 100, client: func(c net.Conn) {
		send(c, startup, "QUERY a SET v "+text(8<<20)+"\r\n")
	}},
	"pipelined requests, answers unread": {clients: 100, client: func(c net.Conn) {
		send(c, startup, "QUERY a WRITE k "+text(unreadText)+"\r\n", strings.Repeat("QUERY b READ k\r\n", 400))
	}},
	"long pipelined requests, answers unread": {clients: 100, client: func(c net.Conn) {
		send(c, startup, strings.Repeat("QUERY b SET v "+text(64<<10)+"\r\n", 64))
	}},
	"values kept by sessions": {clients: 30, client: func(c net.Conn) {
		send(c, startup)
		for i := range 12 {
			send(c, fmt.Sprint("QUERY a SET v", i, " ", text(keptText), "\r\n"))
		}
		readAnswers(c, 13)
	}},
	"statements kept by sessions": {clients: 30, client: func(c net.Conn) {
		send(c, startup)
		for i := range 12 {
			send(c, fmt.Sprint("QUERY a PREPARE p", i, " READ ", text(keptText), "\r\n"))
		}
		readAnswers(c, 13)
	}},
	"statements that pooled connections keep": {clients: 4, client: func(c net.Conn) {
		send(c, startup)
		readAnswers(c, 1)
		for i := range 60 {
			send(c, fmt.Sprint("QUERY a PREPARE p READ ", i, c.LocalAddr(), text(keptText), "\r\n"), "QUERY b EXECUTE p k\r\n", "QUERY c DEALLOCATE p\r\n")
			readAnswers(c, 3)
		}
	}},
	"messages that stop half-way": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, startup, "QUERY a SET v "+text(halfMessage))
	}},
	"slow messages": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, startup, "QUERY a SET v "+text(halfMessage))
		sendInPieces(c, text(30), 1, 100*time.Millisecond)
	}},
	"connections without a startup": {clients: 600, held: true, client: func(net.Conn) {}},
	"startups that never end": {clients: 600, held: true, client: func(c net.Conn) {
		sendInPieces(c, startup[:len(startup)-2], 1, 100*time.Millisecond)
	}},
	"half-closed connections": {clients: 600, held: true, client: func(c net.Conn) {
		send(c, startup)
		_ = c.(*net.TCPConn).CloseWrite()
	}},
	"idle sessions": {clients: 600, client: func(c net.Conn) {
		send(c, startup)
		readAnswers(c, 1)
	}},
	"open transactions": {clients: 600, client: func(c net.Conn) {
		send(c, startup, "QUERY a BEGIN\r\n", "QUERY b READ k\r\n")
		readAnswers(c, 3)
	}},
}

// TestCallers guards against clients at the callers' port that take the VM's memory or descriptors.
func TestCallers(t *testing.T) {
	for name, p := range callerPatterns {
		p.address = (*vm).callers
		t.Run(name, p.run)
	}
}

// A single message of the greatest length must be served in calm conditions, also under lowered limits.
func TestFullMessage(t *testing.T) {
	v := startVM(t)
	c, a := standin.Dial(v.callers(), "strict", key, attemptTimeout)
	assert.Equal(t, a.Outcome, standin.Done, a.Text)
	defer c.Close()
	data := text(fullMessage - 256)
	assert.Equal(t, c.Query("a", "SET v "+data, attemptTimeout).Outcome, standin.Done)
	assert.Equal(t, c.Query("b", "SET v x", attemptTimeout).Outcome, standin.Done)
	a = c.Query("c", "WRITE k "+data, attemptTimeout)
	assert.Equal(t, a.Outcome, standin.Done, a.Text)
	a = c.Query("d", "READ k", attemptTimeout)
	assert.Equal(t, a.Outcome, standin.Done, a.Text)
	assert.Assert(t, len(a.Rows) == 1 && a.Rows[0] == data)
	v.expectWithinLimits(t, vmMemoryMB, vmDescriptorBound)
}
