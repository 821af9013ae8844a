package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// session is a connection to a server.
type session struct {
	server   *server
	net      net.Conn
	who      string
	prepared map[string]string
	values   map[string]string
	// open is true in a transaction, plain if that may write, failed after a failure in it.
	open, plain, failed bool
	// writes has the item and data of the transaction's writes.
	writes [][2]string
}

// serve answers on one connection until it ends.
func (s *server) serve(nc net.Conn) {
	defer nc.Close()
	g := s.group
	g.mu.Lock()
	if s.down {
		g.mu.Unlock()
		return
	}
	s.conns[nc] = true
	full := len(s.conns) > g.connections
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(s.conns, nc)
		g.mu.Unlock()
	}()
	in := bufio.NewReaderSize(nc, 64<<10)
	line, err := readLine(in)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != serviceName || len(f) > 3 && f[3] != s.id:
		_, _ = nc.Write([]byte("ERROR MISROUTED\r\n"))
		return
	case full:
		_, _ = nc.Write([]byte("ERROR TOOMANY\r\n"))
		return
	}
	c := &session{server: s, net: nc, who: f[2], prepared: map[string]string{}, values: map[string]string{}}
	if !c.answer("") {
		return
	}
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		lines, alive := c.run(id, text)
		if !alive || !c.answer(lines) {
			return
		}
	}
}

// answer sends an answer's lines and READY, and reports whether the connection stays open.
func (c *session) answer(lines string) bool {
	if strings.HasPrefix(lines, "ERROR") && c.open {
		c.failed = true
	}
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.open:
		state = "T"
	}
	c.server.group.mu.Lock()
	p := c.server.position()
	c.server.group.mu.Unlock()
	if lines != "" {
		lines += "\r\n"
	}
	_, err := c.net.Write([]byte(lines + "READY " + state + " " + p + "\r\n"))
	return err == nil
}

// run runs a query and returns the lines of its answer before READY, or false if the connection ends.
func (c *session) run(id, text string) (string, bool) {
	s, g := c.server, c.server.group
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		p, rest, _ := strings.Cut(after, " ")
		g.mu.Lock()
		covers := s.covers(p)
		g.mu.Unlock()
		if !covers {
			return "ERROR LAGGING " + s.id, true
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED", true
	}
	name, argument, _ := strings.Cut(rest, " ")
	switch word {
	case "SET":
		c.values[name] = argument
	case "PREPARE":
		c.prepared[name] = argument
	case "DEALLOCATE":
		delete(c.prepared, name)
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}
	case "BEGIN":
		if rest != "READ" && !c.leads() {
			return "ERROR READONLY " + s.id, true
		}
		c.open, c.plain, c.writes = true, rest != "READ", nil
	case "ROLLBACK":
		c.open, c.failed, c.writes = false, false, nil
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return c.control(word, rest)
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return c.statement(id, word, rest)
	default:
		return "ERROR MALFORMED", true
	}
	return "COMPLETE -", true
}

func (c *session) leads() bool {
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	return c.server.leads
}

// occupy takes a slot for a duration, or reports that the queue is full.
func (s *server) occupy(d time.Duration) bool {
	s.group.mu.Lock()
	if s.waiting >= slots+queueLimit {
		s.group.mu.Unlock()
		return false
	}
	s.waiting++
	s.group.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	s.group.mu.Lock()
	s.waiting--
	s.group.mu.Unlock()
	return true
}

func (c *session) control(word, rest string) (string, bool) {
	s, g := c.server, c.server.group
	if !s.occupy(time.Millisecond) {
		return "ERROR BUSY", true
	}
	g.mu.Lock()
	term, _ := strconv.ParseInt(rest, 10, 64)
	switch {
	case word == "PAUSE" && term > s.term && !s.leads:
		s.held = term
	case word == "RESUME":
		s.held = 0
	case word == "DEMOTE" && term > s.term:
		s.leads = false
	}
	role := "replica"
	if s.leads {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, s.term, s.received(), s.held, g.applyLag.Milliseconds(), s.waiting, len(s.conns))
	g.mu.Unlock()
	if word != "STATUS" {
		g.record.add("server %s: %s %s -> %s", s.id, word, rest, row)
	}
	return "DATAROW " + row + "\r\nCOMPLETE -", true
}

// statement runs a read, write or commit.
func (c *session) statement(id, word, rest string) (string, bool) {
	s, g := c.server, c.server.group
	writes := word == "WRITE"
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		plan, found := c.prepared[name]
		if !found {
			return "ERROR NOSTMT", true
		}
		writes, rest = strings.HasPrefix(plan, "WRITE"), arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	if !s.occupy(g.work) {
		return "ERROR BUSY", true
	}
	g.mu.Lock()
	if s.down {
		g.mu.Unlock()
		return "", false
	}
	refused := !s.leads && (writes || c.open && c.plain && (word != "COMMIT" || len(c.writes) > 0))
	if refused {
		g.mu.Unlock()
		return "ERROR READONLY " + s.id, true
	}
	if writes {
		c.writes = append(c.writes, [2]string{item, data})
	}
	if word == "COMMIT" {
		c.open, c.failed = false, false
	}
	g.runs++
	digest := fmt.Sprintf("%d.%s", g.runs, id)
	var rows []string
	if !writes && word != "COMMIT" {
		rows = []string{s.items[item]}
		if g.rowsOf != nil {
			if more := g.rowsOf(item); more != nil {
				rows = more
			}
		}
	}
	var last entry
	if !c.open {
		for _, w := range c.writes {
			last = s.append(id, w[0], w[1])
		}
		c.writes = nil
	}
	g.mu.Unlock()
	if last.number != 0 && !s.awaitConfirmation(last) {
		return "", false
	}
	var b strings.Builder
	for _, r := range rows {
		b.WriteString("DATAROW " + r + "\r\n")
	}
	b.WriteString("COMPLETE " + digest)
	return b.String(), true
}

// awaitConfirmation waits until enough replicas have received a commit, and returns false if the server can't
// acknowledge it any more.
func (s *server) awaitConfirmation(e entry) bool {
	g := s.group
	for {
		g.mu.Lock()
		confirmed, stands := g.confirmed(s, e), s.leads && !s.down && s.term == e.term
		g.mu.Unlock()
		if !stands {
			return false
		}
		if confirmed {
			return true
		}
		select {
		case <-g.stop:
			return false
		case <-time.After(replicationInterval):
		}
	}
}
