package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// hop is how long a message takes from one zone to another.
	hop = 1400 * time.Microsecond
	// catchUpInterval is how often a replica that has missed commits asks for them.
	catchUpInterval = 10 * time.Millisecond
)

// ledger is a group of servers whose commits are confirmed by replicas. All fields but those set by newLedger are
// guarded by mu.
type ledger struct {
	service                  string
	promotionTime, handshake time.Duration
	// applyLag is how much later than it was received a replica applies a commit.
	applyLag time.Duration
	// repeats makes the servers send some answers a second time, later.
	repeats bool
	// statementTime returns how long a statement on an item takes.
	statementTime              func(item string) time.Duration
	slots, limit, syncReplicas int
	record                     *record
	ids                        []string
	servers                    map[string]*ledgerServer
	stop                       chan struct{}
	tasks                      sync.WaitGroup

	mu       sync.Mutex
	primary  string
	term     int64
	token    int64
	sequence int
	// runs has the IDs of the statements that ran.
	runs map[string]bool
	// switched is called with mu held after a server has taken the lead.
	switched func(id string)
	// ordered is called with mu held when a promotion was ordered.
	ordered func(id string)
}

// ledgerCommit is an entry of a log.
type ledgerCommit struct {
	term   int64
	id     string
	writes [][2]string
}

// ledgerServer is one server of a group.
type ledgerServer struct {
	ledger   *ledger
	id, zone string
	listener net.Listener
	slots    chan struct{}

	// log is what the server has received, receivedAt when.
	log        []ledgerCommit
	receivedAt []time.Time
	term       int64
	// deaf is true while the server receives nothing, paused after PAUSE.
	deaf, paused, draining bool
	connections            map[net.Conn]bool
	// changed is closed and replaced when the server has received a commit, or a server has taken the lead.
	changed chan struct{}
}

// newLedger returns a group of three servers, one in each zone. The first one is the primary.
func newLedger(r *record, service string) *ledger {
	l := &ledger{
		service: service, promotionTime: 300 * time.Millisecond, handshake: 12 * time.Millisecond, applyLag: 8 * time.Millisecond, statementTime: func(string) time.Duration { return 6 * time.Millisecond },
		slots: 3, limit: 23, record: r, servers: map[string]*ledgerServer{}, runs: map[string]bool{}, stop: make(chan struct{}), term: 1, token: -1,
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		l.ids = append(l.ids, id)
		l.servers[id] = &ledgerServer{ledger: l, id: id, zone: zoneName(i), term: 1, slots: make(chan struct{}, l.slots), connections: map[net.Conn]bool{}, changed: make(chan struct{})}
	}
	l.primary = l.ids[0]
	return l
}

// start starts the servers.
func (l *ledger) start() error {
	for _, id := range l.ids {
		s := l.servers[id]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.listener = listener
		l.tasks.Go(s.accept)
		l.tasks.Go(s.catchUp)
	}
	return nil
}

// end ends the servers.
func (l *ledger) end() {
	close(l.stop)
	l.mu.Lock()
	for _, s := range l.servers {
		s.listener.Close()
		for c := range s.connections {
			c.Close()
		}
	}
	l.mu.Unlock()
	l.tasks.Wait()
}

// noteRun records that a statement has run.
func (l *ledger) noteRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = true
}

// hasRun reports whether a statement has run.
func (l *ledger) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// rows returns the servers' rows by ID.
func (l *ledger) rows() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	rows := map[string]string{}
	for id, s := range l.servers {
		role, state := "replica", "ready"
		if id == l.primary {
			role = "primary"
		}
		if s.draining {
			state = "draining"
		}
		text, _ := json.Marshal(map[string]any{
			"service": l.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "capacity": l.slots, "state": state,
			"warmupRemainingMs": 0, "databaseRole": role, "sequence": l.sequence, "born": 1,
		})
		rows[id] = string(text)
	}
	return rows
}

