package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// cutTime is how long the primary is cut off from most VMs, deafTime how long a replica receives nothing.
	cutTime, deafTime = 5 * time.Second, 6 * time.Second
	// deafAfter is when the replica stops to receive, after the cut has begun.
	deafAfter = 1500 * time.Millisecond
	// promotion is how long a promotion takes, as on druckkonto-prod-grown.
	promotion = time.Second
)

// confirmedCommit cuts the primary off from most VMs, so that these replace it, while another VM's client goes on
// writing. Commits are confirmed by one replica. Meanwhile a replica receives nothing for a while.
func confirmedCommit(w *world, trouble bool) outcome {
	d := standin.Document{
		Version: 7, Connections: 23, SyncReplicas: 1, TransactionIdleMs: 3000,
		Routes:  []standin.Route{{Database: "lepu270", Service: "ledger", Kind: "primary", TimeoutMs: 800, Priority: 1}},
		Tenants: []standin.Tenant{{Name: "nypu920", Keys: []string{"u6wsjnba"}, Rate: 115, Burst: 115}},
	}
	l := newLedger(w.record, "ledger")
	l.syncReplicas, l.promotionTime = 1, promotion
	w.ledgers = map[string]*ledger{"ledger": l}
	acknowledged := &ackList{}
	var lost []string
	l.switched = func(id string) {
		for _, request := range acknowledged.list() {
			if !l.servers[id].has(request) {
				lost = append(lost, request)
			}
		}
	}
	if err := w.build(5, d); err != nil {
		return outcome{err: err}
	}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i, vm := range []*process{w.vms[0], w.vms[3]} {
		writers.Go(func() { w.writeAcknowledged(stop, fmt.Sprint("client-", i+1), vm, acknowledged) })
	}
	time.Sleep(2 * time.Second)
	primary, first := l.ids[0], l.ids[1]
	cut := []*process{w.vms[1], w.vms[2], w.vms[4]}
	for _, vm := range cut {
		vm.front.cut(primary, true, true)
	}
	if trouble {
		time.AfterFunc(deafAfter, func() { l.setDeaf(first, true) })
		time.AfterFunc(deafAfter+deafTime, func() { l.setDeaf(first, false) })
	}
	time.Sleep(cutTime)
	for _, vm := range cut {
		vm.front.cut(primary, false, true)
	}
	time.Sleep(deafAfter + deafTime - cutTime + 500*time.Millisecond)
	close(stop)
	writers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.record.note("%d writes were acknowledged, term %d", len(acknowledged.list()), l.term)
	if l.term == 1 {
		return outcome{err: fmt.Errorf("the primary wasn't replaced")}
	}
	if len(lost) > 0 {
		return outcome{broken: fmt.Sprintf("%d acknowledged commits weren't in the log of the server that was promoted: %v", len(lost), lost)}
	}
	return outcome{}
}

// ackList has the IDs of the writes that were acknowledged to clients.
type ackList struct {
	mu  sync.Mutex
	ids []string
}

func (a *ackList) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids = append(a.ids, id)
}

func (a *ackList) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.ids...)
}

// writeAcknowledged writes one statement after the other until stop is closed, in a new session after each failure.
func (w *world) writeAcknowledged(stop <-chan struct{}, name string, vm *process, a *ackList) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if s == nil {
			s = w.open(name, vm, "lepu270", "u6wsjnba")
			continue
		}
		id, answer := s.queryWithID(fmt.Sprintf("WRITE %s-%d data", name, n))
		switch answer.Outcome {
		case standin.Done:
			a.add(id)
		case standin.Disconnected:
			s.Close()
			s = nil
		}
	}
}
