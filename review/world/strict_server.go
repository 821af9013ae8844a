package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// strictGroup is a group whose servers read lines exactly as the platform's pages define them: a
// line ends with CR LF, and the last field extends to its end. Its servers share one log, as with
// replicas that are never behind.
type strictGroup struct {
	service string
	record  *record

	mu        sync.Mutex
	ids       []string
	addresses map[string]string
	listeners []net.Listener
	items     map[string]string
	commits   int
	runs      []statementRun
}

// statementRun is a statement that a server has run.
type statementRun struct{ id, text string }

// newStrictGroup starts three servers, of which the first is the primary.
func newStrictGroup(service string, r *record) (*strictGroup, error) {
	g := &strictGroup{service: service, record: r, addresses: map[string]string{}, items: map[string]string{}}
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("i-%s%d", service, i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g.ids, g.listeners = append(g.ids, id), append(g.listeners, listener)
		g.addresses[id] = listener.Addr().String()
		go g.accept(listener, id)
	}
	return g, nil
}

func (g *strictGroup) accept(listener net.Listener, id string) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go g.serve(nc, id)
	}
}

func (g *strictGroup) close() {
	for _, l := range g.listeners {
		l.Close()
	}
}

// rows returns the servers' rows for the store by ID.
func (g *strictGroup) rows() map[string]string {
	rows := map[string]string{}
	for i, id := range g.ids {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		rows[id] = fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-%d","version":"v1","capacity":3,"state":"ready","warmupRemainingMs":0,"databaseRole":%q,"sequence":1,"born":%d}`,
			g.service, g.addresses[id], i+1, role, time.Now().UnixMilli())
	}
	return rows
}

// readLine reads up to the next CR LF.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := in.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, chunk...)
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
	}
}

// serve serves one connection.
func (g *strictGroup) serve(nc net.Conn, server string) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	line, err := readLine(in)
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != g.service || len(f) > 3 && f[3] != server {
		_, _ = io.WriteString(nc, "ERROR MISROUTED\r\n")
		return
	}
	state := "I"
	for {
		g.mu.Lock()
		ready := fmt.Sprintf("READY %s 1.%d\r\n", state, g.commits)
		g.mu.Unlock()
		if _, err := io.WriteString(nc, ready); err != nil {
			return
		}
		if line, err = readLine(in); err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		answer := ""
		answer, state = g.run(server, id, text, state)
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
	}
}

// run runs a statement and returns the lines before READY and the new state.
func (g *strictGroup) run(server, id, text, state string) (string, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isPrimary := server == g.ids[0]
	if prefix, rest, _ := strings.Cut(text, " "); prefix == "AFTER" {
		_, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "SET", "RESET", "PREPARE":
		return "COMPLETE -\r\n", state
	case "BEGIN":
		if rest != "READ" && !isPrimary {
			return "ERROR READONLY " + server + "\r\n", state
		}
		return "COMPLETE -\r\n", "T"
	case "ROLLBACK":
		return "COMPLETE -\r\n", "I"
	case "STATUS":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s 1 1.%d 0 0 0 1\r\nCOMPLETE -\r\n", role, g.commits), state
	case "READ":
		g.noteRun(server, id, text)
		return fmt.Sprintf("DATAROW %s\r\nCOMPLETE d.%s\r\n", g.items[rest], id), state
	case "WRITE":
		if !isPrimary {
			return "ERROR READONLY " + server + "\r\n", state
		}
		g.noteRun(server, id, text)
		item, data, _ := strings.Cut(rest, " ")
		g.items[item] = data
		g.commits++
		return "COMPLETE d." + id + "\r\n", state
	case "COMMIT":
		g.noteRun(server, id, text)
		return "COMPLETE d." + id + "\r\n", "I"
	}
	return "ERROR MALFORMED\r\n", state
}

// noteRun records a run. g.mu must be held.
func (g *strictGroup) noteRun(server, id, text string) {
	g.runs = append(g.runs, statementRun{id, text})
	g.record.printf("server %s runs id %s, text %q", server, id, text)
}

// allRuns returns the runs so far.
func (g *strictGroup) allRuns() []statementRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]statementRun(nil), g.runs...)
}
