package failover

import "time"

// SilentTime is how long a listed VM counts although it isn't heard. A cut, a pause or a restart that is
// shorter doesn't make a minority of the VMs take itself for all of them. VMs that are lost for good stop
// counting after it.
const SilentTime = 15 * time.Second

// Sighting is what one VM knows of whether another VM, which is listed in the directory or was named by a
// third one, runs.
type Sighting struct {
	// Heard is true if a heartbeat of the VM has arrived. Age is the time since the last one, including
	// suspensions; it is meaningless if none has.
	Heard bool
	Age   time.Duration
	// Leaving means that the VM announced its shutdown.
	Leaving bool
}

// Counts reports whether the VM is part of the fleet of which a majority decides. observing is how long the
// VM that counts has been able to hear the others: the time since its start, the end of its last pause or
// the end of its last isolation.
func (s Sighting) Counts(observing time.Duration) bool {
	switch {
	case s.Leaving:
		return false
	case observing < SilentTime:
		return true
	}
	return s.Heard && s.Age < SilentTime
}
