package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "ledger"
	// promotionTime is the time from an order to promote a server to its effect.
	promotionTime = 300 * time.Millisecond
	// replicationInterval is how often replicas receive what is new in the primary's log.
	replicationInterval = time.Millisecond
	// beatInterval is how often servers write their rows, and a row is removed after missedBeats of them.
	beatInterval = 1200 * time.Millisecond
	missedBeats  = 3
	slots        = 3
	queueLimit   = 24
)

// entry is a commit in a log.
type entry struct {
	term, number   int64
	id, item, data string
	receivedAt     time.Time
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// server is a server of the group. The group's mu guards its fields.
type server struct {
	group *group
	id    string
	zone  string
	// address is constant once the server has listened for the first time.
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	log      []entry
	// applied is the length of the part of the log that reads see, items what that part has written.
	applied int
	items   map[string]string
	// term is the newest one that the server knows, held the one with which it was paused.
	term, held int64
	// leads is true while the server acts as primary.
	leads bool
	// down is true while the process doesn't run, deaf while the server receives nothing of the primary's log.
	down, deaf bool
	sequence   int64
	born       int64
	beatAt     time.Time
	slots      chan struct{}
	waiting    int
}

// group is a primary and its replicas.
type group struct {
	record *record
	store  *store
	// syncReplicas replicas must have received a commit before it is acknowledged.
	syncReplicas int
	// work is how long a statement takes, applyLag how much later than received a commit is applied.
	work, applyLag time.Duration
	connections    int
	// zones has the last letters of the servers' zones, "abc" if it is empty.
	zones string
	// rowsOf returns the rows of an item that has more than one, nil for others.
	rowsOf func(item string) []string

	mu      sync.Mutex
	servers []*server
	// primary is the server that was promoted last.
	primary *server
	term    int64
	token   int64
	runs    int64
	// promotions are those that took effect.
	promotions []promotion
	stop       chan struct{}
}

// promotion is one that took effect. log is that of the promoted server at that moment.
type promotion struct {
	at  time.Time
	id  string
	log map[string]bool
}

// start starts n servers, of which the first is the primary.
func (g *group) start(ip string, n int) error {
	g.stop, g.term = make(chan struct{}), 1
	for i := range n {
		s := &server{group: g, id: fmt.Sprintf("i-%d", i+1), zone: g.zoneOf(i), address: ip + ":0", items: map[string]string{}, term: 1, slots: make(chan struct{}, slots)}
		if err := s.listen(); err != nil {
			return err
		}
		g.servers = append(g.servers, s)
	}
	g.primary = g.servers[0]
	g.primary.leads = true
	go g.replicate()
	go g.beat()
	return nil
}

func (g *group) zoneOf(i int) string { return zoneName(g.zones, i) }

// zoneName returns the name of the zone of machine or server i, by the last letters of the zones.
func zoneName(letters string, i int) string {
	if letters == "" {
		letters = "abc"
	}
	return "zone-" + string(letters[i%len(letters)])
}

func (g *group) end() {
	close(g.stop)
	for _, s := range g.servers {
		s.crash()
	}
}

func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	s.listener, s.conns, s.address, s.down, s.born = listener, map[net.Conn]bool{}, listener.Addr().String(), false, time.Now().UnixMilli()
	s.group.mu.Unlock()
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return nil
}

// crash ends the server's process. Its log stays.
func (s *server) crash() {
	g := s.group
	g.mu.Lock()
	if s.down {
		g.mu.Unlock()
		return
	}
	s.down, s.held = true, 0
	listener, conns := s.listener, s.conns
	s.conns = nil
	g.mu.Unlock()
	_ = listener.Close()
	for nc := range conns {
		_ = nc.Close()
	}
	g.record.say("server %s: crashed, its log ends at %s", s.id, s.end())
}

// restart starts a crashed server again with its log, as a replica if another server was promoted.
func (s *server) restart() error {
	g := s.group
	g.mu.Lock()
	s.leads = s.leads && g.primary == s
	s.sequence = 0
	leads := s.leads
	g.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	g.record.say("server %s: runs again, primary %v, its log ends at %s", s.id, leads, s.end())
	s.writeRow()
	return nil
}

func (s *server) end() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.received()
}

// received is the end of the log; the group's mu is held.
func (s *server) received() string {
	if n := len(s.log); n > 0 {
		return s.log[n-1].position()
	}
	return "1.0"
}

// position is the end of the applied part of the log; the group's mu is held.
func (s *server) position() string {
	if s.applied > 0 {
		return s.log[s.applied-1].position()
	}
	return "1.0"
}

// covers reports whether the applied part of the log has a position; the group's mu is held.
func (s *server) covers(text string) bool {
	var term, number, ownTerm, ownNumber int64
	if _, err := fmt.Sscanf(strings.ReplaceAll(text, ".", " "), "%d %d", &term, &number); err != nil {
		return false
	}
	_, _ = fmt.Sscanf(strings.ReplaceAll(s.position(), ".", " "), "%d %d", &ownTerm, &ownNumber)
	return ownTerm > term || ownTerm == term && ownNumber >= number
}

