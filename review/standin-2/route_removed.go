package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

// routeRemoved removes a route while a client that uses it has an open transaction. The client goes on with its
// transaction; other clients of the VM use another route all the while.
func routeRemoved(w *world, trouble bool) outcome {
	d := standin.Document{
		Version: 7, Connections: 23, TransactionIdleMs: 3000,
		Routes: []standin.Route{
			{Database: "lepu270", Service: "ledger", Kind: "primary", TimeoutMs: 800, Priority: 1},
			{Database: "fiti832", Service: "ledger", Kind: "read_your_writes", TimeoutMs: 800, MaxStalenessMs: 2500, Priority: 2},
		},
		Tenants: []standin.Tenant{{Name: "nypu920", Keys: []string{"u6wsjnba"}, Rate: 400, Burst: 400}},
	}
	ledger := newGroup("ledger")
	ledger.StatementTime = 18 * time.Millisecond
	if err := w.build(3, d, ledger); err != nil {
		return outcome{err: err}
	}
	vm := w.vms[0]
	stop := make(chan struct{})
	var others sync.WaitGroup
	cut := make(chan string, 6)
	for i := range cap(cut) {
		others.Go(func() { w.writeUntil(stop, fmt.Sprint("other-", i+1), vm, "lepu270", cut) })
	}
	c := w.open("client", vm, "fiti832", "u6wsjnba")
	if c == nil {
		return outcome{err: fmt.Errorf("no session")}
	}
	if a := c.query("BEGIN"); a.Outcome != standin.Done {
		return outcome{err: fmt.Errorf("no transaction: %s", a.Text)}
	}
	d.Version = 9
	if trouble {
		d.Routes = d.Routes[:1]
	}
	w.store.Put("op", "config", d.JSON())
	w.record.note("operator: version 9 of the desired state has the routes %v; the store has confirmed it", d.Routes)
	time.Sleep(time.Second)
	read := c.query("READ 1a4")
	write := standin.Answer{Text: "not sent"}
	if read.Outcome == standin.Done {
		write = c.query("COMMIT")
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	others.Wait()
	c.Close()
	close(cut)
	passedOn := 0
	for id := range cut {
		if ledger.WorkspaceOf(id) != "" {
			passedOn++
			w.record.note("request %s ran at a server and got no answer", id)
		}
	}
	ended := vm.endedByItself()
	if passedOn > 0 || ended != "" {
		return outcome{broken: fmt.Sprintf("%s ended by itself (%s): %d requests that servers ran got no answer, nor did the READ in the open transaction (%s)", vm.name, ended, passedOn, read.Text)}
	}
	w.record.note("the transaction ended with %s %s", write.Outcome, write.Text)
	return outcome{}
}

// writeUntil writes one statement after the other in a session until stop is closed or the connection ends. It
// sends the ID of a statement that got no answer to cut.
func (w *world) writeUntil(stop <-chan struct{}, name string, vm *process, database string, cut chan<- string) {
	s := w.open(name, vm, database, "u6wsjnba")
	if s == nil {
		return
	}
	defer s.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if id, a := s.queryWithID(fmt.Sprintf("WRITE %s-%d data", name, n)); a.Outcome == standin.Disconnected {
			cut <- id
			return
		}
	}
}
