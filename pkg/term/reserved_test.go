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

// lossyClient is a promoterClient for which some servers don't respond.
type lossyClient struct {
	promoterClient
	silent []term.ServerName
	// losePromoteAnswers drops the responses to Promote, which still takes effect.
	losePromoteAnswers bool
}

func (c *lossyClient) Fence(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	if slices.Contains(c.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return c.promoterClient.Fence(ctx, name, t)
}

func (c *lossyClient) Promote(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	status, err := c.promoterClient.Promote(ctx, name, t)
	if c.losePromoteAnswers || slices.Contains(c.silent, name) {
		return term.Status{}, term.ErrUnavailable.New("silent")
	}
	return status, err
}

// TestReservedTermHasOnePrimary loses the response of the first server that is promoted and
// then silences that server. Another server must not be promoted in the same term.
func TestReservedTermHasOnePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, 3)
		client := &lossyClient{promoterClient: promoterClient{g, "x"}, silent: []term.ServerName{"r0"}, losePromoteAnswers: true}
		p := &term.Promoter{ID: "x", Group: g.serverNames, Table: client, Servers: client, NewChangeID: func() term.ChangeID { return "1" }}
		_, err := p.Reserve(t.Context())
		assert.NilError(t, err)
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		client.losePromoteAnswers, client.silent = false, []term.ServerName{"r1"}
		_, err = p.PromoteReserved(t.Context(), "test", "r0")
		assert.Assert(t, err != nil)
		client.silent = nil
		r, err := p.PromoteReserved(t.Context(), "test", "r0")
		assert.NilError(t, err)
		assert.Equal(t, r.Primary, g.primaries[2])
		assert.Equal(t, g.violation, "")
		assert.NilError(t, p.RecordOutcome(t.Context()))
		assert.Equal(t, g.row.Record.Term, position.Term(2))
		time.Sleep(time.Second)
	})
}
