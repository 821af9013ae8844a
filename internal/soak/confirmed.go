package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// deafLead is how long a replica has received nothing when the other servers crash.
	deafLead = 700 * time.Millisecond
	// promotedWithin bounds the wait for a promotion after a crash of the primary, and finalDown is how long all VMs
	// are down in a final fault.
	promotedWithin = 8 * time.Second
	finalDown      = 1400 * time.Millisecond
)

// confirmedFaults are drawn beside the others while replicas confirm commits. The rows of crashed servers expire at the
// next heartbeat.
var confirmedFaults = []fault{
	{name: "servers crash while a replica receives nothing", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		return s.crashBesideDeafReplica(r, lasts)
	}},
	{name: "servers crash and all VMs start again while one server is listed", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		return s.crashBesideDeafReplica(r, lasts) + ", " + s.killAll(finalDown/2)
	}},
	{name: "a paused replica starts again", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		var id string
		if !s.until(lasts, func() bool {
			paused := s.ledger.Paused()
			if len(paused) > 0 {
				id = paused[r.IntN(len(paused))]
			}
			return len(paused) > 0
		}) || !s.ledger.Crash(id) {
			return "none is paused"
		}
		s.startServer(id)
		return id
	}},
}

// drawn returns the faults that the run draws from.
func (s *Soak) drawn() []fault {
	if s.SyncReplicas == 0 || s.Faults != AllFaults {
		return faults
	}
	return append(slices.Clone(faults), confirmedFaults...)
}

// crashBesideDeafReplica has a replica receive nothing and the two other servers crash meanwhile. They start again in any
// order.
func (s *Soak) crashBesideDeafReplica(r *rand.Rand, lasts time.Duration) string {
	primary := s.ledger.PrimaryID()
	others := slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool { return id == primary })
	r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	deaf, crashed := others[0], []string{primary, others[1]}
	s.ledger.BlockReplication(deaf, true)
	s.pause(deafLead)
	crashed = slices.DeleteFunc(crashed, func(id string) bool { return !s.ledger.Crash(id) })
	r.Shuffle(len(crashed), func(i, j int) { crashed[i], crashed[j] = crashed[j], crashed[i] })
	s.pause(lasts)
	for _, id := range crashed {
		s.startServer(id)
		s.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	s.ledger.BlockReplication(deaf, false)
	return fmt.Sprintf("%s receives nothing, %v crash", deaf, crashed)
}

func (s *Soak) startServer(id string) {
	if err := s.ledger.Restart(id); err != nil {
		s.broken("the stand-in starts again", "%s: %v", id, err)
	}
}

// killAll kills all VMs that no other fault has, and starts them again.
func (s *Soak) killAll(down time.Duration) string {
	s.mu.Lock()
	killed := s.free
	s.free = nil
	s.mu.Unlock()
	var tasks sync.WaitGroup
	for _, p := range killed {
		tasks.Go(func() {
			p.signal(syscall.SIGKILL, true)
			p.wait(time.Second)
		})
	}
	tasks.Wait()
	s.pause(down)
	for _, p := range killed {
		s.restart(p)
	}
	return fmt.Sprintf("%d VMs killed", len(killed))
}

// finalFault crashes the primary, and kills all VMs at the promotion that follows. Callers go on.
func (s *Soak) finalFault() string {
	id, term := s.ledger.PrimaryID(), s.ledger.NewestTerm()
	if !s.ledger.Crash(id) {
		return id + " was down"
	}
	isPromoted := false
	for end := time.Now().Add(promotedWithin); time.Now().Before(end) && !isPromoted; {
		time.Sleep(time.Millisecond)
		isPromoted = s.ledger.NewestTerm() > term
	}
	what := s.killAll(finalDown)
	s.startServer(id)
	return fmt.Sprintf("final fault: %s crashes, promoted %v, %s", id, isPromoted, what)
}
