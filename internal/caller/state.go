package caller

import (
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// floorState is what a dump shows of the floors of one workspace's sessions in a group.
type floorState struct {
	// Sessions counts all of them, Known those that have a floor.
	Sessions int    `json:"sessions"`
	Known    int    `json:"with-floor"`
	Lowest   string `json:"lowest,omitempty"`
	Highest  string `json:"highest,omitempty"`

	lowest, highest position.Position
}

// floorStates are by workspace and group, so that a dump doesn't grow with the sessions.
type floorStates map[platform.WorkspaceName]map[platform.UpstreamName]*floorState

// State is what a dump shows of the callers. Each session is looked at on its own, so
// the floors are not all of one moment.
func (s *Server) State() any {
	byWorkspace, floors := map[platform.WorkspaceName]int{}, floorStates{}
	busy := 0
	for _, session := range s.list() {
		byWorkspace[session.workspace.Name]++
		floors.add(session)
		if session.active.Load() {
			busy++
		}
	}
	return struct {
		Draining bool                           `json:"draining"`
		Busy     int                            `json:"busy-sessions"`
		Sessions map[platform.WorkspaceName]int `json:"sessions"`
		Floors   floorStates                    `json:"floors"`
	}{s.Draining(), busy, byWorkspace, floors}
}

func (f floorStates) add(s *Session) {
	workspace, group := s.workspace.Name, s.database.Upstream
	if f[workspace] == nil {
		f[workspace] = map[platform.UpstreamName]*floorState{}
	}
	if f[workspace][group] == nil {
		f[workspace][group] = &floorState{}
	}
	s.mu.Lock()
	held, known := s.floors[group]
	s.mu.Unlock()
	f[workspace][group].add(held.position, known)
}

func (f *floorState) add(p position.Position, known bool) {
	f.Sessions++
	if !known {
		return
	}
	if f.Known == 0 || p.Compare(f.lowest) < 0 {
		f.lowest, f.Lowest = p, p.String()
	}
	if f.Known == 0 || p.Compare(f.highest) > 0 {
		f.highest, f.Highest = p, p.String()
	}
	f.Known++
}

// setFloor changes a floor for the session's task.
func (s *Session) setFloor(name platform.UpstreamName, f floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors[name] = f
}
