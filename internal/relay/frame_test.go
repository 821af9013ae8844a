package relay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/proxy"
)

func newFrames(text string, maxLength uint64) *frameReader {
	return &frameReader{in: bufio.NewReaderSize(strings.NewReader(text), bufferSize), maxLength: maxLength}
}

func encodeBatch(t testing.TB, texts ...string) string {
	t.Helper()
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for _, text := range texts {
		assert.NilError(t, e.Encode(proxy.Batch{Service: "s", Commands: []proxy.Command{proxy.Forward{ID: "a", Statement: proxy.Write{Text: text}}}}))
	}
	return b.String()
}

// A length prefix alone must not make the decoder allocate that much.
func TestFrameTooLong(t *testing.T) {
	tests := map[string]string{
		"length above the limit":        string(binary.BigEndian.AppendUint32([]byte{0xfc}, maxBatch+1)) + "x",
		"length above 8 bytes":          "\xf7" + strings.Repeat("\xff", 9),
		"length beyond any memory":      "\xf8" + strings.Repeat("\xff", 8),
		"prefix of an impossible width": "\x80" + strings.Repeat("x", 200),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			var batch proxy.Batch
			err := gob.NewDecoder(newFrames(text, maxBatch)).Decode(&batch)
			assert.Assert(t, proxy.IsMalformed(err), "%v", err)
		})
	}
}

// A batch that there is no memory for must be skipped, so that the link can be used for the next one.
func TestFrameWithoutMemory(t *testing.T) {
	b := &budget.Budget{Limits: budget.Limits{Total: 200 * budget.KB}}
	busy := b.Unlimited()
	busy.Force(200 * budget.KB)
	frames := newFrames(encodeBatch(t, "WRITE a 1", "WRITE a "+strings.Repeat("x", 40<<10), "WRITE a 2"), maxBatch)
	frames.account = b.Unlimited()
	d := gob.NewDecoder(frames)
	var first, second, third proxy.Batch
	assert.NilError(t, d.Decode(&first))
	assert.Assert(t, proxy.IsBusy(d.Decode(&second)))
	assert.NilError(t, d.Decode(&third))
	assert.DeepEqual(t, third.Commands, []proxy.Command{proxy.Forward{ID: "a", Statement: proxy.Write{Text: "WRITE a 2"}}})
	assert.Equal(t, d.Decode(&third), io.EOF)
}

// Guards against replies to reads that are held without room for them: many at once exceed the memory.
func TestReplyToReadWithoutMemory(t *testing.T) {
	b := &budget.Budget{Limits: budget.Limits{Total: 200 * budget.KB}}
	b.Unlimited().Force(200 * budget.KB)
	var encoded bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&encoded).Encode(reply{Answers: []proxy.Answer{{Rows: []string{strings.Repeat("x", 40<<10)}}}}))
	frames := newFrames(encoded.String(), maxReply)
	frames.account, frames.isReply = b.Unlimited(), true
	var got reply
	err := gob.NewDecoder(frames).Decode(&got)
	assert.Assert(t, proxy.IsBusy(err), "%v", err)
	assert.Equal(t, b.State().Held, 200*budget.KB)
}

// A reply must be read also without room for it, as its batch has run.
func TestReplyWithoutMemory(t *testing.T) {
	b := &budget.Budget{Limits: budget.Limits{Total: 200 * budget.KB}}
	b.Unlimited().Force(200 * budget.KB)
	var encoded bytes.Buffer
	row := strings.Repeat("x", 40<<10)
	assert.NilError(t, gob.NewEncoder(&encoded).Encode(reply{Answers: []proxy.Answer{{Rows: []string{row}}}}))
	frames := newFrames(encoded.String(), maxReply)
	frames.account, frames.isReply, frames.forces = b.Unlimited(), true, true
	var got reply
	assert.NilError(t, gob.NewDecoder(frames).Decode(&got))
	assert.Equal(t, got.Answers[0].Rows[0], row)
	assert.Assert(t, b.State().Held > 280*budget.KB)
	frames.account.ReleaseMessage()
	assert.Equal(t, b.State().Held, 200*budget.KB)
}

// FuzzBatches guards against a batch that makes the decoder panic or read beyond a message.
func FuzzBatches(f *testing.F) {
	f.Add(encodeBatch(f, "WRITE a 1"))
	f.Add(encodeBatch(f, "WRITE a 1", strings.Repeat("x", 70<<10)))
	f.Add("\xfc\x10\x00\x00\x00x")
	f.Add("\xf8\xff")
	f.Add("\x00\x00\x01")
	f.Fuzz(func(t *testing.T, text string) {
		frames := newFrames(text, 1<<20)
		d := gob.NewDecoder(frames)
		for {
			var batch proxy.Batch
			if d.Decode(&batch) != nil {
				break
			}
			if frames.left != 0 {
				t.Fatalf("%d bytes of a decoded message are left", frames.left)
			}
		}
	})
}
