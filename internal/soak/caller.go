package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	mainKey = "key-main"
	hotKey  = "key-hot"
	// hotRate and hotBurst are the limits of the workspace that asks too much.
	// writersPerCrowd is how many writers a crowd has.
	writersPerCrowd = 4
	hotRate         = 30
	hotBurst        = 30
	// staleMs is the bound of the route whose reads may be old.
	staleMs = 1500
	// within is how long callers wait: longer than a route's time-out.
	within = 2 * time.Second
)

func firstDocument() standin.Document {
	return standin.Document{
		Version: 1, Connections: 24, TransactionIdleMs: 3000,
		Routes: []standin.Route{
			{Database: "strict", Service: serviceName, Kind: "primary", TimeoutMs: 800},
			{Database: "bounded", Service: serviceName, Kind: "bounded_staleness", TimeoutMs: 800, MaxStalenessMs: staleMs, Priority: 2},
			{Database: "own", Service: serviceName, Kind: "read_your_writes", TimeoutMs: 800, MaxStalenessMs: 2500, Priority: 1},
		},
		Tenants: []standin.Tenant{
			{Name: "main", Keys: []string{mainKey}, Rate: 5000, Burst: 5000},
			{Name: "hot", Keys: []string{hotKey}, Rate: hotRate, Burst: hotBurst},
			{Name: "gone", Keys: []string{"key-gone-0"}, Rate: 100, Burst: 100},
		},
	}
}

// withdraw takes the key of workspace "gone" away and grants it the next.
func (s *Soak) withdraw() string {
	key := ""
	s.change(func(d *standin.Document) {
		t := &d.Tenants[2]
		key = t.Keys[0]
		t.Keys = []string{fmt.Sprint("key-gone-", d.Version)}
		replaceDeparting(d, d.Version)
	})
	s.check.withdrawn(key)
	return key
}

// callers are the loops of the run's clients.
func (s *Soak) callers() []func(halt <-chan struct{}) {
	var list []func(<-chan struct{})
	crowd := max(s.Crowd, 1)
	for i := range s.writers() {
		list = append(list, func(halt <-chan struct{}) { s.writer(i, halt) })
	}
	for i := range 3 * crowd {
		list = append(list, func(halt <-chan struct{}) { s.reader(i, "strict", 0, halt) })
		list = append(list, func(halt <-chan struct{}) { s.reader(i, "bounded", staleMs*time.Millisecond, halt) })
	}
	for i := range s.Clients {
		list = append(list, func(halt <-chan struct{}) { s.mixed(s.writers()+i, halt) })
	}
	for range 3 {
		list = append(list, s.hot)
	}
	for i := range s.VMs {
		list = append(list, func(halt <-chan struct{}) { s.keeper(i, halt) })
	}
	if s.Faults == EvacuationFaults {
		list = append(list, s.restrictedReader)
	}
	return append(list, s.gone, s.departing)
}

// writers returns how many writers there are beside the clients.
func (s *Soak) writers() int { return writersPerCrowd * max(s.Crowd, 1) }

// session is a caller's session that is opened again when it ends.
type session struct {
	soak     *Soak
	client   *standin.Client
	vm       *process
	database string
	key      string
	uses     int
	// stays on its VM as long as it may.
	stays  bool
	random *rand.Rand
	// hurries is true if it isn't checked before each use whether the VM has closed the session.
	hurries bool
	// values and plans are what was acknowledged in the session; neither is changed in place. wrote are the
	// values of the items that were.
	values, plans map[string]string
	wrote         map[string]written
	// transaction is the id of the BEGIN of the open transaction, and writes counts what was written in it.
	transaction string
	writes      int
}

// usesMost is after how many operations a caller roams to another VM.
const usesMost = 25

// open gives a session in which a request can be sent, nil if there is none now.
func (c *session) open() *standin.Client {
	if c.client != nil && (c.uses > usesMost && !c.stays || !c.hurries && c.client.IsClosed()) {
		c.close()
	}
	if c.client != nil {
		c.uses++
		return c.client
	}
	ready := c.soak.balanced()
	if len(ready) == 0 {
		return nil
	}
	c.vm = ready[c.random.IntN(len(ready))]
	client, a := standin.Dial(c.vm.callers(), c.database, c.key, within)
	if client == nil {
		c.soak.check.count(a.Outcome)
		return nil
	}
	c.client, c.uses = client, 0
	c.values, c.plans, c.wrote, c.transaction = map[string]string{}, map[string]string{}, map[string]written{}, ""
	return client
}

func (c *session) close() {
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}

// do runs a statement; a session that didn't stay whole is given up.
func (c *session) do(client *standin.Client, workspace, text string) (string, standin.Answer) {
	id, began := c.soak.check.id(), time.Now()
	keyword, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	plan := ""
	if keyword == "EXECUTE" {
		plan = c.plans[name]
	}
	c.soak.expectations.Add(id, standin.Expectation{Text: text, Plan: plan, Values: c.values, Transaction: c.transaction, Writes: c.writes})
	a := client.Query(id, text, within)
	if workspace == "main" {
		c.soak.check.served(a.Outcome, time.Since(began))
	}
	done := a.Outcome == standin.Done
	switch {
	case keyword == "BEGIN" && done:
		c.transaction, c.writes = id, 0
	case keyword == "COMMIT", keyword == "ROLLBACK":
		c.transaction, c.writes = "", 0
	case keyword == "SET" && done:
		c.values = with(c.values, name, value)
	case keyword == "PREPARE" && done:
		c.plans = with(c.plans, name, value)
	case done && c.transaction != "" && (keyword == "WRITE" || strings.HasPrefix(plan, "WRITE")):
		c.writes++
	}
	state := "I"
	if c.transaction != "" {
		state = "T"
	}
	c.soak.answered(id, workspace, c.vm, text, state, keyword == "READ" || strings.HasPrefix(plan, "READ"), a)
	if a.Outcome == standin.Disconnected || a.Outcome == standin.Denied || a.Outcome == standin.Unasked {
		c.close()
	}
	return id, a
}

