package failover

import "time"

// Tenure is the right of one VM to order promotions in a group, as the platform's store has it. It is
// for platforms that execute orders whatever their fencing tokens are: there, no order may arrive after
// one with a higher token. The holder renews its tenure right before each order and gives up orders that
// it can't send in time; whoever takes over waits for the end of the tenure before it sends any.
type Tenure struct {
	// Token increases with each change of the holder.
	Token int64
	// EndsAt is when the last order of this and of all earlier holders has arrived, on the store's
	// clock.
	EndsAt time.Duration
}

const (
	// tenureTime is how long a tenure lasts after its renewal. It leaves time for a slow answer of the
	// store.
	tenureTime = 2 * time.Second
	// arrivalTime is how long an order takes at most to arrive after it was sent.
	arrivalTime = 500 * time.Millisecond
)

// UnknownTenure returns the tenure that lasts at least as long as any whose record is lost. now is the
// time of the store's clock.
func UnknownTenure(token int64, now time.Duration) Tenure {
	return Tenure{Token: token, EndsAt: now + tenureTime}
}

// TakeOver returns the tenure of a new holder, to be stored on the condition that t hasn't changed. The
// holder may renew it, and order promotions, once wait has passed since the store told its time, now.
func (t Tenure) TakeOver(now time.Duration) (next Tenure, wait time.Duration) {
	return Tenure{Token: t.Token + 1, EndsAt: t.EndsAt}, max(t.EndsAt-now, 0)
}

// Renew returns the tenure for another order of its holder, to be stored on the condition that t hasn't
// changed. now must not be before the time of the store's clock.
func (t Tenure) Renew(now time.Duration) Tenure {
	return Tenure{Token: t.Token, EndsAt: max(t.EndsAt, now+tenureTime)}
}

// TimeToOrder returns for how long the holder may still send an order, some time after it began to
// renew its tenure. That time must include suspensions of the VM.
func TimeToOrder(sinceRenewal time.Duration) time.Duration {
	return max(tenureTime-arrivalTime-sinceRenewal, 0)
}