// has reports whether the log has a commit; the group's mu is held.
func (s *server) has(e entry) bool {
	i := int(e.number) - 1
	return i < len(s.log) && s.log[i].term == e.term && s.log[i].id == e.id
}

// append adds a commit to the primary's log; the group's mu is held.
func (s *server) append(id, item, data string) entry {
	e := entry{term: s.term, number: int64(len(s.log)) + 1, id: id, item: item, data: data, receivedAt: time.Now()}
	s.log = append(s.log, e)
	s.apply(len(s.log))
	return e
}

// apply applies the log up to n entries; the group's mu is held.
func (s *server) apply(n int) {
	for ; s.applied < n; s.applied++ {
		s.items[s.log[s.applied].item] = s.log[s.applied].data
	}
}

// truncate rolls back all but the first n entries; the group's mu is held.
func (s *server) truncate(n int) {
	if n >= len(s.log) {
		return
	}
	s.log = slices.Clone(s.log[:n])
	applied := min(s.applied, n)
	s.applied, s.items = 0, map[string]string{}
	s.apply(applied)
}

// replicate passes the primary's log to the replicas until the group ends.
func (g *group) replicate() {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(replicationInterval):
		}
		g.mu.Lock()
		for _, s := range g.servers {
			if s.down || s.leads {
				continue
			}
			if p := g.primary; !p.down && p.leads && !s.deaf && s.held == 0 {
				common := min(len(s.log), len(p.log))
				for common > 0 && !p.has(s.log[common-1]) {
					common--
				}
				s.truncate(common)
				for _, e := range p.log[common:] {
					e.receivedAt = time.Now()
					s.log = append(s.log, e)
				}
				s.term = p.term
			}
			n := s.applied
			for n < len(s.log) && time.Since(s.log[n].receivedAt) >= g.applyLag {
				n++
			}
			s.apply(n)
		}
		g.mu.Unlock()
	}
}

// confirmed reports whether enough replicas have received a commit; the group's mu is held.
func (g *group) confirmed(p *server, e entry) bool {
	n := 0
	for _, s := range g.servers {
		if s != p && !s.down && s.has(e) {
			n++
		}
	}
	return n >= g.syncReplicas
}

// promote is the platform's promotion of a server.
func (g *group) promote(service, id string, token int64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.servers, func(s *server) bool { return s.id == id })
	if service != serviceName || i < 0 || g.servers[i].down || token < g.token {
		return http.StatusConflict
	}
	g.token = token
	s := g.servers[i]
	if g.primary == s && s.leads {
		return http.StatusOK
	}
	time.AfterFunc(promotionTime, func() { g.takeOver(s, token) })
	return http.StatusOK
}

// takeOver makes a server the primary of the next term with what it has received.
func (g *group) takeOver(s *server, token int64) {
	g.mu.Lock()
	if s.down || token < g.token || g.primary == s && s.leads {
		g.mu.Unlock()
		return
	}
	g.term++
	g.primary.leads = false
	g.primary, s.leads, s.term = s, true, g.term
	for _, other := range g.servers {
		// A promote ends the pauses of all replicas.
		other.held = 0
	}
	s.apply(len(s.log))
	log := map[string]bool{}
	for _, e := range s.log {
		log[e.id] = true
	}
	g.promotions = append(g.promotions, promotion{time.Now(), s.id, log})
	end := s.received()
	g.mu.Unlock()
	g.record.say("server %s: promoted, leads term %d with a log that ends at %s", s.id, g.term, end)
	s.writeRow()
}

// writeRow writes the server's row to the store.
func (s *server) writeRow() {
	g := s.group
	g.mu.Lock()
	if s.down {
		g.mu.Unlock()
		return
	}
	s.sequence++
	role := "replica"
	if s.leads {
		role = "primary"
	}
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":"ready","warmupRemainingMs":0,"databaseRole":%q,"sequence":%d,"born":%d}`,
		serviceName, s.address, s.zone, slots, role, s.sequence, s.born)
	s.beatAt = time.Now()
	g.mu.Unlock()
	g.store.put("servers", s.id, []byte(text))
}

// beat has the servers write their rows, and removes those of silent ones, until the group ends.
func (g *group) beat() {
	for _, s := range g.servers {
		s.writeRow()
	}
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, s := range g.servers {
			g.mu.Lock()
			age, down := time.Since(s.beatAt), s.down
			g.mu.Unlock()
			switch {
			case !down && age >= beatInterval:
				s.writeRow()
			case down && age >= missedBeats*beatInterval && g.store.remove("servers", s.id):
				g.record.say("store: row of server %s removed after %d intervals of silence", s.id, missedBeats)
			}
		}
	}
}
