package main

import (
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/soak"
	"github.com/savoryramp/savoryramp/platform/standin"
)

var version = "0.2.0"

const help = `Runs VMs before stand-ins of the users' platform and checks what their callers get.

Starts the platform's store, three servers of one service and the VMs as processes on
loopback addresses, lets callers read, write and run transactions, and checks their answers
against the servers' logs: nothing lost, doubled or stale, no rate exceeded, no withdrawn key
accepted. With --faults, connections are delayed, cut and silenced, and processes stopped,
paused, killed and started meanwhile. Exits with 1 when a promise was broken.`

// leastVMs leave one that serves when a fault has taken another.
const leastVMs = 3

var errMalformed = errorx.NewNamespace("savoryramp-soak").NewType("malformed")

// options are the command line and environment.
type options struct {
	// Binary is the path of savoryramp-vm.
	Binary string
	Seed   uint64
	VMs    int
	// Lasts is how long callers work.
	Lasts  time.Duration
	Faults soak.Faults
	// Contracts are those in the VMs' settings, separated by commas.
	Contracts string
	// Crowd multiplies the writers and readers.
	Crowd int
	// Repeated, BrokenOff and Refused are shares of the servers' answers, Late the most by which a repeated one
	// comes later.
	Repeated, BrokenOff, Refused float64
	Late                         time.Duration
	// Repeats has the ways in which answers are repeated, separated by commas, or "mix" for all.
	Repeats string
	// StoreRepeated is the share of the store's answers that are sent a second time.
	StoreRepeated float64
	// SyncReplicas is how many replicas confirm each commit.
	SyncReplicas int
	// Clients is how many callers send mixed statements without pauses.
	Clients int
	// Keep is the folder for settings and logs; empty for one that is removed.
	Keep string
}

// parse reads the command line; an error of errMalformed.
func parse(arguments []string) (options, error) {
	var o options
	var faults string
	app := kingpin.New("savoryramp-soak", help).Version(version)
	app.Flag("binary", "The VM's program.").Default("bin/savoryramp-vm").Envar("SAVORYRAMP_SOAK_BINARY").StringVar(&o.Binary)
	app.Flag("seed", "What the faults are drawn by.").Default("1").Uint64Var(&o.Seed)
	app.Flag("vms", "How many VMs run.").Default("4").IntVar(&o.VMs)
	app.Flag("lasts", "How long callers work.").Default("10s").DurationVar(&o.Lasts)
	app.Flag("faults", "Which faults come: none, planned, restores, evacuations or all.").Default(string(soak.NoFaults)).EnumVar(&faults, string(soak.NoFaults), string(soak.PlannedFaults), string(soak.RestoreFaults), string(soak.EvacuationFaults), string(soak.AllFaults))
	app.Flag("contracts", "The contracts in the VMs' settings, separated by commas.").StringVar(&o.Contracts)
	app.Flag("crowd", "By how much the writers and readers are multiplied.").Default("1").IntVar(&o.Crowd)
	app.Flag("repeated", "The share of the servers' answers that are sent a second time.").Default("0").Float64Var(&o.Repeated)
	app.Flag("late", "How much later a repeated answer comes at most.").Default("120ms").DurationVar(&o.Late)
	app.Flag("broken-off", "The share of the servers' answers that are broken off.").Default("0").Float64Var(&o.BrokenOff)
	app.Flag("refused", "The share of the callers' statements that the servers refuse.").Default("0").Float64Var(&o.Refused)
	app.Flag("repeats", "The ways to repeat answers, separated by commas: "+ways()+", or mix for all.").Default(string(standin.RepeatLate)).StringVar(&o.Repeats)
	app.Flag("store-repeated", "The share of the store's answers that are sent a second time.").Default("0").Float64Var(&o.StoreRepeated)
	app.Flag("sync-replicas", "How many replicas confirm each commit.").Default("0").IntVar(&o.SyncReplicas)
	app.Flag("clients", "How many callers send mixed statements without pauses.").Default("0").IntVar(&o.Clients)
	app.Flag("keep", "Folder in which the VMs' settings and logs are kept.").StringVar(&o.Keep)
	if _, err := app.Parse(arguments); err != nil {
		return options{}, errMalformed.Wrap(err, "command line")
	}
	o.Faults = soak.Faults(faults)
	if o.VMs < leastVMs {
		return options{}, errMalformed.New("--vms is %d, %d or more is expected", o.VMs, leastVMs)
	}
	if o.Lasts <= 0 {
		return options{}, errMalformed.New("--lasts is %s, a time above 0 is expected", o.Lasts)
	}
	for _, r := range o.repeats() {
		if !slices.Contains(standin.AllRepeats, r) {
			return options{}, errMalformed.New("--repeats has %q, expected are %s and mix", r, ways())
		}
	}
	return o, nil
}

// ways lists the ways to repeat answers.
func ways() string {
	var list []string
	for _, r := range standin.AllRepeats {
		list = append(list, string(r))
	}
	return strings.Join(list, ", ")
}

// repeats returns the ways to repeat answers.
func (o options) repeats() []standin.Repeat {
	if o.Repeats == "mix" {
		return standin.AllRepeats
	}
	var list []standin.Repeat
	for _, r := range strings.Split(o.Repeats, ",") {
		list = append(list, standin.Repeat(r))
	}
	return list
}
