package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

// fault is one thing done from outside: it begins, lasts and is undone.
type fault struct {
	name string
	// planned faults may not cut a request.
	planned bool
	// restores is true for faults that are drawn beside restores of the store.
	restores bool
	// evacuations is true for faults that are drawn beside evacuations.
	evacuations bool
	do          func(s *Soak, r *rand.Rand, lasts time.Duration) string
}

// isDrawn reports whether a run with some kind of faults draws this one.
func (f fault) isDrawn(kind Faults) bool {
	switch kind {
	case PlannedFaults:
		return f.planned
	case RestoreFaults:
		return f.restores
	case EvacuationFaults:
		return f.evacuations
	}
	return f.name != evacuateZone && f.name != restartCold
}

// evacuateZone and restartCold are the names of the faults that need settings of their own.
const (
	evacuateZone = "evacuate a zone"
	restartCold  = "restart a server, which is then cold"
)

// faults are those that a run draws from.
var faults = []fault{
	{name: "kill a VM", evacuations: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		p := s.take(r)
		if p == nil {
			return "none left"
		}
		p.signal(syscall.SIGKILL, true)
		p.wait(time.Second)
		s.pause(lasts / 2)
		s.restart(p)
		return p.name
	}},
	{name: "stop and start a VM", planned: true, restores: true, evacuations: true, do: func(s *Soak, r *rand.Rand, _ time.Duration) string {
		p := s.take(r)
		if p == nil {
			return "none left"
		}
		s.stopAndStart(p)
		return p.name
	}},
	{name: "signals, restarts and configuration changes in series", planned: true, restores: true, evacuations: true, do: func(s *Soak, r *rand.Rand, _ time.Duration) string {
		var names []string
		for range seriesLength {
			p := s.take(r)
			if p == nil {
				break
			}
			names = append(names, p.name)
			// A process that doesn't handle signals yet would be ended by SIGHUP.
			if s.until(startWithin, func() bool { return slices.Contains(s.balanced(), p) }) {
				p.signal(syscall.SIGHUP, false)
				s.change(func(d *standin.Document) {
					d.Routes[1].TimeoutMs = 800 + r.IntN(3)*100
					replaceDeparting(d, d.Version)
				})
				p.signal(syscall.SIGHUP, false)
			}
			s.stopAndStart(p)
		}
		return strings.Join(names, ", ")
	}},
	{name: "pause a VM", restores: true, evacuations: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		p := s.take(r)
		if p == nil {
			return "none left"
		}
		p.signal(syscall.SIGSTOP, false)
		s.pause(lasts)
		p.signal(syscall.SIGCONT, false)
		s.give(p)
		return p.name
	}},
	{name: "have a VM read its settings", planned: true, do: func(s *Soak, r *rand.Rand, _ time.Duration) string {
		p := s.take(r)
		if p == nil {
			return "none left"
		}
		p.signal(syscall.SIGHUP, false)
		s.give(p)
		return p.name
	}},
	{name: "store fails", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		f := []standin.Fault{standin.Busy, standin.Silent, standin.AnswerLost}[r.IntN(3)]
		s.store.SetFault(f)
		s.pause(lasts)
		s.store.SetFault(standin.NoFault)
		return string(f)
	}},
	{name: "store forgets its history", do: func(s *Soak, _ *rand.Rand, _ time.Duration) string {
		s.store.DropHistory()
		return ""
	}},
	{name: "store is restored from a copy", restores: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		if !s.restoring.TryLock() {
			return "another restore is on"
		}
		defer s.restoring.Unlock()
		c := s.store.Copy()
		s.pause(copyAge * lasts)
		s.store.SetFault(standin.Busy)
		s.pause(time.Duration(r.IntN(500)) * time.Millisecond)
		s.store.Restore(c)
		s.store.SetFault(standin.NoFault)
		// The operator notices later and writes again, as the servers do.
		s.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
		s.rewrite()
		return ""
	}},
	{name: "harm a VM's way to the store", evacuations: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		p := s.vms[r.IntN(len(s.vms))]
		return s.harm(p.store, r, lasts) + " for " + p.name
	}},
	{name: "harm the ways to a server", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		id := s.ids[r.IntN(len(s.ids))]
		return s.harm(s.servers[id], r, lasts) + " to " + id
	}},
	{name: "crash a server", restores: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		id := s.ids[r.IntN(len(s.ids))]
		if r.IntN(2) == 0 {
			id = s.ledger.PrimaryID()
		}
		if !s.ledger.Crash(id) {
			return id + " was down"
		}
		s.pause(lasts)
		if err := s.ledger.Restart(id); err != nil {
			s.broken("the stand-in starts again", "%s: %v", id, err)
		}
		return id
	}},
	{name: "a replica receives nothing", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		id := s.ids[r.IntN(len(s.ids))]
		s.ledger.BlockReplication(id, true)
		s.pause(lasts)
		s.ledger.BlockReplication(id, false)
		return id
	}},
	{name: "a server loses answers", do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		id := s.ids[r.IntN(len(s.ids))]
		n := 0
		s.ledger.DropAnswers(id, func(string) bool { n++; return n%20 == 0 })
		s.pause(lasts)
		s.ledger.DropAnswers(id, nil)
		return id
	}},
	{name: "the primary is to leave", planned: true, restores: true, do: func(s *Soak, _ *rand.Rand, _ time.Duration) string {
		id := s.ledger.PrimaryID()
		s.ledger.SetDraining(id, true)
		s.pause(drainFor)
		s.ledger.SetDraining(id, false)
		return id
	}},
	{name: restartCold, evacuations: true, do: func(s *Soak, r *rand.Rand, _ time.Duration) string {
		return s.restartCold(r)
	}},
	{name: evacuateZone, evacuations: true, do: func(s *Soak, r *rand.Rand, lasts time.Duration) string {
		return s.evacuate(r, lasts)
	}},
	{name: "withdraw a key", planned: true, do: func(s *Soak, _ *rand.Rand, _ time.Duration) string {
		return s.withdraw()
	}},
	{name: "change the configuration", planned: true, restores: true, do: func(s *Soak, r *rand.Rand, _ time.Duration) string {
		s.change(func(d *standin.Document) {
			d.Routes[0].TimeoutMs = 700 + r.IntN(3)*100
			replaceDeparting(d, r.IntN(100))
		})
		return ""
	}},
}

