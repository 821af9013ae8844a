package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// evacuationBound is the time after which nothing may reach an evacuated zone's servers, in the
	// VMs' settings.
	evacuationBound = 5 * time.Second
	// watchLeast is how long the servers are watched after that.
	watchLeast = 3 * time.Second
	// warmupTime is how long a server is cold, and warmupPerS the rate that it is meant to get meanwhile.
	warmupTime = 5 * time.Second
	warmupPerS = 10
	// warmupOvershoot and warmupTolerance are the defaults of the settings' bounds.
	warmupOvershoot = 1.5
	warmupTolerance = 5
)

// zoneRegions has the regions of the servers' zones.
var zoneRegions = map[string]string{"zone-1": "north", "zone-2": "north", "zone-3": "south"}

// placedDocument adds limits for cold servers and a route that is allowed in one region.
func placedDocument(d standin.Document) standin.Document {
	d.WarmupS, d.WarmupPerS = int(warmupTime/time.Second), warmupPerS
	d.Routes = append(d.Routes, standin.Route{Database: "north", Service: serviceName, Kind: "bounded_staleness", TimeoutMs: 800, MaxStalenessMs: staleMs, AllowedRegions: []string{"north"}})
	return d
}

// restrictedReader reads through the route that is allowed in one region, from VMs in all zones.
func (s *Soak) restrictedReader(halt <-chan struct{}) {
	c := &session{soak: s, database: "north", key: mainKey, random: rand.New(rand.NewPCG(s.Seed, 500))}
	defer c.close()
	for !halted(halt) {
		s.pause(10 * time.Millisecond)
		if client := c.open(); client != nil {
			c.do(client, "main", "READ "+standin.RestrictedItem+"item")
		}
	}
}

// auditRegions checks that restricted statements stayed in their region.
func (s *Soak) auditRegions() {
	for i, id := range s.ids {
		n, region := s.ledger.RestrictedRequests(id), zoneRegions[fmt.Sprint("zone-", i+1)]
		if n > 0 && region != "north" {
			s.broken("statements stay in the allowed regions", "%s in the %s got %d", id, region, n)
		}
	}
}

// evacuate evacuates the zone of a server, of the primary in half of the cases, checks from what the
// stand-in servers got that nothing reaches it after the bound, and takes the evacuation back.
func (s *Soak) evacuate(r *rand.Rand, lasts time.Duration) string {
	i := r.IntN(len(s.ids))
	if r.IntN(2) == 0 {
		for n, id := range s.ids {
			if id == s.ledger.PrimaryID() {
				i = n
			}
		}
	}
	if !s.evacuating.TryLock() {
		return "another evacuation is on"
	}
	defer s.evacuating.Unlock()
	s.evacuated.Store(int64(i + 1))
	defer s.evacuated.Store(0)
	id, zone := s.ids[i], fmt.Sprint("zone-", i+1)
	wasPrimary := s.ledger.PrimaryID() == id
	// A VM that doesn't run meanwhile has requests of its callers to serve when it resumes.
	paused := s.take(r)
	if paused != nil {
		paused.signal(syscall.SIGSTOP, false)
	}
	s.store.Evacuate(zone)
	since := time.Now()
	s.pause(evacuationBound + watchLeast/2)
	if paused != nil {
		paused.signal(syscall.SIGCONT, false)
		s.give(paused)
	}
	s.pause(watchLeast + lasts)
	if at, text := s.ledger.LastReceived(id); at.Sub(since) > evacuationBound {
		s.broken("nothing reaches an evacuated zone", "%s got %q %s after the row was written", id, text, at.Sub(since))
	}
	handedOver := s.ledger.PrimaryID() != id
	s.store.EndEvacuation(zone)
	return fmt.Sprintf("%s, was primary: %t, handed over: %t", zone, wasPrimary, wasPrimary && handedOver)
}

// restartCold restarts a server outside of the evacuated zone, and checks from what it got that it wasn't given more than its limit
// while it was cold.
func (s *Soak) restartCold(r *rand.Rand) string {
	i := r.IntN(len(s.ids))
	if s.evacuated.Load() == int64(i+1) {
		i = (i + 1) % len(s.ids)
	}
	id := s.ids[i]
	if !s.warming.TryLock() {
		return "another server is cold"
	}
	defer s.warming.Unlock()
	if !s.ledger.Crash(id) {
		return id + " was down"
	}
	if err := s.ledger.Restart(id); err != nil {
		s.broken("the stand-in starts again", "%s: %v", id, err)
		return id
	}
	s.pause(warmupTime)
	largest, all := s.ledger.LargestColdSecond(id)
	if allowed := warmupPerS*warmupOvershoot + warmupTolerance; float64(largest) > allowed {
		s.broken("a cold server gets its rate", "%s got %d requests in a second, %.0f are allowed", id, largest, allowed)
	}
	return fmt.Sprintf("%s got %d requests, at most %d in a second", id, all, largest)
}
