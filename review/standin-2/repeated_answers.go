package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// repeatingTime is how long clients read at most, readers how many there are at each VM.
	repeatingTime = 40 * time.Second
	readers       = 3
)

// repeatedAnswers has clients write and read items of their own, while servers send some answers a second time.
// Each client knows what it has written, so that the rows of another read show.
func repeatedAnswers(w *world, trouble bool) outcome {
	d := standin.Document{
		Version: 7, Connections: 23, TransactionIdleMs: 3000,
		Routes:  []standin.Route{{Database: "fiti832", Service: "ledger", Kind: "read_your_writes", TimeoutMs: 800, MaxStalenessMs: 2500, Priority: 2}},
		Tenants: []standin.Tenant{{Name: "nypu920", Keys: []string{"u6wsjnba"}, Rate: 400, Burst: 400}},
	}
	l := newLedger(w.record, "ledger")
	l.applyLag, l.repeats = 60*time.Millisecond, trouble
	w.ledgers = map[string]*ledger{"ledger": l}
	if err := w.build(3, d); err != nil {
		return outcome{err: err}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	wrong := make(chan string, readers*len(w.vms))
	for i, vm := range w.vms {
		for n := range readers {
			clients.Go(func() { w.writeAndRead(stop, fmt.Sprintf("client-%d-%d", i+1, n+1), vm, wrong) })
		}
	}
	what := ""
	select {
	case what = <-wrong:
	case <-time.After(repeatingTime):
	}
	close(stop)
	clients.Wait()
	return outcome{broken: what}
}

// writeAndRead writes an item of the client and reads it until stop is closed. It sends what is wrong about an
// answer to wrong.
func (w *world) writeAndRead(stop <-chan struct{}, name string, vm *process, wrong chan<- string) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.Close()
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
		if s == nil {
			s = w.open(name, vm, "fiti832", "u6wsjnba")
			continue
		}
		if a := s.query(fmt.Sprintf("WRITE %s %s-%d", name, name, n)); a.Outcome == standin.Disconnected {
			s.Close()
			s = nil
			continue
		}
		for i := 0; i < 3 && s != nil; i++ {
			if i == 1 {
				// The replicas have caught up by then.
				time.Sleep(100 * time.Millisecond)
			}
			id, a := s.queryWithID("READ " + name)
			switch {
			case a.Outcome == standin.Disconnected:
				s.Close()
				s = nil
			case a.Outcome == standin.Done && (len(a.Rows) != 1 || !strings.HasPrefix(a.Rows[0], name+"-")):
				wrong <- fmt.Sprintf("the answer to READ %s (%s) has the rows %q", name, id, a.Rows)
				return
			}
		}
	}
}
