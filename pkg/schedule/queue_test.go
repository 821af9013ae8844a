package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fill takes all places of a queue with a limit of 1 and returns the statement that has it.
func fill(t *testing.T, q *Queue) *Item {
	t.Helper()
	i := &Item{}
	_, accepted := q.Enqueue(0, i, Request{Workspace: "first", Deadline: time.Second})
	assert.Assert(t, accepted)
	next, _, refused := q.Dequeue(0)
	assert.Assert(t, next == i && !refused)
	return i
}

// The order in which waiting statements are served.
func TestOrder(t *testing.T) {
	later := func(r Request, d time.Duration) Request {
		r.Deadline += d
		return r
	}
	base := Request{Workspace: "w", Objective: 300 * time.Millisecond, Deadline: time.Second}
	other, urgent, open, late := base, base, base, base
	other.Workspace, urgent.Workspace, open.OpenTransaction = "other", "urgent", true
	late.Objective = time.Millisecond
	lessUrgent, lessUrgentWorkspace := base, base
	lessUrgent.Class, lessUrgentWorkspace.Class = Class{Route: 1}, Class{Workspace: 1}
	openLessUrgent := open
	openLessUrgent.Class = Class{Route: 3}
	beyond := base
	beyond.Class = Class{Route: 99, Workspace: 99}
	for name, test := range map[string]struct {
		requests []Request
		want     []int
	}{
		"by route priority, then workspace priority": {[]Request{lessUrgent, lessUrgentWorkspace, base}, []int{2, 1, 0}},
		"open transactions first":                    {[]Request{base, openLessUrgent}, []int{1, 0}},
		"workspaces take turns":                      {[]Request{base, base, base, other}, []int{0, 3, 1, 2}},
		"by deadline":                                {[]Request{later(base, 100*time.Millisecond), base}, []int{1, 0}},
		"what can meet its objective first":          {[]Request{late, later(base, 100*time.Millisecond)}, []int{1, 0}},
		"unknown priorities last":                    {[]Request{beyond, lessUrgent}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			q := Queue{Limit: 1}
			running := fill(t, &q)
			items := make([]Item, len(test.requests))
			for n, r := range test.requests {
				_, accepted := q.Enqueue(time.Millisecond, &items[n], r)
				assert.Assert(t, accepted)
			}
			for _, want := range test.want {
				q.Cancel(running)
				i, _, refused := q.Dequeue(2 * time.Millisecond)
				assert.Assert(t, i == &items[want] && !refused)
				running = i
			}
		})
	}
}

// A statement that can't be served before its deadline is refused at once, with a time to return
// that its class and its place decide.
func TestRefusal(t *testing.T) {
	q := Queue{Limit: 1}
	fill(t, &q)
	// Each statement is expected to take initialService.
	for n := range 9 {
		_, accepted := q.Enqueue(0, &Item{}, Request{Class: Class{Route: 1}, Workspace: "w", Deadline: 150 * time.Millisecond})
		assert.Assert(t, accepted, "%d", n)
	}
	soon := Request{Class: Class{Route: 1}, Workspace: "w", Deadline: 50 * time.Millisecond}
	first, accepted := q.Enqueue(0, &Item{}, soon)
	assert.Assert(t, !accepted)
	assert.Equal(t, first.Waiting, 9)
	second, accepted := q.Enqueue(0, &Item{}, soon)
	assert.Assert(t, !accepted)
	assert.Equal(t, second.RetryAfter, first.RetryAfter+time.Duration(float64(initialService)/returningFraction))
	// An urgent statement is served before these.
	soon.Class.Route = 0
	_, accepted = q.Enqueue(0, &Item{}, soon)
	assert.Assert(t, accepted)
	// Another workspace waits for one turn only.
	soon.Class.Route, soon.Workspace = 1, "other"
	_, accepted = q.Enqueue(0, &Item{}, soon)
	assert.Assert(t, accepted)
}

// A caller that returns when it was told to is served before newer requests of its workspace, and
// isn't refused because of them.
func TestReturningCallerGetsItsPlace(t *testing.T) {
	q := Queue{Limit: 1}
	running := fill(t, &q)
	r := Request{Workspace: "w", Deadline: 55 * time.Millisecond}
	items := make([]Item, 5)
	for n := range items {
		_, accepted := q.Enqueue(0, &items[n], r)
		assert.Equal(t, accepted, n < 4)
	}
	newer := make([]Item, 3)
	refused := items[4]
	for n := range newer {
		_, accepted := q.Enqueue(10*time.Millisecond, &newer[n], Request{Workspace: "w", Deadline: time.Second})
		assert.Assert(t, accepted)
	}
	r.Deadline, r.FirstDeadline = 2*time.Second, refused.Deadline
	var returned Item
	_, accepted := q.Enqueue(10*time.Millisecond, &returned, r)
	assert.Assert(t, accepted)
	for _, want := range []*Item{&items[0], &items[1], &items[2], &items[3], &returned, &newer[0]} {
		q.Cancel(running)
		next, _, refused := q.Dequeue(15 * time.Millisecond)
		assert.Assert(t, next == want && !refused)
		running = next
	}
}