// promote orders a promotion. It reports whether the platform accepts the order.
func (l *ledger) promote(id string, token int64, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	accepted := s != nil && token >= l.token
	l.record.note("platform: POST /promotion %s %s with token %d of %s, accepted: %t", l.service, id, token, holder, accepted)
	if !accepted {
		return false
	}
	l.token = token
	if id == l.primary {
		return true
	}
	if l.ordered != nil {
		l.ordered(id)
	}
	time.AfterFunc(l.promotionTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.term++
		l.primary, s.term, s.paused = id, l.term, false
		l.record.note("server %s leads term %d with %d commits", id, l.term, len(s.log))
		for _, other := range l.servers {
			other.wake()
		}
		if l.switched != nil {
			l.switched(id)
		}
	})
	return true
}

// setDeaf makes a server receive nothing, or receive again.
func (l *ledger) setDeaf(id string, deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[id].deaf = deaf
	l.record.note("server %s receives nothing: %t", id, deaf)
}

// has reports whether a server's log has a commit. mu must be held.
func (s *ledgerServer) has(id string) bool {
	return slices.ContainsFunc(s.log, func(c ledgerCommit) bool { return c.id == id })
}

// wake tells those that wait for a change of the server. mu must be held.
func (s *ledgerServer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// receive copies what a server lacks of the primary's log up to a length. mu must be held.
func (s *ledgerServer) receive(from *ledgerServer, length int) {
	if s.deaf || s.paused || from.id != s.ledger.primary || s == from {
		return
	}
	common := 0
	for common < min(len(s.log), len(from.log)) && s.log[common].id == from.log[common].id && s.log[common].term == from.log[common].term {
		common++
	}
	if common < len(s.log) && length >= common {
		s.log, s.receivedAt = s.log[:common:common], s.receivedAt[:common:common]
	}
	for len(s.log) < min(length, len(from.log)) {
		s.log, s.receivedAt = append(s.log, from.log[len(s.log)]), append(s.receivedAt, time.Now())
	}
	s.term = from.term
	s.wake()
}

// catchUp receives what the server has missed, until the group ends.
func (s *ledgerServer) catchUp() {
	tick := time.NewTicker(catchUpInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ledger.stop:
			return
		case <-tick.C:
		}
		s.ledger.mu.Lock()
		primary := s.ledger.servers[s.ledger.primary]
		// What was sent a hop ago has arrived.
		length := 0
		for length < len(primary.log) && time.Since(primary.receivedAt[length]) >= hop {
			length++
		}
		s.receive(primary, length)
		s.ledger.mu.Unlock()
	}
}

// commit appends to the primary's log and sends the commit to the replicas. It returns false if the server has
// lost the lead before enough of them have confirmed it.
func (s *ledgerServer) commit(c ledgerCommit) (confirmed bool) {
	l := s.ledger
	l.mu.Lock()
	c.term = s.term
	s.log, s.receivedAt = append(s.log, c), append(s.receivedAt, time.Now())
	length, needed := len(s.log), l.syncReplicas
	l.mu.Unlock()
	confirmations := make(chan bool, len(l.ids))
	for _, id := range l.ids {
		if id == s.id {
			continue
		}
		replica := l.servers[id]
		time.AfterFunc(hop, func() {
			l.mu.Lock()
			replica.receive(s, length)
			l.mu.Unlock()
			l.tasks.Go(func() { replica.confirm(c.id, confirmations) })
		})
	}
	for range needed {
		select {
		case <-confirmations:
		case <-l.stop:
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.primary == s.id && s.term == c.term
}

// confirm waits until the server has a commit, and confirms it to the primary a hop later.
func (s *ledgerServer) confirm(id string, confirmations chan<- bool) {
	for {
		s.ledger.mu.Lock()
		found, changed := s.has(id), s.changed
		s.ledger.mu.Unlock()
		if found {
			time.Sleep(hop)
			confirmations <- true
			return
		}
		select {
		case <-changed:
		case <-s.ledger.stop:
			return
		}
	}
}

// applied returns how many commits the server has applied. mu must be held.
func (s *ledgerServer) applied() int {
	if s.id == s.ledger.primary {
		return len(s.log)
	}
	n := 0
	for n < len(s.log) && time.Since(s.receivedAt[n]) >= s.ledger.applyLag {
		n++
	}
	return n
}

// positionOf returns the position of a prefix of the log. mu must be held.
func (s *ledgerServer) positionOf(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", s.log[n-1].term, n)
}

// reached reports whether the applied log has a position. mu must be held.
func (s *ledgerServer) reached(text string) bool {
	before, after, _ := strings.Cut(text, ".")
	term, _ := strconv.ParseInt(before, 10, 64)
	number, _ := strconv.Atoi(after)
	n := s.applied()
	return number == 0 || number <= n && s.log[number-1].term <= term && s.log[n-1].term >= term
}

func (s *ledgerServer) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.ledger.tasks.Go(func() { s.serve(nc) })
	}
}

