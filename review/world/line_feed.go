package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// deploymentVMs is the number of VMs in the scripts that need no more.
	deploymentVMs = 3
	// clientTimeout is longer than a route's timeout.
	clientTimeout = 2 * time.Second
)

// baseDocument is the desired state of a small deployment.
func baseDocument(service string) standin.Document {
	return standin.Document{
		Routes: []standin.Route{
			{Database: "issue", Service: service, Kind: "primary", TimeoutMs: 800},
			{Database: "batch", Service: service, Kind: "read_your_writes", MaxStalenessMs: 2500, TimeoutMs: 800},
		},
		Tenants:     []standin.Tenant{{Name: "tenant-1", Keys: []string{"key-1"}, Rate: 115, Burst: 115}},
		Connections: 23, TransactionIdleMs: 3000,
	}
}

// lineFeed has clients write texts that contain a line feed, and checks that servers run only what
// clients sent.
func lineFeed(c run) (bool, error) {
	g, err := newStrictGroup("ledger", c.record)
	if err != nil {
		return false, err
	}
	defer g.close()
	w, err := newWorld(c.binary, c.folder, c.record)
	if err != nil {
		return false, err
	}
	defer w.close()
	for id, text := range g.rows() {
		w.store.Put("servers", id, text)
	}
	w.document = baseDocument("ledger")
	w.configure(func(*standin.Document) {})
	for i := 1; i <= deploymentVMs; i++ {
		w.addVM(i, fmt.Sprintf("zone-%d", i))
	}
	if err := w.startAll(w.vms); err != nil {
		return false, err
	}
	separator := " "
	if c.trouble {
		separator = "\n"
	}
	sent := map[string]string{}
	for i, v := range w.vms {
		messages := []statementRun{
			{fmt.Sprintf("a%d1", i), fmt.Sprintf("WRITE note-%d one line", i)},
			{fmt.Sprintf("a%d2", i), fmt.Sprintf("WRITE note-%d first line%ssecond line", i, separator)},
			{fmt.Sprintf("a%d3", i), fmt.Sprintf("WRITE note-%d first line%sQUERY b%d WRITE balance-%d 1000000", i, separator, i, i)},
		}
		for _, m := range messages {
			sent[m.id] = m.text
			if err := w.sendOnce(v, "issue", "key-1", m); err != nil {
				return false, err
			}
		}
	}
	broken := false
	for _, run := range g.allRuns() {
		switch text, found := sent[run.id]; {
		case !found:
			broken = true
			c.record.printf("UNASKED: a server ran id %s (%q), which no client sent as a request", run.id, run.text)
		case text != run.text:
			broken = true
			c.record.printf("UNASKED: a server ran id %s with changed text: sent %q, run %q", run.id, text, run.text)
		}
	}
	return broken, nil
}

// sendOnce opens a session, sends one request and records all that the VM answers until it is silent
// or closes the session.
func (w *world) sendOnce(v *vm, database, key string, m statementRun) error {
	nc, err := net.DialTimeout("tcp", v.callers(), clientTimeout)
	if err != nil {
		return err
	}
	defer nc.Close()
	if err := w.exchange(nc, v, fmt.Sprintf("STARTUP %s %s\r\n", database, key), "READY I"); err != nil {
		return err
	}
	return w.exchange(nc, v, fmt.Sprintf("QUERY %s %s\r\n", m.id, m.text), "")
}

// silence is how long a VM must have sent nothing until a client regards its answer as complete.
const silence = 300 * time.Millisecond

// exchange sends a message and records the answer, which must contain a text.
func (w *world) exchange(nc net.Conn, v *vm, message, want string) error {
	w.record.printf("client to %s: %q", v.name, message)
	if _, err := nc.Write([]byte(message)); err != nil {
		return err
	}
	var answer []byte
	buffer := make([]byte, 4096)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(silence))
		n, err := nc.Read(buffer)
		answer = append(answer, buffer[:n]...)
		if err != nil || want != "" && strings.Contains(string(answer), want) {
			break
		}
	}
	w.record.printf("%s answers: %q", v.name, answer)
	if !strings.Contains(string(answer), want) {
		return fmt.Errorf("%s answered %q, not %q", v.name, answer, want)
	}
	return nil
}