func with(values map[string]string, name, value string) map[string]string {
	values = maps.Clone(values)
	values[name] = value
	return values
}

func halted(halt <-chan struct{}) bool {
	select {
	case <-halt:
		return true
	default:
		return false
	}
}

// writer counts up an item of its own and reads it back in the same session.
func (s *Soak) writer(number int, halt <-chan struct{}) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(100+number)))
	c := &session{soak: s, database: "own", key: mainKey, random: r}
	defer c.close()
	generation, value := 0, 0
	for !halted(halt) {
		s.pause(time.Duration(r.IntN(20)) * time.Millisecond)
		client := c.open()
		if client == nil {
			continue
		}
		item := fmt.Sprintf("w%d-%d", number, generation)
		value++
		term := s.ledger.NewestTerm()
		id, outcome := c.write(client, item, value, r.IntN(4) == 0)
		s.check.wrote(id, number, item, value, term, outcome)
		if outcome == standin.Unknown || outcome == standin.Disconnected {
			// What is under way may come later than what follows, so the item is left.
			generation, value = generation+1, 0
			c.close()
			continue
		}
		if outcome != standin.Done || c.client == nil {
			continue
		}
		_, a := c.do(client, "main", "READ "+item)
		if a.Outcome == standin.Done {
			s.saw("own", item, value, term, a)
		}
	}
}

// write writes once, alone or in a transaction, and gives the id under which it commits.
func (c *session) write(client *standin.Client, item string, value int, transaction bool) (string, standin.Outcome) {
	text := c.statement("WRITE", item+" "+dataOf(item, value))
	if !transaction {
		id, a := c.do(client, "main", text)
		return id, a.Outcome
	}
	for _, step := range []string{"BEGIN", "READ " + item, text} {
		if id, a := c.do(client, "main", step); a.Outcome != standin.Done {
			c.rollBack(client)
			// Its commit was never asked for.
			return id, standin.NotApplied
		}
	}
	id, a := c.do(client, "main", "COMMIT")
	return id, a.Outcome
}

// reader reads the writers' items and checks how old they are.
func (s *Soak) reader(number int, database string, bound time.Duration, halt <-chan struct{}) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(200+number)))
	c := &session{soak: s, database: database, key: mainKey, random: r}
	defer c.close()
	for !halted(halt) {
		s.pause(time.Duration(r.IntN(25)) * time.Millisecond)
		client := c.open()
		if client == nil {
			continue
		}
		item, least, term := s.check.newest(r.IntN(s.writers()), bound)
		if item == "" {
			continue
		}
		_, a := c.do(client, "main", "READ "+item)
		if a.Outcome == standin.Done {
			s.saw(database, item, least, term, a)
		}
	}
}

// saw checks a read against the least that it may show, unless a failover came between.
func (s *Soak) saw(database, item string, least int, term int64, a standin.Answer) {
	row := ""
	if len(a.Rows) > 0 {
		row = a.Rows[0]
	}
	number, _, _ := strings.Cut(row, " ")
	got, _ := strconv.Atoi(number)
	if row != "" && row != dataOf(item, got) {
		s.broken("a read shows what was written", "%s: item %s is %.60q", database, item, row)
		return
	}
	if got < least && s.ledger.NewestTerm() == term {
		s.broken("reads are fresh", "%s: item %s is %d, at least %d was acknowledged in term %d", database, item, got, least, term)
	}
}

// hot asks for more than its workspace may.
func (s *Soak) hot(halt <-chan struct{}) {
	r := rand.New(rand.NewPCG(s.Seed, 300))
	c := &session{soak: s, database: "bounded", key: hotKey, random: r}
	defer c.close()
	for !halted(halt) {
		s.pause(10 * time.Millisecond)
		client := c.open()
		if client == nil {
			continue
		}
		sent := time.Now()
		if _, a := c.do(client, "hot", "READ hot"); a.Outcome == standin.Done {
			s.check.hot(sent)
		}
	}
}

// gone uses keys until and after they are withdrawn.
func (s *Soak) gone(halt <-chan struct{}) {
	r := rand.New(rand.NewPCG(s.Seed, 400))
	c := &session{soak: s, database: "bounded", stays: true, random: r}
	defer c.close()
	for !halted(halt) {
		s.pause(20 * time.Millisecond)
		if c.client == nil {
			s.mu.Lock()
			current := s.document.Tenants[2].Keys[0]
			s.mu.Unlock()
			c.key = s.check.goneKey(r, current)
		}
		client := c.open()
		if client == nil {
			continue
		}
		sent := time.Now()
		if _, a := c.do(client, "gone", "READ gone"); a.Outcome == standin.Done && s.check.late(c.key, sent) {
			s.broken("a withdrawn key stops working", "%s let a request run %s after it was withdrawn, at %s", c.key, withdrawWithin, c.vm.name)
		}
	}
}
