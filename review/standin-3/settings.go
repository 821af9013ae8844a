package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// withdrawnKey is a second key of the tenant, which version 2 of the case's desired state takes away.
	withdrawnKey = "k-2"

	// moveAt is when the platform's store gets a further address and the settings files of two machines change, restAt when
	// that of the third one does, oldAddressEnds when the store's old address stops to answer, and withdrawAt when the key
	// is taken away.
	moveAt         = 4 * time.Second
	restAt         = 6 * time.Second
	oldAddressEnds = 8 * time.Second
	withdrawAt     = 14 * time.Second
	settingsEnds   = 47 * time.Second
	// firstMoved is how many machines' settings files change first.
	firstMoved = 2
	// configApply and maxExtension are the bounds configApplyMs and maxExtensionMs.
	configApply  = 3 * time.Second
	maxExtension = 12 * time.Second
)

// playSettings moves the platform's store to another address, which the settings files then name, without a signal. A
// key that is taken away later must stop to work within the bounds.
func playSettings(r *record, trouble bool) int {
	w := &world{record: r, group: &group{work: 4 * time.Millisecond, applyLag: 8 * time.Millisecond, connections: 23}}
	defer w.end(keepLogs())
	if err := w.start(3); err != nil {
		r.say("can't run: %s", err)
		return failed
	}
	began := time.Now()
	halt := make(chan struct{})
	var tasks sync.WaitGroup
	var late lateRuns
	for i := range 6 {
		tasks.Go(func() { w.useKey(i, &late, halt) })
	}
	if trouble {
		if err := w.moveStore(began); err != nil {
			r.say("can't run: %s", err)
			close(halt)
			tasks.Wait()
			return failed
		}
	}
	time.Sleep(time.Until(began.Add(withdrawAt)))
	w.store.put("op", "config", configuration(0, w.group.connections, 5, key))
	late.withdraw(time.Now())
	r.say("operator: version 5, without key %s, is confirmed by the store", withdrawnKey)
	time.Sleep(time.Until(began.Add(settingsEnds)))
	close(halt)
	tasks.Wait()
	return late.judge(r)
}

// moveStore opens the store at another address, writes that into the settings files, and ends the old address.
func (w *world) moveStore(began time.Time) error {
	time.Sleep(time.Until(began.Add(moveAt)))
	address, err := w.store.serve("127.0.0.1")
	if err != nil {
		return err
	}
	for i, v := range w.vms {
		if i == firstMoved {
			time.Sleep(time.Until(began.Add(restAt)))
		}
		if err := v.writeSettings(address, address, w.seeds); err != nil {
			return err
		}
		w.record.say("platform: the settings file of %s has the store and the API at %s; no signal is sent", v.name, address)
	}
	time.Sleep(time.Until(began.Add(oldAddressEnds)))
	w.store.closeOld()
	w.record.say("store: the old address doesn't answer any more")
	return nil
}

// lateRuns counts what a key did after it was withdrawn.
type lateRuns struct {
	mu          sync.Mutex
	withdrawnAt time.Time
	// before counts the requests that were served before, within those that were sent within the bounds after, late the
	// others, and refused those that were refused because of the key.
	before, within, late, refused int
	last                          time.Time
}

func (l *lateRuns) withdraw(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawnAt = at
}

func (l *lateRuns) note(sent time.Time, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.code == "UNAUTH":
		l.refused++
	case a.code != "":
	case l.withdrawnAt.IsZero() || sent.Before(l.withdrawnAt):
		l.before++
	case sent.Sub(l.withdrawnAt) <= configApply+maxExtension:
		l.within++
	default:
		l.late++
		l.last = sent
	}
}

func (l *lateRuns) judge(r *record) int {
	r.say("with key %s: %d requests served before it was withdrawn, %d sent up to %s after that, %d sent later; %d refused as unknown", withdrawnKey, l.before, l.within, configApply+maxExtension, l.late, l.refused)
	switch {
	case l.before == 0:
		r.say("can't run: nothing was served")
		return failed
	case l.late > 0:
		r.say("CONFIG is broken: %d requests ran with a key that was withdrawn, the last one sent %.1f s after the confirmation", l.late, l.last.Sub(l.withdrawnAt).Seconds())
		return broken
	}
	r.say("CONFIG held")
	return held
}

// useKey sends reads with the key until the run ends, each in a session of its own.
func (w *world) useKey(i int, late *lateRuns, halt chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-halt:
			return
		case <-time.After(100 * time.Millisecond):
		}
		v := w.vms[(i+n)%len(w.vms)]
		sent := time.Now()
		c, code := dial(v.callers(), boundedDatabase, withdrawnKey, requestTime)
		if c == nil {
			w.record.add("client %d: no session at %s: %s", i, v.name, code)
			late.note(sent, answer{code: code})
			continue
		}
		id := fmt.Sprintf("s%d.%d", i, n)
		w.record.add("client %d: QUERY %s READ item-%d at %s", i, id, i, v.name)
		a := c.query(id, fmt.Sprintf("READ item-%d", i), requestTime)
		w.record.add("client %d: %s answered: %s", i, id, a)
		late.note(sent, a)
		c.close()
	}
}