const (
	// stopWithin is the grace in the stand-in's settings.
	stopWithin = 6 * time.Second
	// seriesLength is how many VMs are restarted one after the other.
	seriesLength = 2
	// drainFor is how long a server that leaves still serves.
	drainFor = 4 * time.Second
	// departingPrefix begins the database names of routes that a later change removes.
	departingPrefix = "extra"
	// copyAge times the length of a fault is how old the copy is that a store is restored from.
	copyAge = 2
)

// stopAndStart ends a VM's process as an operator does and starts it again.
func (s *Soak) stopAndStart(p *process) {
	p.signal(syscall.SIGTERM, true)
	if !p.wait(stopWithin) {
		s.broken("a VM ends within its grace after SIGTERM", "%s", p.name)
		p.signal(syscall.SIGKILL, true)
		p.wait(time.Second)
	}
	s.restart(p)
}

// replaceDeparting removes the route that callers use until it goes, and adds another one.
func replaceDeparting(d *standin.Document, number int) {
	routes := slices.DeleteFunc(slices.Clone(d.Routes), func(r standin.Route) bool { return strings.HasPrefix(r.Database, departingPrefix) })
	d.Routes = append(routes, standin.Route{Database: fmt.Sprint(departingPrefix, number), Service: serviceName, Kind: "primary", TimeoutMs: 800})
}

// harm does something to a way and undoes it.
func (s *Soak) harm(p *proxy, r *rand.Rand, lasts time.Duration) string {
	m := []mode{delayed, silenced, halfSilenced, refusing, stale}[r.IntN(5)]
	every := 1 + r.IntN(3)
	p.set(m, every)
	s.pause(lasts)
	p.set(passing, 1)
	return fmt.Sprintf("%s, one in %d", m, every)
}
