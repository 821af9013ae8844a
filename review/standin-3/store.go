package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is the platform's store in memory, and the API that promotes servers.
type store struct {
	// promote carries out a promotion and returns the status of the answer.
	promote func(service, id string, token int64) int
	record  *record
	// onConfirmed is called after each promotion that was confirmed, with the VM and the server.
	onConfirmed func(holder, id string)

	mu      sync.Mutex
	rows    map[string]row
	version int64
	changed chan struct{}
	// servers are the HTTP servers, one for each address; the store is at the newest one.
	servers []*http.Server
}

// maxRows is how many rows an answer has at most.
const maxRows = 500

func newStore(r *record) *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), record: r}
}

// serve answers calls on a free port of an address and returns "host:port".
func (s *store) serve(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /promotion", s.order)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// closeOld ends all addresses but the newest one.
func (s *store) closeOld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.servers) - 1
	for _, server := range s.servers[:last] {
		_ = server.Close()
	}
	s.servers = s.servers[last:]
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a row whatever its version is, as the operator and the servers do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
}

// remove deletes a row and reports whether there was one.
func (s *store) remove(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.rows[table+"//"+key]
	if !found || r.Tombstone {
		return false
	}
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Tombstone: true})
	return true
}

// set stores a row; s.mu is held.
func (s *store) set(r row) {
	s.rows[r.id()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any, version int64) {
	body["ver"], body["currentTimeMs"] = version, steadyMs()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range t.Expected {
		stored := s.rows[e.id()]
		if stored.Tombstone {
			stored.Version = 0
		}
		holds = holds && stored.Version == e.Version
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current}, s.version)
		return
	}
	s.version++
	for _, p := range t.Puts {
		p.Version = s.version
		s.set(p)
	}
	for _, p := range t.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Tombstone: true})
	}
	s.reply(w, http.StatusOK, map[string]any{}, s.version)
}

// changes returns the rows of a table that changed after a version, in the order of the changes; s.mu is held.
func (s *store) changes(table string, after int64) []row {
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return int(a.Version - b.Version) })
	return list
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(s.changes(q.Get("table"), 0), func(r row) bool {
		return r.Tombstone || r.Part != q.Get("part") || r.Key < q.Get("startKey") || q.Get("to") != "" && r.Key >= q.Get("to")
	})
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": list[:min(len(list), limit)], "morePages": len(list) > limit}, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		list, version, changed := s.changes(q.Get("table"), after), s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 || ended {
			s.reply(w, http.StatusOK, map[string]any{"rows": list}, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) order(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := s.promote(body.Service, body.ID, token)
	s.record.add("platform: POST /promotion service=%s id=%s by %s token %d -> %d", body.Service, body.ID, holder, token, status)
	w.WriteHeader(status)
	s.mu.Lock()
	onConfirmed := s.onConfirmed
	s.mu.Unlock()
	if status == http.StatusOK && onConfirmed != nil {
		_ = http.NewResponseController(w).Flush()
		onConfirmed(holder, body.ID)
	}
}

// setOnConfirmed sets what is called after each promotion that was confirmed.
func (s *store) setOnConfirmed(f func(holder, id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onConfirmed = f
}
