package load

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// inTime is how long after its intended start an answer still counts as served: as
	// long as a VM lets a request wait.
	inTime = maxWait
	// highestLatency and digits are the range and precision of the histograms.
	highestLatency = time.Minute
	digits         = 3
)

// Measure sums up a trial that has run.
func (t *Trial) Measure(results []Result) *Summary {
	s := &Summary{
		Scenario: t.Scenario.Name, Seed: t.Seed, Duration: t.Duration.String(), Offered: len(results),
		Codes: map[string]int{}, Workspaces: map[platform.WorkspaceName]WorkspaceSummary{},
		VMs: t.Site.Count.orUsual(), Reads: readsName(t.Site.Policies.ReadPolicy), Queue: string(t.Site.Policies.QueueOrder),
		Limit: limitName(t.Site.Policies.ConcurrencyLimit),
	}
	slices.SortFunc(results, func(a, b Result) int { return int(a.ID - b.ID) })
	for _, r := range results {
		s.count(r)
	}
	s.ReadLatency = latency(results, func(r Result) bool { return r.Kind == Read })
	s.WriteLatency = latency(results, func(r Result) bool { return r.Kind == Write })
	s.audit(results, t.Site.Group.History(), t.Site.Recorder.Runs())
	s.FailoverGap = failoverGap(results, t.cutAt())
	t.measureWorkspaces(s, results)
	return s
}

func (s *Summary) count(r Result) {
	switch r.Outcome {
	case Answered:
		s.Answered++
	case Refused:
		s.Refused++
	case Unknown:
		s.Unknown++
	}
	if r.Outcome != Answered {
		code := r.Code
		if code == "" {
			code = "none"
		}
		s.Codes[string(r.Kind)+" "+code]++
	}
	if r.Stale {
		s.StaleReads++
	}
}

// latency of the answered requests that are chosen, measured from the intended start.
func latency(results []Result, chosen func(Result) bool) Percentiles {
	h := hdrhistogram.New(1, highestLatency.Microseconds(), digits)
	for _, r := range results {
		if r.Outcome == Answered && chosen(r) {
			_ = h.RecordValue(min((r.Done - r.At).Microseconds(), highestLatency.Microseconds()))
		}
	}
	at := func(q float64) Milliseconds {
		return Milliseconds(float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond))
	}
	return Percentiles{at(50), at(90), at(99), at(100)}
}

// audit joins what callers were told with what the servers' log and record know.
func (s *Summary) audit(results []Result, history []fakeupstream.Entry, runs []fakeupstream.Run) {
	stored := map[RequestID]bool{}
	for _, e := range history {
		for _, st := range e.Statements {
			stored[requestOf(st)] = true
		}
	}
	ran := map[RequestID]int{}
	server := map[RequestID]string{}
	for _, run := range runs {
		id := requestOf(run.Statement)
		ran[id]++
		server[id] = string(run.Server)
	}
	fit, byReplica := 0, 0
	for _, r := range results {
		switch {
		case r.Kind == Read:
			if r.ReplicaFit && r.Outcome == Answered {
				fit++
				byReplica += one(server[r.ID] != r.Primary)
			}
			continue
		case r.Outcome == Answered && !stored[r.ID]:
			s.LostWrites++
		case r.Outcome == Refused && stored[r.ID]:
			s.UntrueRefusals++
		}
		s.DoubleRuns += one(ran[r.ID] > 1)
	}
	s.ReplicaReadShare = share(byReplica, fit)
}

// requestOf reads the request's number from a statement's first argument; 0 if the
// statement is none of the load's.
func requestOf(st fakeupstream.Statement) RequestID {
	if !strings.Contains(st.SQL, "receipts") || len(st.Args) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fmt.Sprint(st.Args[0]))
	return RequestID(n)
}

// cutAt is when the scenario cuts off the primary, negative if it doesn't.
func (t *Trial) cutAt() time.Duration {
	for _, f := range t.Scenario.Faults {
		if _, cut := f.Fault.(CutPrimary); cut {
			return time.Duration(f.At * float64(t.Duration))
		}
	}
	return -1
}

// failoverGap is the longest time without an acknowledged write from cut on.
func failoverGap(results []Result, cut time.Duration) Milliseconds {
	if cut < 0 {
		return 0
	}
	var done []time.Duration
	end := cut
	for _, r := range results {
		if r.Kind != Write {
			continue
		}
		end = max(end, r.At)
		if r.Outcome == Answered && r.Done >= cut {
			done = append(done, r.Done)
		}
	}
	done = append(done, cut, end)
	slices.Sort(done)
	gap := time.Duration(0)
	for i := range done[1:] {
		gap = max(gap, done[i+1]-done[i])
	}
	return Milliseconds(float64(gap) / float64(time.Millisecond))
}

// measureWorkspaces compares each workspace with the token bucket and the fair share.
func (t *Trial) measureWorkspaces(s *Summary, results []Result) {
	byName := map[platform.WorkspaceName][]Result{}
	for _, r := range results {
		byName[r.Workspace] = append(byName[r.Workspace], r)
	}
	var claims []claim
	for name, list := range byName {
		w, _ := t.Site.Document.Workspace(name)
		s.Workspaces[name] = workspaceSummary(w, list)
		claims = append(claims, claim{name, float64(w.Weight), float64(s.Workspaces[name].Inside)})
	}
	shares := fairShares(claims, t.capacity())
	s.WorstServedShare = 1
	for name, v := range s.Workspaces {
		v.FairShare = shares[name]
		v.ServedShare = 1
		if v.FairShare > 0 {
			v.ServedShare = min(1, float64(v.InTime)/v.FairShare)
		}
		s.Workspaces[name] = v
		s.WorstServedShare = min(s.WorstServedShare, v.ServedShare)
		s.WrongfulRefusals += v.WrongfulRefusals
		s.OverAdmitted += v.OverAdmitted
	}
}

// capacity is how many statements the group's slots can serve in the duration, were
// nothing of them lost.
func (t *Trial) capacity() float64 {
	slots := 0
	for _, server := range t.Site.Group.Servers {
		slots += server.Slots
	}
	return float64(slots) * t.Duration.Seconds() / serviceTime.Seconds()
}

func workspaceSummary(w *platform.Workspace, list []Result) WorkspaceSummary {
	v := WorkspaceSummary{Offered: len(list), Latency: latency(list, func(Result) bool { return true })}
	var arrivals []time.Duration
	var admitted []Span
	for _, r := range list {
		arrivals = append(arrivals, r.At)
		if r.Outcome == Answered || r.Code == codeUnknown {
			admitted = append(admitted, Span{r.Sent, r.Done})
		}
	}
	instead, wrongful := 0, 0
	for i, in := range inside(arrivals, float64(w.Rate), float64(w.Burst)) {
		r := list[i]
		v.Inside += one(in)
		v.InTime += one(r.Outcome == Answered && r.Done-r.At <= inTime)
		v.Refused += one(r.Outcome == Refused)
		wrongful += one(in && r.Outcome == Refused)
		instead += one(!in && r.Outcome == Answered)
	}
	v.WrongfulRefusals = max(0, wrongful-instead)
	v.OverAdmitted = OverAdmitted(admitted, float64(w.Rate), float64(w.Burst))
	return v
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
