package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// tableTimeout bounds one call to the table during a promotion.
const tableTimeout = 500 * time.Millisecond

// termRecord stores the group's record of terms as a row of the platform's table.
type termRecord struct {
	group *Group
}

func (r termRecord) key() platform.RowKey {
	return platform.RowKey("group/" + string(r.group.Upstream.Name))
}

// Read returns the stored record; if there is none yet, one made from the reports of a
// majority of the servers. With fewer reports it returns ErrUnavailable, since the
// group may have a higher term than these servers know.
func (r termRecord) Read(ctx context.Context) (term.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := r.group.Table.Get(ctx, r.key())
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return r.group.initialTermRow()
	}
	if err != nil {
		return term.Row{}, term.ErrUnavailable.Wrap(err, "record of upstream %s", r.group.Upstream.Name)
	}
	return parseTermRow(row)
}

// Swap writes the record if it is still at row.Version.
func (r termRecord) Swap(ctx context.Context, row term.Row) (term.Row, error) {
	body, err := json.Marshal(row.Record)
	if err != nil {
		return term.Row{}, term.ErrUnavailable.Wrap(err, "record")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	stored, err := r.group.Table.Put(ctx, platform.Row{
		Key: r.key(), Version: platform.Version(row.Version), Change: platform.ChangeID(row.ChangeID), Body: body,
	})
	if err != nil {
		return term.Row{}, platform.TranslatePutError(err, r.key(), term.ErrConflict, term.ErrUnavailable, term.ErrOutcomeUnknown)
	}
	return parseTermRow(stored)
}

func parseTermRow(row platform.Row) (term.Row, error) {
	t := term.Row{Version: term.Version(row.Version), ChangeID: term.ChangeID(row.Change)}
	if err := json.Unmarshal(row.Body, &t.Record); err != nil {
		return term.Row{}, term.ErrUnavailable.Wrap(err, "row %s", row.Key)
	}
	if t.Record.Term < 0 || t.Record.ReservedTerm < 0 {
		return term.Row{}, term.ErrUnavailable.New("row %s has a negative term", row.Key)
	}
	return t, nil
}

// initialTermRow builds the first record from the servers' reports. Any majority of
// them knows each term that was ever active. It returns ErrUnavailable.
func (g *Group) initialTermRow() (term.Row, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.countUsable() < term.Majority(len(g.members)) || g.term == 0 {
		return term.Row{}, term.ErrUnavailable.New("record of upstream %s: none is stored yet, and too few servers are usable to create one", g.Upstream.Name)
	}
	r := term.Record{Term: g.term, State: term.Active, Starts: g.knownTermStarts()}
	if m := g.newestPrimary(); m != nil {
		r.Primary = term.ServerName(m.server.Name)
	}
	return term.Row{Record: r}, nil
}

// serverControl runs the statements that change terms on the group's servers.
type serverControl struct {
	group *Group
}

// Fence makes a server reject all terms before t.
func (c serverControl) Fence(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return c.query(ctx, name, fmt.Sprintf("SELECT savoryramp_fence(%d)", t))
}

// Promote makes a server that was fenced with t primary of t.
func (c serverControl) Promote(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return c.query(ctx, name, fmt.Sprintf("SELECT savoryramp_promote(%d)", t))
}

// Follow makes a server replicate from the primary of t.
func (c serverControl) Follow(ctx context.Context, name term.ServerName, t position.Term, primary term.ServerName) error {
	_, err := c.query(ctx, name, fmt.Sprintf("SELECT savoryramp_follow(%d, '%s')", t, primary))
	return err
}

// Status queries a server's status.
func (c serverControl) Status(ctx context.Context, name term.ServerName) (term.Status, error) {
	return c.query(ctx, name, statusQuery)
}

func (c serverControl) query(ctx context.Context, name term.ServerName, sql string) (term.Status, error) {
	c.group.mu.Lock()
	m := c.group.members[platform.ServerName(name)]
	c.group.mu.Unlock()
	if m == nil {
		return term.Status{}, ErrNoServer.New("upstream %s has no server %s", c.group.Upstream.Name, name)
	}
	s, err := m.watch.query(ctx, sql)
	if errorx.IsOfType(err, ErrStaleTerm) {
		return term.Status{}, term.ErrStale.Wrap(err, "server %s", name)
	}
	if err != nil {
		return term.Status{}, err
	}
	return term.Status{
		Server: name, IsPrimary: s.Role == Primary, Term: s.Term, Received: s.Received, Starts: s.Starts,
	}, nil
}
