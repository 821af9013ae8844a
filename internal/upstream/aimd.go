package upstream

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// aimdWindow and aimdMinSamples are the shortest time and the fewest responses
	// between two adjustments of the limit.
	aimdWindow     = 100 * time.Millisecond
	aimdMinSamples = 12
	// minWorkspaceSamples is how many responses of a workspace a window needs for the
	// workspace to count; at most maxWorkspaceSamples are kept.
	minWorkspaceSamples = 3
	maxWorkspaceSamples = 64
	// slownessTolerance is the ratio of response time to baseline above which the limit
	// is lowered.
	slownessTolerance = 2.0
	// minBaseline keeps the jitter of very short statements from counting as slowness.
	minBaseline = time.Millisecond
	// minDecreaseFactor is the smallest factor by which one adjustment lowers the
	// limit.
	minDecreaseFactor = 0.5
	// minLimit lets requests make progress, however slow the server is.
	minLimit = 1
	// baselineTTL is about how long a lowest median serves as a baseline.
	baselineTTL = 5 * time.Minute
)

// aimd is the state of an adaptive concurrency limit by AIMD (additive increase,
// multiplicative decrease) on response time. After each window, the response times of
// each workspace are compared with that workspace's own baseline, and the lower median
// over the workspaces decides, so that locks or heavier statements of one workspace
// don't limit the others. Above slownessTolerance the limit falls in proportion to the
// slowness; otherwise it rises by one if it was fully used.
type aimd struct {
	// limit is 0 while no limit applies, otherwise at least minLimit.
	limit float64
	// peak is the largest number of connections in use in this window, not counting
	// idle transactions.
	peak        int
	windowStart time.Time
	samples     int
	// workspaces holds the workspaces that have a baseline or had a response in this
	// window.
	workspaces map[platform.WorkspaceName]*workspaceResponses
}

// workspaceResponses holds one server's response times to one workspace.
type workspaceResponses struct {
	window []time.Duration
	// baseline is the lowest median since rotatedAt, previousBaseline that of the
	// period before; 0 if there is none.
	baseline         time.Duration
	previousBaseline time.Duration
	rotatedAt        time.Time
}

// currentLimit returns the limit in whole connections.
func (a *aimd) currentLimit() int {
	if a.limit == 0 {
		return unlimited
	}
	return int(a.limit)
}

// observe adds a response and adjusts the limit at the end of a window; active is how
// many connections were in use when the response came, not counting idle transactions.
func (a *aimd) observe(r responseTime, active int) {
	if a.workspaces == nil {
		a.workspaces = map[platform.WorkspaceName]*workspaceResponses{}
	}
	workspace := a.workspaces[r.workspace]
	if workspace == nil {
		workspace = &workspaceResponses{rotatedAt: r.at}
		a.workspaces[r.workspace] = workspace
	}
	if a.samples == 0 {
		a.windowStart = r.at
	}
	a.samples++
	if len(workspace.window) < maxWorkspaceSamples {
		workspace.window = append(workspace.window, r.duration)
	}
	if a.samples < aimdMinSamples || len(workspace.window) < minWorkspaceSamples || r.at.Sub(a.windowStart) < aimdWindow {
		return
	}
	if slowness, known := a.slowness(r.at); known {
		a.adjust(slowness)
	}
	a.samples, a.peak = 0, active
}

// slowness returns the response time of the window that just ended as a multiple of the
// baseline; false if no workspace has both enough responses and a baseline.
func (a *aimd) slowness(now time.Time) (float64, bool) {
	var slownesses []float64
	for name, workspace := range a.workspaces {
		if s, known := workspace.slowness(now); known {
			slownesses = append(slownesses, s)
		}
		if workspace.baseline == 0 && workspace.previousBaseline == 0 {
			delete(a.workspaces, name)
		}
	}
	if len(slownesses) == 0 {
		return 0, false
	}
	slices.Sort(slownesses)
	return slownesses[(len(slownesses)-1)/2], true
}

func (a *aimd) adjust(slowness float64) {
	switch {
	case slowness > slownessTolerance:
		peak := float64(a.peak)
		if a.limit != 0 {
			peak = min(peak, a.limit)
		}
		a.limit = max(minLimit, peak*max(minDecreaseFactor, slownessTolerance/slowness))
	case a.limit != 0 && a.peak >= a.currentLimit():
		a.limit++
	}
}

// slowness compares one workspace's window with its baseline. The window itself becomes
// part of the baseline only afterwards.
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

// rotateBaseline starts a new period once the present one is older than baselineTTL/2;
// the baseline of the present period is kept as the previous one, unless the period is
// older than baselineTTL.
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

// minNonZero returns the lower of two times, of which 0 stands for none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
