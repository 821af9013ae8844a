package failover

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// tenureStore is a store with one group's tenure, and the orders that have arrived at the platform.
type tenureStore struct {
	tenure  Tenure
	version int
	steps   stepQueue
	orders  []arrivedOrder
}

// step is something that happens at an instant.
type step struct {
	at  time.Duration
	run func()
}

type arrivedOrder struct {
	at    time.Duration
	token int64
}

type stepQueue []step

func (q stepQueue) Len() int           { return len(q) }
func (q stepQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q stepQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *stepQueue) Push(s any)        { *q = append(*q, s.(step)) }
func (q *stepQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *tenureStore) after(now, d time.Duration, run func(now time.Duration)) {
	heap.Push(&s.steps, step{now + d, func() { run(now + d) }})
}

// swap stores a tenure on the condition of a version, and reports whether that was met.
func (s *tenureStore) swap(version int, t Tenure) bool {
	if version != s.version {
		return false
	}
	s.tenure, s.version = t, s.version+1
	return true
}

// orderingVM is a VM that orders promotions again and again.
type orderingVM struct {
	store *tenureStore
	// delay draws how long a message, with any pause of the VM, takes.
	delay func() time.Duration
	// held and version are the tenure that the VM has, and its version in the store.
	held    Tenure
	version int
}

func (v *orderingVM) begin(askedAt time.Duration) {
	v.store.after(askedAt, v.delay(), func(now time.Duration) {
		read, version := v.store.tenure, v.store.version
		v.store.after(now, v.delay(), func(answered time.Duration) {
			if version == v.version {
				v.renew(answered, askedAt, now)
				return
			}
			v.takeOver(answered, askedAt, now, read, version)
		})
	})
}

func (v *orderingVM) takeOver(now, askedAt, storeTime time.Duration, read Tenure, version int) {
	next, wait := read.TakeOver(storeTime)
	v.store.after(now, v.delay(), func(now time.Duration) {
		if !v.store.swap(version, next) {
			v.begin(now + v.delay())
			return
		}
		v.store.after(now, v.delay()+wait, func(now time.Duration) {
			v.held, v.version = next, version+1
			v.renew(now, askedAt, storeTime)
		})
	})
}

func (v *orderingVM) renew(began, askedAt, storeTime time.Duration) {
	v.store.after(began, v.delay(), func(now time.Duration) {
		renewed := v.held.Renew(storeTime + began - askedAt)
		if !v.store.swap(v.version, renewed) {
			v.begin(now + v.delay())
			return
		}
		v.held, v.version = renewed, v.version+1
		v.store.after(now, v.delay(), func(now time.Duration) {
			if left := TimeToOrder(now - began); left > 0 {
				v.store.after(now, min(v.delay(), left)+min(v.delay(), arrivalTime), func(now time.Duration) {
					v.store.orders = append(v.store.orders, arrivedOrder{now, renewed.Token})
				})
			}
			v.begin(now + v.delay())
		})
	})
}

// TestTenures guards against an order with an older fencing token that arrives after a newer one: VMs
// are paused at any moment, and messages to the store and to the platform take seconds.
func TestTenures(t *testing.T) {
	const length = 2 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		s := &tenureStore{}
		delay := func() time.Duration {
			longest := rapid.SampledFrom([]int{5, 5, 5, 300, 4000}).Draw(t, "longest")
			return time.Duration(rapid.IntRange(0, longest).Draw(t, "delay")) * time.Millisecond
		}
		for range rapid.IntRange(2, 4).Draw(t, "vms") {
			vm := &orderingVM{store: s, delay: delay, version: -1}
			vm.begin(delay())
		}
		for len(s.steps) > 0 && s.steps[0].at < length {
			heap.Pop(&s.steps).(step).run()
		}
		holders := map[int64]bool{}
		for i, o := range s.orders {
			holders[o.token] = true
			if i > 0 && o.token < s.orders[i-1].token {
				t.Fatalf("token %d at %s after %d at %s", o.token, o.at, s.orders[i-1].token, s.orders[i-1].at)
			}
		}
		if len(holders) < 2 {
			t.Fatalf("%d orders of %d holders", len(s.orders), len(holders))
		}
	})
}

// TestTakeOverAfterTakeOver guards against a VM that takes over from one that has taken over itself, but
// hasn't waited for the end of the tenure before.
func TestTakeOverAfterTakeOver(t *testing.T) {
	first := Tenure{Token: 4}.Renew(time.Minute)
	second, _ := first.TakeOver(time.Minute + time.Second)
	third, wait := second.TakeOver(time.Minute + 1100*time.Millisecond)
	assert.Equal(t, wait, 900*time.Millisecond)
	assert.Equal(t, third.Token, int64(6))
	_, wait = third.TakeOver(2 * time.Minute)
	assert.Equal(t, wait, time.Duration(0))
}
