package heartbeat

import (
	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// FirstVM returns the name and address of the first VM for a purpose by rendezvous hashing, among the
// live VMs of a zone that a function accepts, or of the whole fleet if the zone has none. The address is
// empty if that is this VM, of which the function gets the name and the zone only. The name is empty if
// there is no such VM.
func (f *Fleet) FirstVM(purpose, zone string, accept func(Message) bool) (VMName, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type candidate struct {
		name    VMName
		address string
		inZone  bool
		score   uint64
	}
	key := append([]byte(purpose), '/')
	var best candidate
	consider := func(name VMName, address string, inZone bool) {
		c := candidate{name, address, inZone, xxhash.Sum64(append(key, name...))}
		if best.name == "" || c.inZone && !best.inZone || c.inZone == best.inZone && c.score > best.score {
			best = c
		}
	}
	if !f.isLeaving && accept(Message{VM: f.VM, Zone: f.Zone}) {
		consider(f.VM, "", f.Zone == zone)
	}
	for name, p := range f.peers {
		if p.live && !p.message.Leaving && accept(p.message) {
			consider(name, p.address, p.message.Zone == zone)
		}
	}
	return best.name, best.address
}

// ResumedAt returns when this VM last resumed after a pause, or after it had heard no other VM, zero if
// it never has.
func (f *Fleet) ResumedAt() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pausedUntil
}
