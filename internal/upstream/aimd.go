package upstream

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// aimdWindow and aimdSamples are the least time and responses between two changes.
	aimdWindow     = 100 * time.Millisecond
	aimdMinSamples = 12
	// workspaceSamples is how many of them give a workspace a say; no more than
	// maxWorkspaceSamples are kept.
	minWorkspaceSamples = 3
	maxWorkspaceSamples = 64
	// tolerance is by how much the response time may be above its usual low.
	slownessTolerance = 2.0
	// leastLow keeps the jitter of short statements from counting.
	minBaseline = time.Millisecond
	// leastDecrease is the smallest factor of one change.
	minDecreaseFactor = 0.5
	// leastBound lets requests make progress, however slow the server is.
	minLimit = 1
	// lowFor is how long a low counts as usual.
	baselineTTL = 5 * time.Minute
)

// aimd is the state of an adaptive concurrency limit by AIMD (additive increase,
// multiplicative decrease) on response time. After each window the times of each
// workspace are set against the usual low of the same workspace, and the lower median
// over the workspaces decides, so that locks or heavier statements of one workspace
// don't limit the others. Above tolerance the limit falls in proportion; else it rises
// by one while it is used up.
type aimd struct {
	// limit is 0 while there is none, else at least leastBound.
	limit float64
	// peak is the most connections in use in this window.
	peak        int
	windowStart time.Time
	samples     int
	// workspaces with responses within lowFor.
	workspaces map[platform.WorkspaceName]*workspaceResponses
}

// responses are those of one server to one workspace.
type workspaceResponses struct {
	window []time.Duration
	// low is the least median since turned, before that of the time before; 0 for none.
	baseline         time.Duration
	previousBaseline time.Duration
	rotatedAt        time.Time
}

// bound is the limit in whole connections.
func (a *aimd) currentLimit() int {
	if a.limit == 0 {
		return unlimited
	}
	return int(a.limit)
}

// observe takes note of a response while busy connections are in use.
func (a *aimd) observe(r responseTime, busy int) {
	if a.workspaces == nil {
		a.workspaces = map[platform.WorkspaceName]*workspaceResponses{}
	}
	w := a.workspaces[r.workspace]
	if w == nil {
		w = &workspaceResponses{rotatedAt: r.at}
		a.workspaces[r.workspace] = w
	}
	if a.samples == 0 {
		a.windowStart = r.at
	}
	a.samples++
	if len(w.window) < maxWorkspaceSamples {
		w.window = append(w.window, r.duration)
	}
	if a.samples < aimdMinSamples || len(w.window) < minWorkspaceSamples || r.at.Sub(a.windowStart) < aimdWindow {
		return
	}
	if slowness, known := a.slowness(r.at); known {
		a.adjust(slowness)
	}
	a.samples, a.peak = 0, busy
}

// slowness is the response time of the window that ends, in multiples of the usual low;
// false if no workspace has both.
func (a *aimd) slowness(now time.Time) (float64, bool) {
	var list []float64
	for name, w := range a.workspaces {
		if s, known := w.slowness(now); known {
			list = append(list, s)
		}
		if w.baseline == 0 && w.previousBaseline == 0 {
			delete(a.workspaces, name)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], true
}

func (a *aimd) adjust(slowness float64) {
	switch {
	case slowness > slownessTolerance:
		used := float64(a.peak)
		if a.limit != 0 {
			used = min(used, a.limit)
		}
		a.limit = max(minLimit, used*max(minDecreaseFactor, slownessTolerance/slowness))
	case a.limit != 0 && a.peak >= a.currentLimit():
		a.limit++
	}
}

// slowness of one workspace; a low of this very window doesn't count yet.
func (w *workspaceResponses) slowness(now time.Time) (slowness float64, known bool) {
	w.rotateBaseline(now)
	window := w.window
	w.window = w.window[:0]
	if len(window) < minWorkspaceSamples {
		return 0, false
	}
	slices.Sort(window)
	median := max(window[(len(window)-1)/2], minBaseline)
	reference := minNonZero(w.baseline, w.previousBaseline)
	w.baseline = minNonZero(w.baseline, median)
	if reference == 0 {
		return 0, false
	}
	return float64(median) / float64(reference), true
}

// turn forgets lows that are older than lowFor.
func (w *workspaceResponses) rotateBaseline(now time.Time) {
	age := now.Sub(w.rotatedAt)
	if age <= baselineTTL/2 {
		return
	}
	w.previousBaseline, w.baseline, w.rotatedAt = w.baseline, 0, now
	if age > baselineTTL {
		w.previousBaseline = 0
	}
}

// lower of two times, of which 0 stands for none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
