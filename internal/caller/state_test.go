package caller

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// serverWithSessions registers sessions in three workspaces and two groups: a third has
// no floor, a third a queried one, and a third a floor from its own write.
func serverWithSessions(count int) *Server {
	s := &Server{}
	s.init()
	for i := range count {
		group := platform.UpstreamName(fmt.Sprint("group-", i%2))
		session := &Session{
			server: s, workspace: &platform.Workspace{Name: platform.WorkspaceName(fmt.Sprint("workspace-", i%3))},
			database: &platform.Database{Upstream: group}, floors: map[platform.UpstreamName]floor{"elsewhere": {position: position.Position{Term: 99}}},
		}
		if i/6%3 > 0 {
			session.setFloor(group, floor{position: position.Position{Term: position.Term(1 + i/6%2), Offset: position.Offset(i)}, fromOwnWrite: i/6%3 == 2})
		}
		s.register(session)
	}
	return s
}

// A state dump must not grow with the number of sessions, and must report the floors of
// each workspace and group.
func TestStateReportsFloorsByWorkspaceAndGroup(t *testing.T) {
	dump, err := json.Marshal(serverWithSessions(9_990).State())
	assert.NilError(t, err)
	assert.Assert(t, len(dump) < 1024, "%d bytes", len(dump))
	var got struct {
		Floors map[string]map[string]struct {
			Sessions        int
			WithFloor       int `json:"with-floor"`
			Lowest, Highest string
		}
	}
	assert.NilError(t, json.Unmarshal(dump, &got))
	for w := range 3 {
		for g := range 2 {
			summary := got.Floors[fmt.Sprint("workspace-", w)][fmt.Sprint("group-", g)]
			// The first session of this workspace and group: the number below 6 that is
			// w modulo 3 and g modulo 2.
			firstNumber := (4*w + 3*g) % 6
			assert.Equal(t, summary.Sessions, 1665)
			assert.Equal(t, summary.WithFloor, 1110)
			assert.Equal(t, summary.Lowest, fmt.Sprint("1/", 12+firstNumber))
			assert.Equal(t, summary.Highest, fmt.Sprint("2/", 9_978+firstNumber))
		}
	}
	assert.Equal(t, len(got.Floors), 3)
	assert.Equal(t, len(got.Floors["workspace-0"]), 2)
}

func TestStateIsDumpedWhileFloorsRise(t *testing.T) {
	s := serverWithSessions(60)
	var writers sync.WaitGroup
	for _, session := range s.openSessions() {
		writers.Go(func() {
			for i := range 100 {
				session.raiseFloor(session.database.Upstream, position.Position{Term: 3, Offset: position.Offset(i)})
			}
		})
	}
	for range 20 {
		_ = s.State()
	}
	writers.Wait()
	dump, err := json.Marshal(s.State())
	assert.NilError(t, err)
	var got struct {
		Floors map[string]map[string]struct{ Lowest string }
	}
	assert.NilError(t, json.Unmarshal(dump, &got))
	assert.Equal(t, got.Floors["workspace-0"]["group-0"].Lowest, "3/99")
}

func BenchmarkState(b *testing.B) {
	s := serverWithSessions(10_000)
	for b.Loop() {
		_ = s.State()
	}
}
