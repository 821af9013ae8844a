package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// endorseFor is how long a VM's word counts that a primary can be used: three lost beats.
	endorseFor = 2 * time.Second
	// fenceSlack is left for a statement that was sent while the primary was endorsed.
	fenceSlack = time.Second
	// farFence is added where words come in digests, which may be as old again.
	farFence = 3 * time.Second
	// endorsedFor is how long the answer to the question is kept, also over a suspension: it
	// is asked with each statement.
	endorsedFor = 50 * time.Millisecond
)

// endorsement is what a group's VMs said last.
type endorsement struct {
	at       clock.Instant
	endorsed bool
}

// fence is how long a primary that most VMs can't use must be left alone before another is
// promoted, so that no VM uses it any more.
func (f *Failover) fence() time.Duration {
	switch {
	case f.Fenced:
		return 0
	case f.Fleet.Zoned():
		return endorseFor + farFence + fenceSlack
	}
	return endorseFor + fenceSlack
}

// Endorsed tells whether a group's primary may be used: on a platform that doesn't depose a
// primary by promoting another, only while most VMs that watch it can use it, too.
func (f *Failover) Endorsed(service ServiceName) bool {
	if f.Fenced {
		return true
	}
	f.endorseMu.Lock()
	defer f.endorseMu.Unlock()
	if e, found := f.endorsements[service]; found && clock.Since(e.at) < endorsedFor {
		return e.endorsed
	}
	if f.endorsements == nil {
		f.endorsements = map[ServiceName]endorsement{}
	}
	e := endorsement{at: clock.Now()}
	if g := f.VM.group(service); g != nil {
		proves, provers := f.Fleet.Among("prove/"+string(service), Provers)
		peers := f.Fleet.Peers()
		for i := range peers {
			peers[i].Silent = peers[i].Silent || peers[i].Age > endorseFor
		}
		e.endorsed = g.view(peers, proves, provers).Endorsed()
		if before, found := f.endorsements[service]; found && before.endorsed != e.endorsed {
			eventEndorsed.Log(g.Logger, "endorsed", e.endorsed)
		}
	}
	f.endorsements[service] = e
	return e.endorsed
}

// endorsed tells whether the group's primary may be used.
func (g *Group) endorsed() bool { return g.VM.Endorsed == nil || g.VM.Endorsed(g.Name) }
