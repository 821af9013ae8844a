package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "savoryramp-vm")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/savoryramp-vm").CombinedOutput()
	assert.NilError(t, err, string(out))
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
			soakOnce(t, binary, seed, own, nil)
		})
		network++
		scheduled := network
		runs.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed, scheduled, []string{"pressure"})
		})
	}
	runs.Wait()
}

// evacuationSeed is the least seed that draws evacuations. It is always played.
const evacuationSeed = 5

// soakOnce plays a seed with the contracts; every fourth draws planned faults only, another fourth restores of the store
// and what they may make worse, and an eighth evacuations.
func soakOnce(t *testing.T, binary string, seed uint64, network int, contracts []string) {
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
	report, err := s.Run()
	assert.Check(t, err)
	t.Logf("seed %d, contracts %v: %v", seed, contracts, report.Outcomes)
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
}
