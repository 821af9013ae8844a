package placement

import "time"

// Warmup has the rule that limits what cold servers get.
type Warmup struct {
	// Overshoot times the rate of a service, plus Tolerance, is how many requests a cold server may
	// get in any second, from all VMs together.
	Overshoot, Tolerance float64
}

// Limit is what one VM may send to a cold server.
type Limit struct {
	// PerSecond is the rate at which tokens are added, Burst the most that there are.
	PerSecond, Burst float64
}

// senders is how many VMs may take themselves for the sender at the same time, so that all of them
// together keep the limit: two, while VMs don't hear each other.
const senders = 2

// Limit returns what one VM may send to a cold server of a service with a rate. In any second that is
// at most PerSecond and Burst together.
func (w Warmup) Limit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond * w.Overshoot / senders, Burst: max(w.Tolerance/senders, 1)}
}

// senderDelay is how long a VM waits after it has become the sender. Requests that an earlier sender,
// or an earlier process of this VM, has sent are then over a second old.
const senderDelay = time.Second

// Sender is this VM's part in sending to one cold server: nothing unless it is the sender, and
// requests by a token bucket from senderDelay on after it has become the sender. Times are those of any
// clock that doesn't go back.
type Sender struct {
	active bool
	// filledAt is when tokens was computed.
	filledAt time.Duration
	tokens   float64
}

// Update records whether this VM is the sender.
func (s *Sender) Update(now time.Duration, isSender bool) {
	if isSender && !s.active {
		s.filledAt, s.tokens = now+senderDelay, 0
	}
	s.active = isSender
}

// Wait returns the time until a request may be sent.
func (s *Sender) Wait(now time.Duration, l Limit) time.Duration {
	if !s.active {
		return senderDelay
	}
	if elapsed := now - s.filledAt; elapsed > 0 {
		s.tokens, s.filledAt = min(s.tokens+elapsed.Seconds()*l.PerSecond, l.Burst), now
	}
	if s.tokens >= 1 {
		return 0
	}
	missing := time.Duration((1 - s.tokens) / l.PerSecond * float64(time.Second))
	return max(s.filledAt-now, 0) + missing + time.Microsecond
}

// Take takes the token of a request. If there is none, it returns the time until there is one.
func (s *Sender) Take(now time.Duration, l Limit) time.Duration {
	wait := s.Wait(now, l)
	if wait == 0 {
		s.tokens--
	}
	return wait
}
