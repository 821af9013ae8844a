package caller

import (
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// floorSummary summarizes, in a state dump, the floors (minimum log positions for
// reads) of one workspace's sessions for one upstream.
type floorSummary struct {
	// Sessions counts all sessions, WithFloor those with a floor.
	Sessions  int    `json:"sessions"`
	WithFloor int    `json:"with-floor"`
	Lowest    string `json:"lowest,omitempty"`
	Highest   string `json:"highest,omitempty"`

	lowestPosition, highestPosition position.Position
}

// floorSummaries are grouped by workspace and upstream, so that a dump doesn't grow
// with the number of sessions.
type floorSummaries map[platform.WorkspaceName]map[platform.UpstreamName]*floorSummary

// State returns the callers' part of a state dump. Sessions are read one after the
// other, so the floors aren't a consistent snapshot.
func (s *Server) State() any {
	byWorkspace, floors := map[platform.WorkspaceName]int{}, floorSummaries{}
	busy := 0
	for _, session := range s.openSessions() {
		byWorkspace[session.workspace.Name]++
		floors.add(session)
		if session.busy.Load() {
			busy++
		}
	}
	return struct {
		Draining bool                           `json:"draining"`
		Busy     int                            `json:"busy-sessions"`
		Sessions map[platform.WorkspaceName]int `json:"sessions"`
		Floors   floorSummaries                 `json:"floors"`
	}{s.Draining(), busy, byWorkspace, floors}
}

func (f floorSummaries) add(s *Session) {
	workspace, group := s.workspace.Name, s.database.Upstream
	if f[workspace] == nil {
		f[workspace] = map[platform.UpstreamName]*floorSummary{}
	}
	if f[workspace][group] == nil {
		f[workspace][group] = &floorSummary{}
	}
	s.mu.Lock()
	sessionFloor, known := s.floors[group]
	s.mu.Unlock()
	f[workspace][group].add(sessionFloor.position, known)
}

func (f *floorSummary) add(p position.Position, known bool) {
	f.Sessions++
	if !known {
		return
	}
	if f.WithFloor == 0 || p.Compare(f.lowestPosition) < 0 {
		f.lowestPosition, f.Lowest = p, p.String()
	}
	if f.WithFloor == 0 || p.Compare(f.highestPosition) > 0 {
		f.highestPosition, f.Highest = p, p.String()
	}
	f.WithFloor++
}

// setFloor sets the session's floor for an upstream. Only the session's goroutine calls
// it.
func (s *Session) setFloor(upstreamName platform.UpstreamName, f floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors[upstreamName] = f
}
