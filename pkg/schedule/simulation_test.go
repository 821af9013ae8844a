package schedule

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// kind is a kind of caller in a simulation. Its requests arrive at random, independently of each
// other and of the answers.
type kind struct {
	class                     Class
	workspaces                []string
	perSecond                 float64
	work, objective, deadline time.Duration
	// from and until bound the arrivals.
	from, until time.Duration
	// returns is true if refused callers come back once at the time they are told.
	returns bool
}

// outcome counts what became of a kind's requests, or of a workspace's.
type outcome struct {
	arrived, inTime, late, refused, timedOut, returned, returnedServed int
	// longestWait is the longest time from arrival to answer or refusal.
	longestWait time.Duration
}

func (o *outcome) served() float64 { return float64(o.inTime+o.late) / float64(o.arrived) }

// simulation is a server with a queue, in simulated time.
type simulation struct {
	queue  Queue
	random *rand.Rand
	now    time.Duration
	events events
	// opening is the additional service time of a workspace's first statement.
	opening  time.Duration
	opened   map[string]bool
	outcomes map[string]*outcome
	// returns has the times at which refused callers came back.
	returns []time.Duration
	// maxInService is the most statements that were in service.
	maxInService int
}

func newSimulation(seed uint64, limit int) *simulation {
	return &simulation{queue: Queue{Limit: limit}, random: rand.New(rand.NewPCG(seed, 1)), outcomes: map[string]*outcome{}, opened: map[string]bool{}}
}

func (s *simulation) outcome(name string) *outcome {
	if s.outcomes[name] == nil {
		s.outcomes[name] = &outcome{}
	}
	return s.outcomes[name]
}

// add lets the requests of a kind arrive, and counts their outcomes under a name and under the
// name and the workspace.
func (s *simulation) add(name string, k kind) {
	at := k.from
	for {
		at += time.Duration(s.random.ExpFloat64() / k.perSecond * float64(time.Second))
		if at >= k.until {
			return
		}
		s.arriveAt(at, name, k)
	}
}

func (s *simulation) arriveAt(at time.Duration, name string, k kind) {
	w := k.workspaces[s.random.IntN(len(k.workspaces))]
	s.at(at, func() { s.arrive(name, w, k, 0) })
}

// statement is a statement in the simulation.
type statement struct {
	Item
	name, workspace string
	kind            kind
	arrivedAt       time.Duration
	returned        bool
}

func (s *simulation) arrive(name, w string, k kind, firstDeadline time.Duration) {
	st := &statement{name: name, workspace: w, kind: k, arrivedAt: s.now, returned: firstDeadline != 0}
	s.count(st, func(o *outcome) { o.arrived++ })
	r := Request{Class: k.class, Workspace: w, Objective: s.now + k.objective, Deadline: s.now + k.deadline, FirstDeadline: firstDeadline}
	refusal, accepted := s.queue.Enqueue(s.now, &st.Item, r)
	if !accepted {
		s.refuse(st, refusal)
		return
	}
	byItem[&st.Item] = st
	s.at(r.Deadline, func() {
		if st.state == waiting {
			s.queue.Cancel(&st.Item)
			s.count(st, func(o *outcome) { o.timedOut++ })
			s.dequeue()
		}
	})
	s.dequeue()
}

// byItem finds the statement of an item. Tests run one after the other.
var byItem = map[*Item]*statement{}

func (s *simulation) dequeue() {
	for {
		i, refusal, refused := s.queue.Dequeue(s.now)
		if i == nil {
			break
		}
		st := byItem[i]
		delete(byItem, i)
		if refused {
			s.refuse(st, refusal)
			continue
		}
		work := time.Duration((0.5 + s.random.Float64()) * float64(st.kind.work))
		if !s.opened[st.workspace] {
			s.opened[st.workspace] = true
			work += s.opening
		}
		s.at(s.now+work, func() {
			s.queue.Done(s.now, i)
			s.count(st, func(o *outcome) {
				took := s.now - st.arrivedAt
				o.longestWait = max(o.longestWait, took)
				if took <= st.kind.objective {
					o.inTime++
				} else {
					o.late++
				}
				if st.returned {
					o.returnedServed++
				}
			})
			s.dequeue()
		})
	}
	s.maxInService = max(s.maxInService, s.queue.inService)
}

func (s *simulation) refuse(st *statement, r Refusal) {
	s.count(st, func(o *outcome) {
		o.refused++
		o.longestWait = max(o.longestWait, s.now-st.arrivedAt)
	})
	if !st.kind.returns || st.returned {
		return
	}
	s.at(s.now+r.RetryAfter, func() {
		s.returns = append(s.returns, s.now)
		s.count(st, func(o *outcome) { o.returned++ })
		s.arrive(st.name, st.workspace, st.kind, st.Deadline)
	})
}

func (s *simulation) count(st *statement, change func(o *outcome)) {
	change(s.outcome(st.name))
	change(s.outcome(st.name + "/" + st.workspace))
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) at(t time.Duration, run func()) {
	heap.Push(&s.events, event{t, len(s.events), run})
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
