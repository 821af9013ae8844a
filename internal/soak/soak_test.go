package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/platform/standin"
)

var (
	seeds    = flag.Int("seeds", 2, "how many seeds to play")
	from     = flag.Uint64("from", 1, "the first seed")
	parallel = flag.Int("at-once", 2, "runs at once")
	vms      = flag.Int("vms", 4, "VMs a run")
	lasts    = flag.Duration("lasts", 6*time.Second, "how long faults come in a run")
	keep     = flag.String("keep", "", "folder for the logs of runs that fail")
)

// regressions are the seeds that ever failed, with the cause. A seed draws the same faults
// in the same order; what they meet differs from run to run.
var regressions = map[uint64]string{}

// Guards against broken promises under faults of processes, networks, servers and the store.
func TestSoak(t *testing.T) {
	binary := buildVM(t)
	list := map[uint64]bool{}
	for seed := range regressions {
		list[seed] = true
	}
	for i := range *seeds {
		list[*from+uint64(i)] = true
	}
	list[evacuationSeed] = true
	turns := make(chan struct{}, *parallel)
	var runs sync.WaitGroup
	network := os.Getpid() % 10000
	for seed := range list {
		network++
		own := network
		runs.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed, own, nil, nil)
		})
		network++
		scheduled := network
		runs.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed, scheduled, []string{"pressure"}, nil)
		})
	}
	runs.Wait()
}

// Guards against confirmed commits that a failover loses, and against replicas that one leaves paused, beside the faults
// of TestSoak.
func TestSoakWithConfirmedCommits(t *testing.T) {
	binary := buildVM(t)
	turns := make(chan struct{}, *parallel)
	var runs sync.WaitGroup
	for i := range *seeds {
		seed := *from + uint64(i)
		runs.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed, os.Getpid()+i, [][]string{nil, {"pressure"}}[seed%2], func(s *Soak) {
				s.SyncReplicas = 1 + int(seed/2%2)
				if s.Faults == PlannedFaults {
					s.Faults = AllFaults
				}
				s.EndsWithFault, s.Crowd = seed%3 != 0, 1+int(seed%3)*finalCrowd
			})
		})
	}
	runs.Wait()
}

// Guards against answers that aren't the request's own while servers and the store repeat answers, beside the
// faults of TestSoak.
func TestSoakWithRepeatedAnswers(t *testing.T) {
	binary := buildVM(t)
	turns := make(chan struct{}, *parallel)
	var runs sync.WaitGroup
	// The networks are those of TestSoak, whose runs are over.
	for i := range *seeds {
		seed := *from + uint64(i)
		runs.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed, os.Getpid()+i, [][]string{nil, {"pressure"}}[seed%2], drawStutter)
		})
	}
	runs.Wait()
}

// Guards against repeated refusals that settle whose refusal another one is, and so let writes and commits run
// twice, and against too few requests served.
func TestSoakUnderLoadWithRepeatedAnswers(t *testing.T) {
	soakOnce(t, buildVM(t), *from, os.Getpid(), nil, loadWithRepeats)
}

func buildVM(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "savoryramp-vm")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/savoryramp-vm").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// drawStutter draws how servers and the store answer in a run.
func drawStutter(s *Soak) {
	r := rand.New(rand.NewPCG(s.Seed, 7))
	late := time.Duration(20+r.IntN(480)) * time.Millisecond
	s.Stutter = &standin.Stutter{Seed: s.Seed, Repeated: 0.005 + 0.025*r.Float64(), Late: late, Repeats: standin.AllRepeats}
	if r.IntN(2) == 0 {
		s.Stutter.Repeats = []standin.Repeat{standin.AllRepeats[r.IntN(len(standin.AllRepeats))]}
	}
	s.Stutter.BrokenOff, s.Stutter.Refused = 0.01*float64(r.IntN(2)), 0.03*float64(r.IntN(2))
	s.StoreStutter = &standin.Stutter{Seed: s.Seed, Repeated: 0.2 * float64(r.IntN(2)), Late: late}
	s.Clients = 4 + r.IntN(8)
}

// leastShare is the share of requests that must be served while loadWithRepeats is in force.
const leastShare = 0.95

// loadWithRepeats has 2% of the servers' answers repeated up to 500 ms late and 3% of the statements refused, under load.
func loadWithRepeats(s *Soak) {
	s.Faults, s.Clients = NoFaults, 24
	s.Stutter = &standin.Stutter{Seed: s.Seed, Repeated: 0.02, Late: 500 * time.Millisecond, Repeats: standin.AllRepeats, Refused: 0.03}
}

// finalCrowd is by how much a run that ends with a final fault has more callers.
const finalCrowd = 3

// evacuationSeed is the least seed that draws evacuations. It is always played.
const evacuationSeed = 5

// soakOnce plays a seed with the contracts; every fourth draws planned faults only, another fourth restores of the store
// and what they may make worse, and an eighth evacuations.
func soakOnce(t *testing.T, binary string, seed uint64, network int, contracts []string, stutter func(*Soak)) {
	folder, err := os.MkdirTemp(*keep, fmt.Sprintf("soak-%d-", seed))
	assert.Check(t, err)
	s := &Soak{Binary: binary, Folder: folder, Seed: seed, VMs: *vms, Lasts: *lasts, Faults: AllFaults, Network: network % 10000, Contracts: contracts}
	switch seed % 4 {
	case 0:
		s.Faults = PlannedFaults
	case 2:
		s.Faults = RestoreFaults
	}
	if seed%8 == evacuationSeed {
		s.Faults = EvacuationFaults
	}
	if stutter != nil {
		stutter(s)
	}
	report, err := s.Run()
	assert.Check(t, err)
	if s.Faults == NoFaults && report.Share() < leastShare {
		report.Broken = append(report.Broken, fmt.Sprintf("requests are served: %.1f%% of %d", 100*report.Share(), report.Asked))
	}
	t.Logf("seed %d, contracts %v: %v, %.1f%% of %d served, %d answers repeated, %d of the store", seed, contracts, report.Outcomes, 100*report.Share(), report.Asked, report.Repeats, report.StoreRepeats)
	for _, f := range report.Faults {
		if strings.Contains(f, evacuateZone) || strings.Contains(f, restartCold) {
			t.Logf("seed %d: %s", seed, f)
		}
	}
	if len(report.Broken) == 0 && err == nil {
		os.RemoveAll(folder)
		return
	}
	t.Errorf("seed %d, contracts %v, logs in %s", seed, contracts, folder)
	for _, f := range report.Faults {
		t.Logf("seed %d: %s", seed, f)
	}
	for _, b := range report.Broken {
		t.Errorf("seed %d: %s", seed, b)
	}
	t.Logf("seed %d: %v", seed, report.Counts)
}
