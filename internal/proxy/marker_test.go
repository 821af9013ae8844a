package proxy

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// answersTo returns the transaction states that a server tells in its answers to markers.
func answersTo(markers []Command) []Phase {
	phase := Idle
	var phases []Phase
	for _, m := range markers {
		phase = phaseAfter(m, phase)
		phases = append(phases, phase)
	}
	return phases
}

// Guards against answers to earlier markers that stand for those to the next ones, when a server repeats them in one
// piece with the refusal before them: the true answer to a read then goes to another one.
func TestMarkersDiffer(t *testing.T) {
	c := &Conn{alignment: alignment{phase: Idle}}
	var sent [][]Phase
	for range len(markerSequences) {
		phases := answersTo(c.nextMarkers())
		assert.Equal(t, len(phases), markerLength)
		assert.Equal(t, phases[0], InTransaction)
		assert.Equal(t, phases[markerLength-1], Idle)
		for i, earlier := range sent {
			assert.Check(t, !slices.Equal(earlier, phases), "sequence %d is sent again", i)
		}
		sent = append(sent, phases)
	}
	assert.Equal(t, len(sent), 13)
	assert.DeepEqual(t, answersTo(c.nextMarkers()), sent[0])
}

// Guards against a read that gets the answer to another one: the server repeats a refusal for lag and the answers to the
// markers after it in one piece, before it is known to repeat answers. The refusal is taken for that of the next read,
// the repeated answers for those to its markers, and its true answer for that of the read after it.
func TestPieceBeforeRead(t *testing.T) {
	for i := range 40 {
		runTest(t, func(tb *testbed) {
			until := func() time.Time { return time.Now().Add(time.Second) }
			m := tb.vm.group(testService).members["b"]
			c, err := m.pool.Acquire(tb.ctx, &Workspace{Name: "amman"}, until())
			assert.NilError(t, err)
			defer func() { m.pool.Release(c, false, 0) }()
			read := func(id RequestID, floor position.Position) Answer {
				answers, err := c.exec(nil, []Command{Forward{ID: id, Statement: Read{Text: "READ " + string(id)}, Floor: floor}}, until())
				assert.NilError(t, err)
				return answers[0]
			}
			beyond := position.Position{Term: 9, Offset: 9}
			for _, id := range []RequestID{"r1", "r2"} {
				assert.Equal(t, read(id, beyond).Failure, Lagging)
			}
			piece := []Answer{{Failure: Lagging, Phase: Idle}}
			for _, phase := range answersTo(c.markers) {
				piece = append(piece, Answer{Digest: completedWithoutDigest, Phase: phase})
			}
			assert.NilError(t, c.prepare(until()))
			link := c.Link.(*memLink)
			tb.mu.Lock()
			for _, a := range piece {
				link.repeated = append(link.repeated, memAnswer{a, time.Now().Add(time.Millisecond)})
			}
			tb.mu.Unlock()
			assert.Equal(t, read("r3", position.Position{}).Failure, Lagging)
			if err := c.prepare(until()); err != nil {
				assert.Check(t, isType(err, ErrUnsettled), "%v", err)
				return
			}
			a := read("r4", position.Position{})
			assert.Equal(t, a.Digest, "d-r4", "play %d", i)
		})
	}
}
