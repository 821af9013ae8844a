// Package load puts an open-loop load with faults on savoryramp and measures what its
// users asked for. A Trial starts the platform's stand-in, one group of stand-in
// servers and three to nine VMs in its own process, plays a Scenario, and sums up what every
// caller was told against what the stand-ins know to be true.
package load

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// ScenarioName names a scenario on the command line.
type ScenarioName string

// Scenario is a load and the faults that meet it. Times are parts of the duration.
type Scenario struct {
	Name ScenarioName
	// Load is what each workspace offers, as a part of its rate.
	Load float64
	// Writes is the part of requests that write.
	Writes float64
	// Roams is the part of requests before which the caller connects to another VM.
	Roams float64
	// Surge is one workspace's load, as a multiple of its rate, within SurgeFrom and
	// SurgeTo; 0 is none.
	Surge     float64
	SurgeFrom float64
	SurgeTo   float64
	Faults    []Timed
	// VMs is how many VMs callers roam between; 0 for UsualVMs.
	VMs VMCount
}

// Timed is a fault with its time, as a part of the duration.
type Timed struct {
	At    float64
	Fault Fault
}

// Fault is what a scenario does to the parts: CutPrimary, Heal, PlatformDown,
// PlatformUp, RestartVM, LagReplica, SlowReplica or SlowPrimary.
type Fault interface{ label() string }

type (
	// CutPrimary stops log entries between the primary and all others; clients
	// still reach it.
	CutPrimary struct{}
	// Heal ends the cut of every server.
	Heal struct{}
	// PlatformDown refuses all calls to table and store.
	PlatformDown struct{}
	// PlatformUp ends that.
	PlatformUp struct{}
	// RestartVM tells a VM to shut down and starts it again.
	RestartVM struct{ VM int }
	// LagReplica sets the lag of the replica of an index among the replicas.
	LagReplica struct {
		Replica int
		Lag     time.Duration
	}
	// SlowReplica sets how long a statement holds a slot of the replica of an index.
	SlowReplica struct {
		Replica int
		Service time.Duration
	}
	// SlowPrimary sets it for the primary.
	SlowPrimary struct{ Service time.Duration }
)

func (CutPrimary) label() string   { return "primary cut off" }
func (Heal) label() string         { return "cut healed" }
func (PlatformDown) label() string { return "platform down" }
func (PlatformUp) label() string   { return "platform up" }
func (f RestartVM) label() string  { return "restart " + string(vmName(f.VM)) }
func (f LagReplica) label() string { return "replica lag " + f.Lag.String() }

func (f SlowReplica) label() string { return "replica service " + f.Service.String() }
func (f SlowPrimary) label() string { return "primary service " + f.Service.String() }

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "ramadan", Load: 0.75, Writes: 0.05, Roams: 0.02, Surge: 10, SurgeFrom: 0.25, SurgeTo: 0.75},
		{Name: "exam", Load: 0.12, Writes: 0.7, Roams: 0.05, Faults: []Timed{{0.35, CutPrimary{}}, {0.7, Heal{}}}},
		{Name: "platform-outage", Load: 0.4, Writes: 0.15, Roams: 0.05, Faults: []Timed{{0.25, PlatformDown{}}, {0.75, PlatformUp{}}}},
		{Name: "rolling-restart", Load: 0.3, Writes: 0.15, Roams: 0.02, Faults: []Timed{{0.15, RestartVM{0}}, {0.4, RestartVM{1}}, {0.65, RestartVM{2}}}},
		{Name: "lagging-replicas", Load: 0.4, Writes: 0.15, Roams: 0.2, Faults: []Timed{
			{0.25, LagReplica{0, 2 * time.Second}},
			{0.5, LagReplica{1, 200 * time.Millisecond}},
			{0.75, LagReplica{0, usualLag}},
			{0.75, LagReplica{1, usualLag}},
		}},
		{Name: "slow-server", Load: 0.6, Writes: 0.15, Roams: 0.05, Faults: []Timed{
			{0.2, SlowReplica{0, 10 * serviceTime}},
			{0.5, SlowReplica{0, serviceTime}},
			{0.6, SlowPrimary{5 * serviceTime}},
			{0.8, SlowPrimary{serviceTime}},
		}},
	}
}

// FindScenario gives the scenario of a name. ErrSetup.
func FindScenario(name ScenarioName) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, ErrSetup.New("no scenario %q", name)
}

// surging is the workspace that surges: the second of the document, so that it is a
// large one but not the largest.
func surging(d *platform.Document) platform.WorkspaceName {
	return d.Workspaces[min(1, len(d.Workspaces)-1)].Name
}
