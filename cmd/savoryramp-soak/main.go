// Command savoryramp-soak runs VMs before stand-ins of the users' platform and checks what
// their callers get.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/internal/soak"
	"github.com/savoryramp/savoryramp/platform/standin"
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute gives the exit code: 0 all promises were kept, 1 one was broken or the run couldn't
// be made, 2 the command line is wrong.
func execute(arguments []string, out, errOut io.Writer) int {
	o, err := parse(arguments)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	folder, err := os.MkdirTemp(o.Keep, "savoryramp-soak-")
	if err != nil {
		fmt.Fprintf(errOut, "savoryramp-soak: %s\n", err)
		return 1
	}
	fmt.Fprintf(out, "%d VMs before three servers for %s, faults: %s, seed %d\n", o.VMs, o.Lasts, o.Faults, o.Seed)
	s := &soak.Soak{
		Binary: o.Binary, Folder: folder, Seed: o.Seed, VMs: o.VMs, Lasts: o.Lasts, Faults: o.Faults, Contracts: strings.FieldsFunc(o.Contracts, func(r rune) bool { return r == ',' }),
		Network: os.Getpid() % networks, Crowd: o.Crowd, Clients: o.Clients, SyncReplicas: o.SyncReplicas, EndsWithFault: o.SyncReplicas > 0 && o.Faults == soak.AllFaults,
		Stutter:      &standin.Stutter{Seed: o.Seed, Repeated: o.Repeated, Late: o.Late, Repeats: o.repeats(), BrokenOff: o.BrokenOff, Refused: o.Refused},
		StoreStutter: &standin.Stutter{Seed: o.Seed, Repeated: o.StoreRepeated, Late: o.Late},
	}
	report, err := s.Run()
	if err != nil {
		fmt.Fprintf(errOut, "savoryramp-soak: %s, logs in %s\n", err, folder)
		return 1
	}
	tell(out, report)
	if len(report.Broken) > 0 {
		fmt.Fprintf(errOut, "savoryramp-soak: logs in %s\n", folder)
		return 1
	}
	if o.Keep != "" {
		fmt.Fprintf(out, "logs in %s\n", folder)
		return 0
	}
	if err := os.RemoveAll(folder); err != nil {
		fmt.Fprintf(errOut, "savoryramp-soak: %s\n", err)
		return 1
	}
	return 0
}

// networks is how many runs may overlap on one machine's loopback addresses.
const networks = 10000

func tell(out io.Writer, report soak.Report) {
	for _, f := range report.Faults {
		fmt.Fprintf(out, "fault   %s\n", f)
	}
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Fprintf(out, "%-9s %7d\n", outcome, report.Outcomes[outcome])
	}
	if report.Asked > 0 {
		fmt.Fprintf(out, "requests %d, served %d (%.2f%%), p50 %s, p99 %s\n", report.Asked, report.Served, 100*report.Share(), report.P50.Round(10*time.Microsecond), report.P99.Round(10*time.Microsecond))
	}
	if report.Repeats+report.StoreRepeats > 0 {
		fmt.Fprintf(out, "repeated answers %d, of the store %d\n", report.Repeats, report.StoreRepeats)
	}
	for _, b := range report.Broken {
		fmt.Fprintf(out, "BROKEN  %s\n", b)
	}
	all := 0
	for _, promise := range slices.Sorted(maps.Keys(report.Counts)) {
		fmt.Fprintf(out, "%7d  %s\n", report.Counts[promise], promise)
		all += report.Counts[promise]
	}
	fmt.Fprintf(out, "promises broken: %d\n", all)
}
