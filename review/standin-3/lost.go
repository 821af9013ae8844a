package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// deafFor is how long one replica receives nothing, crashedFor how long the primary and the other replica are down.
	deafFor    = 6500 * time.Millisecond
	crashedFor = 7 * time.Second
	// deafAt, crashAt and lostEnds are on the case's clock, which begins when all VMs are ready.
	deafAt   = 3 * time.Second
	crashAt  = 5 * time.Second
	lostEnds = 30 * time.Second

	writers       = 6
	requestTime   = 1500 * time.Millisecond
	betweenWrites = 60 * time.Millisecond
)

// acknowledgements has when each write was acknowledged, by request ID.
type acknowledgements struct {
	mu sync.Mutex
	at map[string]time.Time
}

// playLost has a replica receive nothing for a while, and the primary and the other replica crash meanwhile. With one
// replica that confirms each commit, no acknowledged one may be missing in the log of the server that is promoted.
func playLost(r *record, trouble bool) int {
	w := &world{record: r, group: &group{syncReplicas: 1, work: 4 * time.Millisecond, applyLag: 8 * time.Millisecond, connections: 23}}
	defer w.end(keepLogs())
	if err := w.start(3); err != nil {
		r.say("can't run: %s", err)
		return failed
	}
	began := time.Now()
	acked := &acknowledgements{at: map[string]time.Time{}}
	var tasks sync.WaitGroup
	halt := make(chan struct{})
	for i := range writers {
		tasks.Go(func() { w.write(i, acked, halt) })
	}
	g := w.group
	if trouble {
		primary, near, far := g.servers[0], g.servers[1], g.servers[2]
		time.Sleep(time.Until(began.Add(deafAt)))
		g.setDeaf(far, true)
		time.AfterFunc(deafFor, func() { g.setDeaf(far, false) })
		time.Sleep(time.Until(began.Add(crashAt)))
		primary.crash()
		near.crash()
		time.AfterFunc(crashedFor, func() {
			for _, s := range []*server{primary, near} {
				if err := s.restart(); err != nil {
					r.say("server %s doesn't start again: %s", s.id, err)
				}
			}
		})
	}
	time.Sleep(time.Until(began.Add(lostEnds)))
	close(halt)
	tasks.Wait()
	return w.judgeLost(acked)
}

// setDeaf sets whether a replica receives nothing.
func (g *group) setDeaf(s *server, deaf bool) {
	g.mu.Lock()
	s.deaf = deaf
	g.mu.Unlock()
	g.record.say("server %s: receives nothing: %v, its log ends at %s", s.id, deaf, s.end())
}

// write sends single writes until the run ends, each to an item of its own.
func (w *world) write(i int, acked *acknowledgements, halt chan struct{}) {
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
		case <-time.After(betweenWrites):
		}
		v := w.vms[(i+n/20)%len(w.vms)]
		if c == nil {
			var code string
			if c, code = dial(v.callers(), primaryDatabase, key, requestTime); c == nil {
				w.record.add("client %d: no session at %s: %s", i, v.name, code)
				continue
			}
		}
		id := fmt.Sprintf("w%d.%d", i, n)
		w.record.add("client %d: QUERY %s WRITE item-%s x at %s", i, id, id, v.name)
		a := c.query(id, "WRITE item-"+id+" x", requestTime)
		w.record.add("client %d: %s answered: %s", i, id, a)
		if a.code == "" {
			acked.mu.Lock()
			acked.at[id] = time.Now()
			acked.mu.Unlock()
		}
		if a.code == "cut" || n%20 == 19 {
			c.close()
			c = nil
		}
	}
}

func (a answer) String() string {
	if a.code != "" {
		return a.code + " " + a.detail
	}
	return "COMPLETE " + a.digest
}

// judgeLost checks that each write that was acknowledged before a promotion is in the log of the promoted server.
func (w *world) judgeLost(acked *acknowledgements) int {
	w.record.say("%d writes acknowledged, %d promotions", len(acked.at), len(w.group.promotions))
	if len(acked.at) == 0 {
		w.record.say("can't run: no write was acknowledged")
		return failed
	}
	lost := 0
	for _, p := range w.group.promotions {
		for id, at := range acked.at {
			if at.Before(p.at) && !p.log[id] {
				lost++
				w.record.add("LOST: %s was acknowledged at %.3f and isn't in the log of %s, promoted at %.3f", id, at.Sub(startedAt).Seconds(), p.id, p.at.Sub(startedAt).Seconds())
			}
		}
	}
	if lost > 0 {
		w.record.say("LOST is broken: %d acknowledged commits aren't in the log of the server that was promoted", lost)
		return broken
	}
	w.record.say("LOST held")
	return held
}
