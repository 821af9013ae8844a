package quota

import "time"

// The agreed limits allow 1.1 x (5 x rate + burst) + 20 operations in 5 s. Of these, 5.15 x rate are refilled,
// accounts hold 1.05 x burst + 10, and the rest is what all VMs together may overdraw.
const (
	overdraftRateSeconds   = 0.35
	overdraftBurstFraction = 0.05
	overdraftTokens        = 10
	// evenOverdraftFraction is the fraction of the overdraft that is divided evenly, for VMs with few
	// operations.
	evenOverdraftFraction = 0.5
	// calmOverdraft is the least overdraft of a VM while the demand of all VMs is below the rate. Without it, a
	// VM with an operation in a second or two is refused the second of two that arrive together.
	calmOverdraft = 3
	// maxUnsettledTime is how long refills are kept for corrections. It exceeds OutOfStepTime and the time
	// between two totals.
	maxUnsettledTime = 1500 * time.Millisecond
	// slotTime is the resolution of corrections.
	slotTime = 100 * time.Millisecond
)

// division is how a rate is divided between this VM and the others at an instant.
type division struct {
	// settled is the fraction of the rate that this VM has by what the others count of its demand: the sum
	// over all VMs is at most one. expected is the fraction by its present demand.
	settled, expected float64
	// total is the demand of all VMs, vmCount their number and apart how many are out of step.
	total          float64
	vmCount, apart int
}

// overdraft returns how many tokens this VM may use beyond its account, so that all VMs together stay within
// the agreed limits.
func (d division) overdraft(rate, burst float64) float64 {
	sum := overdraftRateSeconds*rate + overdraftBurstFraction*burst + overdraftTokens
	part := sum * (d.settled*(1-evenOverdraftFraction) + evenOverdraftFraction/float64(d.vmCount))
	if d.total > rate {
		return part
	}
	return max(part, calmOverdraft)
}

// maxTokens returns the most tokens that a VM with a fraction of a rate may hold.
func (d division) maxTokens(fraction, burst float64) float64 {
	return max(fraction*burst+(extraTokens+extraBurstFraction*burst)/float64(d.vmCount), 1)
}

// slot is what was refilled in a short time.
type slot struct {
	startedAt, endedAt time.Duration
	// amount is the refill of all VMs together, given the part of this VM's account, and lost what exceeded
	// the account's size.
	amount, given, lost float64
	// isClosed is true if the next refill begins another slot.
	isClosed bool
}

// refill adds this VM's shares of the time since the last update. It returns what was taken back from the
// account because other VMs have fallen out of step.
func (b *bucket) refill(d division, rate, burst float64, now time.Duration) (correction float64) {
	if d.apart > b.apart {
		correction = min(b.settle(now-OutOfStepTime, d.settled, false), 0)
	}
	b.apart, b.rate = d.apart, rate
	perSecond := rate * (1 + marginFraction)
	amount := perSecond * (now - b.updatedAt).Seconds()
	b.tokens = min(b.tokens+d.expected*amount, d.maxTokens(d.expected, burst))
	b.account += d.settled * amount
	lost := max(b.account-d.maxTokens(d.settled, burst), 0)
	b.account -= lost
	s := b.openSlot(now)
	amount = min(amount, perSecond*maxUnsettledTime.Seconds())
	s.endedAt = now
	s.amount += amount
	s.given += d.settled * amount
	s.lost += lost
	b.updatedAt = now
	return correction
}

// openSlot returns the slot of the present refill, and removes those that are too old to be corrected.
func (b *bucket) openSlot(now time.Duration) *slot {
	settled := 0
	for settled < len(b.slots) && now-b.slots[settled].endedAt > maxUnsettledTime {
		settled++
	}
	if settled > 0 {
		b.slots = append(b.slots[:0], b.slots[settled:]...)
	}
	if n := len(b.slots); n == 0 || b.slots[n-1].isClosed || now-b.slots[n-1].startedAt > slotTime {
		b.slots = append(b.slots, slot{startedAt: b.updatedAt})
	}
	return &b.slots[len(b.slots)-1]
}

// settle corrects what was refilled since an instant to a fraction of the rate, and returns the difference.
// Only if isCredited is true, it may be positive. The account may fall below zero, at most by what was given.
func (b *bucket) settle(since time.Duration, fraction float64, isCredited bool) float64 {
	sum := 0.0
	for _, s := range b.slots {
		if s.endedAt > since {
			sum += fraction*s.amount - s.given
		}
	}
	if sum > 0 && !isCredited {
		return 0
	}
	before := b.account
	for i := range b.slots {
		s := &b.slots[i]
		if s.endedAt <= since {
			continue
		}
		change := fraction*s.amount - s.given
		s.given += change
		if s.lost > 0 {
			s.lost += change
			change = min(s.lost, 0)
			s.lost = max(s.lost, 0)
		}
		b.account += change
	}
	if n := len(b.slots); n > 0 {
		b.slots[n-1].isClosed = true
	}
	return b.account - before
}
