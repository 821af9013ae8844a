package quota

import "time"

// The agreed limits allow 1.1 x (5 x rate + burst) + 20 operations in 5 s. Of these, 5.075 x rate are refilled,
// accounts hold 1.05 x burst + 10, and the rest is what all VMs together may overdraw.
const (
	overdraftRateSeconds   = 0.425
	overdraftBurstFraction = 0.05
	overdraftTokens        = 10
	// evenOverdraftFraction is the fraction of the overdraft that is divided evenly, for VMs with few
	// operations.
	evenOverdraftFraction = 0.4
	// calmOverdraft is the least overdraft of a VM while the demand of all VMs is up to about the rate. Without it, a
	// VM with an operation in a second or two is refused the second of two that arrive together.
	calmOverdraft = 3
	// maxUnsettledTime is how long refills are kept for corrections. It exceeds OutOfStepTime and the time
	// between two totals.
	maxUnsettledTime = 1500 * time.Millisecond
	// shortageTime is the time in which a VM with an overdrawn account asks to have it repaid.
	shortageTime = 500 * time.Millisecond
	// maxCalmLoad is the largest demand of all VMs, as a multiple of the rate, while calmOverdraft applies and VMs
	// ask for repayment. Above it, all accounts are overdrawn.
	maxCalmLoad = 1.25
	// slotTime is the resolution of corrections.
	slotTime = 100 * time.Millisecond
)

// Corrections is the number of tokens by which VMs' settled shares were corrected after the fact.
type Corrections struct{ TakenBack, Added float64 }

// Corrections returns the sums of all corrections.
func (l *Limiter) Corrections() Corrections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.corrections
}

// noteCorrection adds a correction to the sums. The caller must hold l.mu.
func (l *Limiter) noteCorrection(amount float64) {
	l.corrections.Added += max(amount, 0)
	l.corrections.TakenBack += max(-amount, 0)
}

// overdraft returns how many tokens this VM may use beyond its account, so that all VMs together stay within
// the agreed limits.
func (d division) overdraft(rate, burst float64) float64 {
	sum := overdraftRateSeconds*rate + overdraftBurstFraction*burst + overdraftTokens
	part := sum * (d.fraction*(1-evenOverdraftFraction) + evenOverdraftFraction/float64(d.vmCount))
	if d.total > maxCalmLoad*rate {
		return part
	}
	return max(part, calmOverdraft)
}

// maxTokens returns how many tokens this VM's account may have.
func (d division) maxTokens(burst float64) float64 {
	return max(d.fraction*burst+(extraTokens+extraBurstFraction*burst)/float64(d.vmCount), 1)
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
		correction = min(b.settle(now-OutOfStepTime, d.fraction, false), 0)
	}
	b.apart, b.rate, b.total = d.apart, rate, d.total
	perSecond := rate * (1 + marginFraction)
	amount := perSecond * (now - b.updatedAt).Seconds()
	b.account += d.fraction * amount
	lost := max(b.account-d.maxTokens(burst), 0)
	b.account -= lost
	s := b.openSlot(now)
	amount = min(amount, perSecond*maxUnsettledTime.Seconds())
	s.endedAt = now
	s.amount += amount
	s.given += d.fraction * amount
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

// shortageDemand returns the demand, in operations per second, that is reported in addition while the account is
// overdrawn. Thus a VM whose demand was above its share for a while gets more until its account recovers. If
// the demand of all VMs is far above the rate, all accounts are overdrawn and nothing is added.
func (b *bucket) shortageDemand() float64 {
	if b.total > maxCalmLoad*b.rate {
		return 0
	}
	return max(-b.account, 0) / shortageTime.Seconds()
}
