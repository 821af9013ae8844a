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
type lossyClient struct {
	promoterClient
	silent []term.ServerName
	// lose the answers to Promote.
	losePromoteAnswers bool
}

func (u *lossyClient) Fence(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	if slices.Contains(u.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return u.promoterClient.Fence(ctx, name, t)
}

func (u *lossyClient) Promote(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	status, err := u.promoterClient.Promote(ctx, name, t)
	if u.losePromoteAnswers || slices.Contains(u.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return status, err
}

// TestReservedTermHasOnePrimary: the answer of the first server promoted is lost, then
// that server is silent. Another one must not be promoted in the same term.
func TestReservedTermHasOnePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, 3)
		u := &lossyClient{promoterClient: promoterClient{g, "x"}, silent: []term.ServerName{"r0"}, losePromoteAnswers: true}
		p := &term.Promoter{ID: "x", Group: g.serverNames, Table: u, Servers: u, NewChangeID: func() term.ChangeID { return "1" }}
		_, err := p.Reserve(t.Context())
		assert.NilError(t, err)
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		u.losePromoteAnswers, u.silent = false, []term.ServerName{"r1"}
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		u.silent = nil
		r, err := p.PromoteReserved(t.Context(), "test", "r0")
		assert.NilError(t, err)
		assert.Equal(t, r.Primary, g.primaries[2])
		assert.Equal(t, g.violation, "")
		assert.NilError(t, p.RecordOutcome(t.Context()))
		assert.Equal(t, g.row.Record.Term, position.Term(2))
		time.Sleep(time.Second)
	})
}
