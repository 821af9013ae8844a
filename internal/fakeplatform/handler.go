package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Handler serves the platform's HTTP calls: those of DynamoDB by POST / and those of S3
// by GET and PUT /BUCKET/NAME. Faults are set by POST /fault, a VM is taken off the list
// by DELETE /vm/NAME, and GET /state shows everything.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", p.serveDynamo)
	mux.HandleFunc("GET /{bucket}/{name...}", p.serveObject)
	mux.HandleFunc("PUT /{bucket}/{name...}", p.serveObjectPut)
	mux.HandleFunc("POST /fault", p.serveFault)
	mux.HandleFunc("DELETE /vm/{name}", p.serveRemoveVM)
	mux.HandleFunc("GET /state", p.serveState)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set("X-Amzn-Requestid", id)
		w.Header().Set("X-Amz-Request-Id", id)
		mux.ServeHTTP(w, r)
	})
}

// serveFault sets a fault for the named calls, or for all if none is named. Durations
// are in Go's notation.
func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Calls []Call    `json:"calls"`
		Kind  FaultKind `json:"kind"`
		After int       `json:"after"`
		Times int       `json:"times"`
		Delay string    `json:"delay"`
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := Fault{Kind: request.Kind, After: request.After, Times: request.Times}
	if request.Delay != "" {
		delay, err := time.ParseDuration(request.Delay)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fault.Delay = delay
	}
	if !fault.Kind.valid() || !validCalls(request.Calls) {
		http.Error(w, "no such kind of fault or call", http.StatusBadRequest)
		return
	}
	p.SetFaults(fault, request.Calls...)
}

func (k FaultKind) valid() bool {
	switch k {
	case None, Down, Slow, LostAnswer, LostRequest, Conflict:
		return true
	}
	return false
}

func validCalls(list []Call) bool {
	for _, c := range list {
		switch c {
		case TableGet, TablePut, TableList, StoreGet, StorePut:
		default:
			return false
		}
	}
	return true
}

func (p *Platform) serveRemoveVM(_ http.ResponseWriter, r *http.Request) {
	p.RemoveVM(platform.VMName(r.PathValue("name")))
}

// rowState is a row as GET /state shows it.
type rowState struct {
	Key     platform.RowKey   `json:"key"`
	Version platform.Version  `json:"version"`
	Change  platform.ChangeID `json:"change"`
	Body    string            `json:"body"`
}

// objectState is an object as GET /state shows it.
type objectState struct {
	Name platform.ObjectName `json:"name"`
	// Size is in bytes.
	Size int `json:"size"`
}

func (p *Platform) serveState(w http.ResponseWriter, _ *http.Request) {
	rows, objects, faults := p.state()
	writeJSON(w, http.StatusOK, struct {
		Rows    []rowState         `json:"rows"`
		Objects []objectState      `json:"objects"`
		Faults  map[Call]FaultKind `json:"faults"`
		Counts  map[Call]int       `json:"counts"`
	}{rows, objects, faults, p.Counts()})
}

func (p *Platform) state() ([]rowState, []objectState, map[Call]FaultKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []rowState{}
	for key := range p.rows {
		r := p.newest(key)
		rows = append(rows, rowState{Key: r.Key, Version: r.Version, Change: r.Change, Body: string(r.Body)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	objects := []objectState{}
	for name, body := range p.store {
		objects = append(objects, objectState{Name: name, Size: len(body)})
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	faults := map[Call]FaultKind{}
	for call, f := range p.faults {
		faults[call] = f.Kind
	}
	return rows, objects, faults
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
