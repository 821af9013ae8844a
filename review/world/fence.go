package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// fleetVMs is the number of VMs of a small deployment.
	fleetVMs = 9
	// crashTime is how long a crashed server is down.
	crashTime = 7 * time.Second
	// freezeDelay is the time from the primary's crash to the freeze of a VM, which lasts for
	// freezeTime.
	freezeDelay = 300 * time.Millisecond
	freezeTime  = 3500 * time.Millisecond
	// calmTime is the time after a server's restart until the next crash.
	calmTime = 3 * time.Second
)

// staleToken crashes the primary three times on a platform that doesn't check fencing tokens, and
// freezes the VM that ordered the first promotion during the second. It checks that no order has a
// lower token than an earlier one.
func staleToken(c run) (bool, error) {
	g := newGroup("ledger")
	w, err := newWorld(c.binary, c.folder, c.record, g)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.fencing, w.api.unchecked = false, true
	w.document = baseDocument("ledger")
	w.configure(func(*standin.Document) {})
	vms := map[string]*vm{}
	for i := 1; i <= fleetVMs; i++ {
		v := w.addVM(i, fmt.Sprintf("zone-%d", 1+i%3))
		vms[v.name] = v
	}
	if err := w.startAll(w.vms); err != nil {
		return false, err
	}
	c.record.printf("all VMs are ready")
	time.Sleep(calmTime)
	for crash := 1; crash <= 3; crash++ {
		old, began := g.PrimaryID(), time.Now()
		c.record.printf("server: the primary %s crashes", old)
		g.Crash(old)
		if crash == 2 && c.trouble {
			first := vms[w.api.all()[0].holder]
			time.Sleep(freezeDelay)
			c.record.printf("%s freezes for %s", first.name, freezeTime)
			first.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			first.signal(syscall.SIGCONT)
			c.record.printf("%s wakes", first.name)
		}
		if err := await(20*time.Second, func() bool { return g.PrimaryID() != old }); err != nil {
			return false, err
		}
		c.record.printf("server: %s is the primary", g.PrimaryID())
		time.Sleep(max(crashTime-time.Since(began), 0))
		if err := g.Restart(old); err != nil {
			return false, err
		}
		c.record.printf("server: %s is back as a replica", old)
		time.Sleep(calmTime)
	}
	broken := false
	for _, o := range w.api.all() {
		if o.token < o.newest {
			broken = true
			c.record.printf("ONE: %s ordered the promotion of %s with Fencing-Token %d after the platform had seen %d", o.holder, o.id, o.token, o.newest)
		}
	}
	return broken, nil
}
