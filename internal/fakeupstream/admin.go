package fakeupstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// FaultName names a fault in the admin protocol.
type FaultName string

// The faults, with the fields of the request that they read.
const (
	// FaultCut reads on.
	FaultCut FaultName = "cut"
	// FaultLag reads duration.
	FaultLag FaultName = "lag"
	// FaultKill reads on and lose-tail; off starts the server again.
	FaultKill FaultName = "kill"
	// FaultFreeze reads on.
	FaultFreeze FaultName = "freeze"
	// FaultSilence reads nothing.
	FaultSilence FaultName = "silence"
	// FaultLate reads duration.
	FaultLate FaultName = "late"
	// FaultDropAnswer reads nothing.
	FaultDropAnswer FaultName = "drop-answer"
	// FaultRefuse reads on.
	FaultRefuse FaultName = "refuse"
	// FaultSlow reads duration.
	FaultSlow FaultName = "slow"
	// FaultConnectDelay reads duration.
	FaultConnectDelay FaultName = "connect-delay"
	// FaultDuplicate reads share, duration (the longest delay) and seed.
	FaultDuplicate FaultName = "duplicate"
)

// FaultRequest is the body of POST /fault.
type FaultRequest struct {
	Server ServerName `json:"server"`
	Fault  FaultName  `json:"fault"`
	On     bool       `json:"on"`
	// Duration in Go's notation, as 250ms.
	Duration string `json:"duration"`
	// LoseTail is how many of the last log entries are lost in a kill.
	LoseTail int `json:"lose-tail"`
	// Share of the answers, from 0 to 1.
	Share float64 `json:"share"`
	Seed  uint64  `json:"seed"`
}

// Fault switches a fault. A request that can't be understood is ErrFault.
func (g *Group) Fault(r FaultRequest) error {
	g.open()
	s := g.Server(r.Server)
	if s == nil {
		return ErrFault.New("no server %q", r.Server)
	}
	d, err := r.duration()
	if err != nil {
		return err
	}
	switch r.Fault {
	case FaultCut:
		s.Cut(r.On)
	case FaultLag:
		s.SetLag(d)
	case FaultKill:
		if r.On {
			s.Kill(r.LoseTail)
		} else {
			s.Start()
		}
	case FaultFreeze:
		s.Freeze(r.On)
	case FaultSilence:
		s.Silence()
	case FaultLate:
		s.SetLate(d)
	case FaultDropAnswer:
		s.DropAnswer()
	case FaultRefuse:
		s.Refuse(r.On)
	case FaultSlow:
		s.SetService(d)
	case FaultConnectDelay:
		s.SetConnectDelay(d)
	case FaultDuplicate:
		s.SetDuplicates(Duplicates{Share: r.Share, MaxDelay: d, Seed: r.Seed})
	default:
		return ErrFault.New("no fault %q", r.Fault)
	}
	return nil
}

func (r FaultRequest) duration() (time.Duration, error) {
	if r.Duration == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(r.Duration)
	if err != nil {
		return 0, ErrFault.Wrap(err, "duration")
	}
	return d, nil
}

// Admin serves POST /fault, GET /state and GET /history.
func (g *Group) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", g.handleFault)
	mux.HandleFunc("GET /state", g.handleState)
	mux.HandleFunc("GET /history", g.handleHistory)
	return mux
}

func (g *Group) handleFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		err = g.Fault(request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Group) handleState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.State())
}

func (g *Group) handleHistory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	for _, e := range g.History() {
		_ = encoder.Encode(struct {
			Position   string       `json:"position"`
			Server     ServerName   `json:"server"`
			Connection ConnectionID `json:"connection"`
			At         time.Time    `json:"at"`
			Statements []Statement  `json:"statements"`
		}{e.Position.String(), e.Server, e.Connection, e.At, e.Statements})
	}
}

// ServerState is what GET /state tells of a server.
type ServerState struct {
	Status
	Connections int `json:"connections"`
	// MostConnections is the highest count of Connections so far.
	MostConnections int      `json:"most-connections"`
	Killed          bool     `json:"killed"`
	Frozen          bool     `json:"frozen"`
	Refusing        bool     `json:"refusing"`
	Cut             bool     `json:"cut"`
	Lag             string   `json:"lag"`
	Late            string   `json:"late"`
	Service         string   `json:"service"`
	Starts          []string `json:"starts"`
}

// State tells of all servers.
func (g *Group) State() []ServerState {
	g.open()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []ServerState
	for _, s := range g.Servers {
		state := ServerState{
			Status: s.status(), Connections: s.open(), MostConnections: s.most,
			Killed: s.faults.killed, Frozen: s.faults.frozen, Refusing: s.faults.refusing, Cut: s.isCut(),
			Lag: s.Lag.String(), Late: s.faults.late.String(), Service: s.Service.String(),
		}
		for _, start := range s.starts {
			state.Starts = append(state.Starts, s.at(start.Offset).String())
		}
		list = append(list, state)
	}
	return list
}

// isCut tells whether no other server's entries reach this one.
func (s *Server) isCut() bool {
	for _, other := range s.group.Servers {
		if other != s && !s.group.link(other, s).Cut {
			return false
		}
	}
	return true
}
