package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// largeShape and smallShape are the lengths of prepared statements' shapes in bytes. A message may have 1 MiB.
	largeShape, smallShape = 1000 << 10, 80
	// preparingSessions is how many sessions there are at each VM.
	preparingSessions = 4
	preparingTime     = 70 * time.Second
	// preparingPause keeps the workspaces within their rates.
	preparingPause = 40 * time.Millisecond
	// maxExecuted is how many statements are executed at most: over twice as many as with long shapes before the
	// rule is broken.
	maxExecuted = 8000
	// faultTimes is how often processes have to end on faultMachines machines for a fault.
	faultTimes, faultMachines = 3, 2
)

// statementsKept has a few clients prepare, execute and deallocate one statement after the other, each of legal
// size, one message at a time. The platform kills a VM that exceeds its memory limit, and starts it again.
func statementsKept(w *world, trouble bool) outcome {
	d := standin.Document{
		Version: 7, Connections: 23, TransactionIdleMs: 3000,
		Routes: []standin.Route{{Database: "xapu221", Service: "ledger", Kind: "bounded_staleness", TimeoutMs: 2000, MaxStalenessMs: 1500, Priority: 2}},
	}
	for i := range 3 {
		d.Tenants = append(d.Tenants, standin.Tenant{Name: fmt.Sprint("tenant-", i+1), Keys: []string{fmt.Sprint("key-", i+1)}, Rate: 115, Burst: 115})
	}
	w.memoryLimited = true
	if err := w.build(3, d, newGroup("ledger")); err != nil {
		return outcome{err: err}
	}
	size := largeShape
	if !trouble {
		size = smallShape
	}
	stop := make(chan struct{})
	var sessions sync.WaitGroup
	var executed atomic.Int64
	for i, vm := range w.vms {
		for n := range preparingSessions {
			sessions.Go(func() {
				w.prepareUntil(stop, fmt.Sprintf("client-%d-%d", i+1, n+1), vm, d.Tenants[i].Keys[0], size, &executed)
			})
		}
	}
	machines := 0
	for began := time.Now(); machines < faultMachines && time.Since(began) < preparingTime && executed.Load() < maxExecuted; {
		time.Sleep(beatInterval)
		machines = 0
		for _, p := range w.vms {
			if p.exceededTimes() >= faultTimes {
				machines++
			}
		}
	}
	close(stop)
	sessions.Wait()
	w.record.note("%d prepared statements were executed", executed.Load())
	ends := ""
	for _, p := range w.vms {
		w.record.note("%s: at most %d MB of %d MB, ended %d times", p.name, p.peak(), memoryMB, p.exceededTimes())
		ends += fmt.Sprintf(" %d", p.exceededTimes())
	}
	if machines >= faultMachines {
		return outcome{broken: fmt.Sprintf("processes exceeded their memory limit of %d MB, after %d prepared statements so often on the three machines:%s", memoryMB, executed.Load(), ends)}
	}
	return outcome{}
}

// prepareUntil prepares, executes and deallocates statements with shapes of a size until stop is closed, in a new
// session whenever one ends.
func (w *world) prepareUntil(stop <-chan struct{}, name string, vm *process, key string, size int, executed *atomic.Int64) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.Close()
			}
			return
		case <-time.After(preparingPause):
		}
		if s == nil {
			s = w.open(name, vm, "xapu221", key)
			continue
		}
		if !s.executeInTransaction(size, executed) {
			s.Close()
			s = nil
		}
	}
}

// executeInTransaction prepares, executes and deallocates statements of a size in a transaction. It returns false if
// the session has ended.
func (s *session) executeInTransaction(size int, executed *atomic.Int64) bool {
	texts := []string{"BEGIN READ"}
	for range statementsPerTransaction {
		shape := s.name + "-" + newID() + "-"
		shape += strings.Repeat("x", size-len(shape))
		texts = append(texts, "PREPARE s1 READ "+shape, "EXECUTE s1 1a4", "DEALLOCATE s1")
	}
	for _, text := range append(texts, "COMMIT") {
		switch a := s.query(text); {
		case a.Outcome == standin.Disconnected:
			return false
		case a.Outcome != standin.Done:
			return s.query("ROLLBACK").Outcome == standin.Done
		case text[0] == 'E':
			executed.Add(1)
		}
	}
	return true
}