// ledgerSession is a connection to a server.
type ledgerSession struct {
	server   *ledgerServer
	prepared map[string]string
	// state is I, T or E. plain is true in a transaction that may write; begunTerm is the server's term then.
	state     string
	plain     bool
	begunTerm int64
	writes    [][2]string
	// recent has the latest answers, for those that are sent a second time.
	recent []string
}

func readMessage(in *bufio.Reader) (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\r\n")) {
		chunk, err := in.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, chunk...)
	}
	return string(line[:len(line)-2]), nil
}

func (s *ledgerServer) serve(nc net.Conn) {
	defer nc.Close()
	l := s.ledger
	l.mu.Lock()
	s.connections[nc] = true
	full := len(s.connections) > l.limit
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(s.connections, nc)
		l.mu.Unlock()
	}()
	in := bufio.NewReaderSize(nc, 64<<10)
	line, err := readMessage(in)
	f := strings.Fields(line)
	switch {
	case err != nil:
		return
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != l.service || len(f) > 3 && f[3] != s.id:
		fmt.Fprint(nc, "ERROR MISROUTED\r\n")
		return
	case full:
		fmt.Fprint(nc, "ERROR TOOMANY\r\n")
		return
	}
	s.occupy(l.handshake)
	c := &ledgerSession{server: s, prepared: map[string]string{}, state: "I"}
	if _, err := fmt.Fprint(nc, c.ready()); err != nil {
		return
	}
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		if again := c.repeatable(f[1], f[2]); again != "" {
			l.record.note("server %s: answers %d of the last messages a second time, before that to %s %s", s.id, strings.Count(again, "READY"), f[1], f[2])
			if _, err := fmt.Fprint(nc, again); err != nil {
				return
			}
		}
		answer, answered := c.execute(f[1], f[2])
		if !answered {
			return
		}
		if strings.HasPrefix(answer, "ERROR") && c.state == "T" {
			c.state = "E"
		}
		answer += "\r\n" + c.ready()
		c.recent = append(c.recent, answer)
		if _, err := fmt.Fprint(nc, answer); err != nil {
			return
		}
	}
}

// repeatable returns the answers that the server sends again when a client's statement arrives: the latest refusal
// for lag and those to the commands after it that aren't clients'. Each answer is sent twice at most.
func (c *ledgerSession) repeatable(id, text string) string {
	if !c.server.ledger.repeats || id == "-" || !c.canRun(text) {
		return ""
	}
	for i := len(c.recent) - 1; i >= 0; i-- {
		switch {
		case strings.HasPrefix(c.recent[i], "COMPLETE -"):
			continue
		case strings.HasPrefix(c.recent[i], "ERROR LAGGING") && i+2 < len(c.recent):
			again := strings.Join(c.recent[i:], "")
			c.recent = nil
			return again
		}
		break
	}
	return ""
}

// canRun reports whether the server has reached the position that a statement demands.
func (c *ledgerSession) canRun(text string) bool {
	rest, found := strings.CutPrefix(text, "AFTER ")
	position, _, _ := strings.Cut(rest, " ")
	c.server.ledger.mu.Lock()
	defer c.server.ledger.mu.Unlock()
	return !found || c.server.reached(position)
}

