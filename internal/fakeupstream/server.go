package fakeupstream

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// ServerName names a server within its group.
type ServerName string

// Role is what a server does in its group.
type Role string

// The roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Defaults of a server's fields.
const (
	defaultSlots       = 3
	defaultConnections = 24
)

// Server is one database server. Its exported fields are set before Group.Run.
type Server struct {
	Name     ServerName
	Listener net.Listener
	// Listen opens the listener again after Kill or Refuse; nil does it by TCP at
	// the same address.
	Listen func() (net.Listener, error)
	// Slots is how many statements run at once; 0 means 3.
	Slots int
	// Connections is the limit of open connections; 0 means 24.
	Connections int
	// Service is how long each statement holds its slot besides its own work.
	Service time.Duration
	// ConnectDelay is how long a new connection takes before its first answer.
	ConnectDelay time.Duration
	// Lag is how long after receiving an entry a replica applies it.
	Lag time.Duration
	// Password asks clients for it by SCRAM-SHA-256; empty asks for none.
	Password string
	// Unnumbered servers don't number their answers.
	Unnumbered bool

	group *Group
	slots *semaphore.Weighted

	// All below is guarded by group.mu.

	// term is the highest accepted; never falls.
	term position.Term
	// leads is the term this server is primary of, or 0.
	leads position.Term
	// followed is the term in which source is replicated from.
	followed position.Term
	source   *Server
	// matched tells that log is a prefix of the source's.
	matched bool
	// log holds the entry of offset n at index n-1. It is never overwritten in
	// place, so a copy of the slice stays valid.
	log    []received
	starts []position.TermStart
	// applied counts the entries in the view; never above len(log).
	applied position.Offset
	// hurry applies without lag while a promotion waits.
	hurry   bool
	view    *view
	work    *work
	retired []*view
	busy    int

	sessions map[*session]bool
	// most is the highest count of admitted sessions so far.
	most            int
	lastID          ConnectionID
	lastTransaction TransactionID
	faults          faults
	running         sync.WaitGroup
}

// received is a log entry with the time it came.
type received struct {
	*Entry
	at time.Time
}

// Status is what a server tells of itself.
type Status struct {
	Server   ServerName    `json:"server"`
	Role     Role          `json:"role"`
	Term     position.Term `json:"term"`
	Received string        `json:"received"`
	Applied  string        `json:"applied"`
	Slots    int           `json:"slots"`
	Busy     int           `json:"busy"`
	// Starts are the beginnings of the newest terms in the log.
	Starts []position.TermStart `json:"starts"`
}

// statusStarts bounds the term starts in a status.
const statusStarts = 8

func (s *Server) prepare(g *Group) {
	s.group = g
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	s.slots = semaphore.NewWeighted(int64(s.Slots))
	s.sessions = map[*session]bool{}
	s.view = openView(s.Name)
	s.term = 1
}

func (s *Server) closeStores() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stepDown()
	for _, v := range append(s.retired, s.view) {
		v.close()
	}
}

// Status is the server's present state.
func (s *Server) Status() Status {
	s.group.open()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.status()
}

// Applied is the position up to which reads see the log.
func (s *Server) Applied() position.Position {
	s.group.open()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.appliedPosition()
}

// Log is the server's own log, received entries included.
func (s *Server) Log() []Entry {
	s.group.open()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.entries()
}

func (s *Server) entries() []Entry {
	list := make([]Entry, len(s.log))
	for i, r := range s.log {
		list[i] = *r.Entry
	}
	return list
}

func (s *Server) status() Status {
	role := Replica
	if s.leads > 0 {
		role = Primary
	}
	return Status{
		Server: s.Name, Role: role, Term: s.term,
		Received: s.received().String(), Applied: s.appliedPosition().String(),
		Slots: s.Slots, Busy: s.busy,
		Starts: append([]position.TermStart(nil), s.starts[max(0, len(s.starts)-statusStarts):]...),
	}
}

func (s *Server) statusText() string {
	text, _ := json.Marshal(s.status())
	return string(text)
}

func (s *Server) received() position.Position { return s.at(position.Offset(len(s.log))) }

func (s *Server) appliedPosition() position.Position { return s.at(s.applied) }

// at gives the position of an offset in the log: a term counts from its start.
func (s *Server) at(o position.Offset) position.Position {
	p := position.Position{Offset: o}
	for _, start := range s.starts {
		if start.Offset <= o {
			p.Term = max(p.Term, start.Term)
		}
	}
	return p
}
