package term_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// unheard is a promoter's way to servers of which some don't answer.
type unheard struct {
	node
	silent []term.Server
	// lose the answers to Promote.
	lose bool
}

func (u *unheard) Fence(ctx context.Context, name term.Server, t position.Term) (term.Status, error) {
	if slices.Contains(u.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return u.node.Fence(ctx, name, t)
}

func (u *unheard) Promote(ctx context.Context, name term.Server, t position.Term) (term.Status, error) {
	status, err := u.node.Promote(ctx, name, t)
	if u.lose || slices.Contains(u.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return status, err
}

// TestReservedTermHasOnePrimary: the answer of the first server promoted is lost, then
// that server is silent. Another one must not be promoted in the same term.
func TestReservedTermHasOnePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, 3)
		u := &unheard{node: node{g, "x"}, silent: []term.Server{"r0"}, lose: true}
		p := &term.Promoter{ID: "x", Group: g.names, Table: u, Servers: u, NewChange: func() term.Change { return "1" }}
		_, err := p.Reserve(t.Context())
		assert.NilError(t, err)
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		u.lose, u.silent = false, []term.Server{"r1"}
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		u.silent = nil
		r, err := p.PromoteReserved(t.Context(), "test", "r0")
		assert.NilError(t, err)
		assert.Equal(t, r.Primary, g.primaries[2])
		assert.Equal(t, g.wrong, "")
		assert.NilError(t, p.Record(t.Context()))
		assert.Equal(t, g.row.Record.Term, position.Term(2))
		time.Sleep(time.Second)
	})
}