// occupy takes one of the server's slots for some time.
func (s *ledgerServer) occupy(d time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
}

func (c *ledgerSession) ready() string {
	l := c.server.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return "READY " + c.state + " " + c.server.positionOf(c.server.applied()) + "\r\n"
}

// leads reports whether the server leads, and its term.
func (c *ledgerSession) leads() (bool, int64) {
	l := c.server.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.primary == c.server.id, c.server.term
}

// execute runs a query. The second result is false if it gets no answer.
func (c *ledgerSession) execute(id, text string) (string, bool) {
	s := c.server
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, after, _ := strings.Cut(rest, " ")
		if !c.canRun("AFTER " + position) {
			return "ERROR LAGGING " + s.id, true
		}
		text = after
	}
	keyword, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && keyword != "ROLLBACK" {
		return "ERROR MALFORMED", true
	}
	leads, term := c.leads()
	switch keyword {
	case "SET", "DEALLOCATE":
		return "COMPLETE -", true
	case "RESET":
		c.prepared = map[string]string{}
		return "COMPLETE -", true
	case "PREPARE":
		name, plan, _ := strings.Cut(rest, " ")
		c.prepared[name] = plan
		return "COMPLETE -", true
	case "BEGIN":
		if rest == "" && !leads {
			return "ERROR READONLY " + s.id, true
		}
		c.state, c.plain, c.begunTerm, c.writes = "T", rest == "", term, nil
		return "COMPLETE -", true
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return "COMPLETE -", true
	case "STATUS", "DEMOTE", "PAUSE", "RESUME":
		return c.control(keyword, rest), true
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return c.statement(id, keyword, rest)
	}
	return "ERROR MALFORMED", true
}

// control runs STATUS, PAUSE and RESUME. DEMOTE changes nothing: no case needs it.
func (c *ledgerSession) control(keyword, rest string) string {
	s, l := c.server, c.server.ledger
	s.occupy(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	held, _ := strconv.ParseInt(rest, 10, 64)
	switch {
	case keyword == "PAUSE" && held > s.term:
		s.paused = true
	case keyword == "RESUME":
		s.paused = false
	}
	role := "replica"
	if l.primary == s.id {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -", role, s.term, s.positionOf(len(s.log)), held, len(s.slots), len(s.connections))
}

// statement runs a read, a write or a commit.
func (c *ledgerSession) statement(id, keyword, rest string) (string, bool) {
	s, l := c.server, c.server.ledger
	writes := keyword == "WRITE"
	if keyword == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		plan, found := c.prepared[name]
		if !found {
			return "ERROR NOSTMT", true
		}
		writes, rest = strings.HasPrefix(plan, "WRITE"), arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	s.occupy(l.statementTime(item))
	l.noteRun(id)
	leads, term := c.leads()
	inPlain := c.state == "T" && c.plain
	if writes && !leads || inPlain && (!leads || term != c.begunTerm) && (keyword != "COMMIT" || len(c.writes) > 0) {
		return "ERROR READONLY " + s.id, true
	}
	if writes {
		c.writes = append(c.writes, [2]string{item, data})
	}
	if keyword == "COMMIT" {
		c.state = "I"
	}
	if c.state == "I" && len(c.writes) > 0 {
		commit := ledgerCommit{id: id, writes: c.writes}
		c.writes = nil
		if !s.commit(commit) {
			return "", false
		}
	}
	answer := "COMPLETE d." + newID()
	if !writes && keyword != "COMMIT" {
		answer = "DATAROW " + s.value(item) + "\r\n" + answer
	}
	return answer, true
}

// value returns an item's value on the server.
func (s *ledgerServer) value(item string) string {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	value := ""
	for _, c := range s.log[:s.applied()] {
		for _, w := range c.writes {
			if w[0] == item {
				value = w[1]
			}
		}
	}
	return value
}
