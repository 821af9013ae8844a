package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// gracePeriod is that of the settings. lateRequest is how long after SIGTERM a request may be sent that is excused
	// while its server is still at work.
	gracePeriod, lateRequest = 6 * time.Second, 3 * time.Second
	// statementsPerTransaction is the most that a transaction has.
	statementsPerTransaction = 12
)

// busyTransaction sends SIGTERM to a VM while clients run transactions there, one statement directly after the
// other. The transactions would last longer than the grace period.
func busyTransaction(w *world, trouble bool) outcome {
	d := standin.Document{
		Version: 7, Connections: 23, TransactionIdleMs: 3000,
		Routes:  []standin.Route{{Database: "xapu221", Service: "ledger", Kind: "bounded_staleness", TimeoutMs: 2000, MaxStalenessMs: 1500, Priority: 2}},
		Tenants: []standin.Tenant{{Name: "nypu920", Keys: []string{"u6wsjnba"}, Rate: 115, Burst: 115}},
	}
	l := newLedger(w.record, "ledger")
	l.statementTime = func(item string) time.Duration {
		if strings.HasPrefix(item, "summary") {
			return 550 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	w.ledgers = map[string]*ledger{"ledger": l}
	if err := w.build(3, d); err != nil {
		return outcome{err: err}
	}
	vm := w.vms[0]
	s := w.open("lookups", vm, "xapu221", "u6wsjnba")
	if s == nil {
		return outcome{err: errors.New("no session")}
	}
	for n := range 5 {
		s.query(fmt.Sprintf("READ lookup-%d", n))
	}
	s.Close()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var cut []cutRequest
	for i := range 2 {
		clients.Go(func() {
			s := w.open(fmt.Sprint("client-", i+1), vm, "xapu221", "u6wsjnba")
			if s == nil {
				return
			}
			defer s.Close()
			if r, ended := s.runTransaction(); ended {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, r)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	signalled := time.Now()
	if trouble {
		w.record.note("platform: SIGTERM to %s", vm.name)
		vm.signal(syscall.SIGTERM, true)
		if !vm.wait(gracePeriod) {
			vm.kill("its grace period has ended")
		}
		w.record.note("%s has ended", vm.name)
	}
	clients.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, r := range cut {
		sent, ended, passedOn := r.sentAt.Sub(signalled), r.endedAt.Sub(signalled), l.hasRun(r.id)
		w.record.note("request %s: sent %s after SIGTERM, its connection ended %s after SIGTERM without an answer, ran at a server: %t", r.id, sent.Round(time.Millisecond), ended.Round(time.Millisecond), passedOn)
		if passedOn && sent > lateRequest && ended < gracePeriod+time.Second {
			lost++
		}
	}
	if lost > 0 {
		return outcome{broken: fmt.Sprintf("%d requests that were sent over %s after SIGTERM and passed on to a server got no answer", lost, lateRequest)}
	}
	return outcome{}
}

// cutRequest is a request whose connection ended without an answer.
type cutRequest struct {
	id              string
	sentAt, endedAt time.Time
}

// runTransaction runs a transaction, and returns the request whose connection ended without an answer.
func (s *session) runTransaction() (cutRequest, bool) {
	texts := []string{"BEGIN READ"}
	for n := range statementsPerTransaction {
		texts = append(texts, fmt.Sprintf("READ summary-%d", n))
	}
	for _, text := range append(texts, "COMMIT") {
		sentAt := time.Now()
		id, a := s.queryWithID(text)
		if a.Outcome == standin.Disconnected {
			return cutRequest{id, sentAt, time.Now()}, true
		}
		if a.Outcome != standin.Done {
			return cutRequest{}, false
		}
	}
	return cutRequest{}, false
}