// What isn't served in time because more urgent work came is refused as soon as it is reached.
func TestWaitingStatementExpires(t *testing.T) {
	q := Queue{Limit: 1}
	running := fill(t, &q)
	var i Item
	_, accepted := q.Enqueue(0, &i, Request{Workspace: "w", Deadline: 50 * time.Millisecond})
	assert.Assert(t, accepted)
	q.Done(45*time.Millisecond, running)
	expired, refusal, refused := q.Dequeue(45 * time.Millisecond)
	assert.Assert(t, expired == &i && refused)
	assert.Assert(t, refusal.RetryAfter > 0)
	none, _, _ := q.Dequeue(45 * time.Millisecond)
	assert.Assert(t, none == nil)
}

// The load tells a class of what waits before it.
func TestLoad(t *testing.T) {
	q := Queue{Limit: 1}
	fill(t, &q)
	for _, c := range []Class{{Route: 0}, {Route: 1}, {Route: 2}} {
		_, accepted := q.Enqueue(0, &Item{}, Request{Class: c, Workspace: "w", Deadline: time.Second})
		assert.Assert(t, accepted)
	}
	assert.DeepEqual(t, q.Load(0, Class{Route: 1}), Load{InService: 1, Waiting: 3, Limit: 1, MoreUrgentWaiting: 1, ExpectedWait: 3 * initialService, Service: initialService})
	assert.DeepEqual(t, q.Load(0, Class{Route: 0}), Load{InService: 1, Waiting: 3, Limit: 1, ExpectedWait: 2 * initialService, Service: initialService})
}

// Whatever arrives, ends and is cancelled in whatever order: no more than the limit is in service,
// no place stays free while a statement waits, and each statement leaves the queue once.
func TestQueueKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Limit: rapid.IntRange(1, 4).Draw(t, "limit")}
		now := time.Duration(0)
		var waits, runs []*Item
		drop := func(list []*Item, i *Item) []*Item {
			for n, other := range list {
				if other == i {
					return append(list[:n:n], list[n+1:]...)
				}
			}
			t.Fatalf("a statement left the queue that wasn't in it")
			return nil
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action <= 2:
				i := &Item{}
				r := Request{
					Class:     Class{Route: rapid.IntRange(-1, 9).Draw(t, "route"), Workspace: rapid.IntRange(0, 2).Draw(t, "priority")},
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), OpenTransaction: rapid.Bool().Draw(t, "open"),
					Objective: now + 50*time.Millisecond, Deadline: now + time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline"))*time.Millisecond,
				}
				if refusal, accepted := q.Enqueue(now, i, r); accepted {
					waits = append(waits, i)
				} else if refusal.RetryAfter <= 0 || refusal.RetryAfter > maxRetryAfter {
					t.Fatalf("retry after %s", refusal.RetryAfter)
				}
			case action == 3 && len(runs) > 0:
				q.Done(now, runs[0])
				runs = runs[1:]
			case action == 4 && len(waits) > 0:
				q.Cancel(waits[0])
				waits = waits[1:]
			case action == 5:
				q.SetLimit(rapid.IntRange(1, 4).Draw(t, "new limit"))
				q.Trim(now)
			}
			for {
				i, _, refused := q.Dequeue(now)
				if i == nil {
					break
				}
				waits = drop(waits, i)
				if refused {
					continue
				}
				runs = append(runs, i)
				if len(runs) > q.Limit {
					t.Fatalf("a statement began as number %d, the limit is %d", len(runs), q.Limit)
				}
			}
			if len(waits) != q.waitingCount || len(runs) != q.inService {
				t.Fatalf("%d wait and %d run, the queue counts %d and %d", len(waits), len(runs), q.waitingCount, q.inService)
			}
			if len(waits) > 0 && len(runs) < q.Limit {
				t.Fatalf("a place is free while %d statements wait", len(waits))
			}
		}
	})
}

// The queue is on the path of each statement: without a wait it must not allocate.
func TestNoAllocationWithoutWait(t *testing.T) {
	q := Queue{Limit: 4}
	var i Item
	r := Request{Workspace: "w", Deadline: time.Hour}
	allocations := testing.AllocsPerRun(100, func() {
		q.Enqueue(0, &i, r)
		q.Dequeue(0)
		q.Done(time.Millisecond, &i)
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkStatement(b *testing.B) {
	q := Queue{Limit: 4}
	var i Item
	now := time.Duration(0)
	for b.Loop() {
		now += 3 * time.Millisecond
		q.Enqueue(now, &i, Request{Workspace: "w", Deadline: now + time.Second})
		q.Dequeue(now)
		q.Done(now+2*time.Millisecond, &i)
	}
}
