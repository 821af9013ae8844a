package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// primaryDownAt is when the primary crashes, for primaryDownFor. If the promotion that follows comes from a VM in
	// another zone than the promoted server's, the new primary crashes as well after crashPause, maxCrashes times in all.
	primaryDownAt  = 4 * time.Second
	primaryDownFor = 2 * time.Second
	crashPause     = 8 * time.Second
	maxCrashes     = 5
	// downFor is how long all processes are down, which are killed right after the platform's confirmation of a promotion.
	downFor = 1400 * time.Millisecond
	// recovery is the bound recoveryS, and judged how long the requests count that are sent after it.
	recovery = 12 * time.Second
	judged   = 30 * time.Second
	// promotedWithin bounds the wait for the promotion.
	promotedWithin = 15 * time.Second

	callers         = 36
	betweenRequests = 100 * time.Millisecond
	writesOf20      = 9
)

// outcome is how an operation ended that began at a time.
type outcome struct {
	began  time.Time
	served bool
}

// outcomes has the operations of all callers.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(began time.Time, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, outcome{began, served})
}

// share returns how many operations began between two times, and how many of them were served.
func (o *outcomes) share(from, to time.Time) (asked, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, x := range o.list {
		if x.began.Before(from) || x.began.After(to) {
			continue
		}
		asked++
		if x.served {
			served++
		}
	}
	return asked, served
}

// playStuck crashes the primary of a group where a replica confirms each commit, and kills all processes right after the
// platform has confirmed the promotion that follows. The requests that are sent later than the bound after the processes' return must be served.
func playStuck(r *record, trouble bool) int {
	// The VM that promotes is in the zone of the server that it promotes, and so owns the connections to it.
	w := &world{record: r, zones: "acb", group: &group{syncReplicas: 1, work: 4 * time.Millisecond, applyLag: 8 * time.Millisecond, connections: 23}}
	defer w.end(keepLogs())
	if err := w.start(3); err != nil {
		r.say("can't run: %s", err)
		return failed
	}
	began := time.Now()
	o := &outcomes{}
	var tasks sync.WaitGroup
	halt := make(chan struct{})
	for i := range callers {
		tasks.Go(func() { w.call(i, o, halt) })
	}
	time.Sleep(time.Until(began.Add(primaryDownAt)))
	back := time.Now()
	if trouble {
		if !w.killAllAfterPromotion() {
			r.say("can't run: no promotion was confirmed")
			close(halt)
			tasks.Wait()
			return failed
		}
		back = time.Now()
	}
	time.Sleep(time.Until(back.Add(recovery + judged)))
	askedBefore, servedBefore := o.share(began, began.Add(primaryDownAt))
	asked, servedAfter := o.share(back.Add(recovery), back.Add(recovery+judged-2*time.Second))
	close(halt)
	tasks.Wait()
	r.say("before: %d of %d operations served; later than %s after the machines are back: %d of %d", servedBefore, askedBefore, recovery, servedAfter, asked)
	switch {
	case askedBefore == 0 || 4*servedBefore < askedBefore:
		r.say("can't run: less than a quarter was served before")
		return failed
	case 4*servedAfter < asked:
		r.say("RECOVER is broken: less than a quarter is served")
		return broken
	}
	r.say("RECOVER held")
	return held
}

// killAllAfterPromotion crashes the primary, kills all processes when a promotion was confirmed to a VM that owns
// connections to the promoted server, and starts them again.
func (w *world) killAllAfterPromotion() bool {
	zones := map[string]string{}
	for _, v := range w.vms {
		zones[v.name] = v.zone
	}
	for _, s := range w.group.servers {
		zones[s.id] = s.zone
	}
	crashes := 0
	ended := make(chan bool, 1)
	w.store.setOnConfirmed(func(holder, id string) {
		fits := zones[holder] == zones[id] || crashes == maxCrashes
		if fits {
			w.store.setOnConfirmed(nil)
			w.killAll()
		}
		select {
		case ended <- fits:
		default:
		}
	})
	for crashes < maxCrashes {
		crashes++
		primary := w.group.currentPrimary()
		primary.crash()
		time.AfterFunc(primaryDownFor, func() {
			if err := primary.restart(); err != nil {
				w.record.say("server %s doesn't start again: %s", primary.id, err)
			}
		})
		select {
		case killed := <-ended:
			if killed {
				return w.startAll()
			}
		case <-time.After(promotedWithin):
			return false
		}
		w.record.say("the promotion came from a VM in another zone than the server's")
		time.Sleep(crashPause)
		for len(ended) > 0 {
			<-ended
		}
	}
	return false
}

func (g *group) currentPrimary() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

func (w *world) killAll() {
	var tasks sync.WaitGroup
	for _, v := range w.vms {
		tasks.Go(v.kill)
	}
	tasks.Wait()
	w.record.say("all processes killed right after the platform's confirmation of a promotion")
}

func (w *world) startAll() bool {
	time.Sleep(downFor)
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			w.record.say("%s doesn't start again: %s", v.name, err)
			return false
		}
	}
	w.record.say("all processes are started again")
	return true
}

// call sends single statements on the primary route until the run ends, of which writesOf20 in 20 are writes.
func (w *world) call(i int, o *outcomes, halt chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-halt:
			return
		case <-time.After(betweenRequests):
		}
		began, v := time.Now(), w.vms[(i+n/20)%len(w.vms)]
		if c == nil {
			var code string
			if c, code = dial(v.callers(), primaryDatabase, tenantKey(1+i%tenantCount), requestTime); c == nil {
				w.record.add("client %d: no session at %s: %s", i, v.name, code)
				o.add(began, false)
				continue
			}
		}
		text := fmt.Sprintf("READ item-%d", i)
		if (i+7*n)%20 < writesOf20 {
			text = fmt.Sprintf("WRITE item-%d x", i)
		}
		id := fmt.Sprintf("o%d.%d", i, n)
		a := c.query(id, text, requestTime)
		w.record.add("client %d: %s %s at %s answered: %s", i, id, text, v.name, a)
		o.add(began, a.code == "")
		if a.code == "cut" || n%20 == 19 {
			c.close()
			c = nil
		}
	}
}
