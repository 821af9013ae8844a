package upstream

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// emptyTable is a table without rows.
type emptyTable struct{ platform.Table }

func (emptyTable) Get(_ context.Context, key platform.RowKey) (platform.Row, error) {
	return platform.Row{}, platform.ErrNoRow.New("row %s", key)
}

// The first record must be based on reports of a majority of the servers: a VM with
// fewer reports may know only an old term, or none, and could then reserve the current
// term again.
func TestFirstRecordNeedsMajority(t *testing.T) {
	g := &Group{
		Upstream: platform.Upstream{Name: "g"}, Table: emptyTable{}, Logger: log.NewNopLogger(),
		members: map[platform.ServerName]*member{}, termStarts: map[position.Term]position.TermStart{}, changed: make(chan struct{}),
	}
	for _, name := range []platform.ServerName{"a", "b", "c"} {
		g.members[name] = &member{server: platform.Server{Name: name}, pool: &Pool{}}
	}
	report := func(name platform.ServerName, r Role, newest position.Term) {
		g.updateStatus(name, Status{Server: name, Role: r, Term: newest, Starts: []position.TermStart{{Term: newest}}}, true)
	}
	read := func() (term.Row, error) { return termRecord{g}.Read(t.Context()) }
	_, err := read()
	assert.Assert(t, errorx.IsOfType(err, term.ErrUnavailable), "%v", err)
	report("c", Replica, 1)
	_, err = read()
	assert.Assert(t, errorx.IsOfType(err, term.ErrUnavailable), "%v", err)
	report("a", Primary, 2)
	row, err := read()
	assert.NilError(t, err)
	assert.Equal(t, row.Record.Term, position.Term(2))
	assert.Equal(t, row.Record.Primary, term.ServerName("a"))
}
