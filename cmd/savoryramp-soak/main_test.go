package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/soak"
)

func TestParse(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		want      options
		err       string
	}{
		"defaults":       {want: options{Binary: "bin/savoryramp-vm", Seed: 1, VMs: 4, Lasts: 10e9, Crowd: 1, Late: 120e6, Repeats: "late", Faults: soak.NoFaults}},
		"faults":         {arguments: []string{"--faults", "all", "--seed", "7"}, want: options{Binary: "bin/savoryramp-vm", Seed: 7, VMs: 4, Lasts: 10e9, Crowd: 1, Late: 120e6, Repeats: "late", Faults: soak.AllFaults}},
		"restores":       {arguments: []string{"--faults", "restores"}, want: options{Binary: "bin/savoryramp-vm", Seed: 1, VMs: 4, Lasts: 10e9, Crowd: 1, Late: 120e6, Repeats: "late", Faults: soak.RestoreFaults}},
		"evacuations":    {arguments: []string{"--faults", "evacuations"}, want: options{Binary: "bin/savoryramp-vm", Seed: 1, VMs: 4, Lasts: 10e9, Crowd: 1, Late: 120e6, Repeats: "late", Faults: soak.EvacuationFaults}},
		"unknown faults": {arguments: []string{"--faults", "some"}, err: "some"},
		"too few VMs":    {arguments: []string{"--vms", "2"}, err: "3 or more"},
		"unknown way":    {arguments: []string{"--repeats", "late,twice"}, err: "twice"},
		"no time":        {arguments: []string{"--lasts", "0s"}, err: "above 0"},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := parse(test.arguments)
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, o, test.want)
		})
	}
}

func TestExecute(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		code      int
		said      string
	}{
		"a wrong command line": {[]string{"--vms", "none"}, 2, "none"},
		"no program":           {[]string{"--binary", "/nowhere/savoryramp-vm", "--keep", t.TempDir()}, 1, "/nowhere/savoryramp-vm"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, execute(test.arguments, &out, &errOut), test.code)
			assert.Assert(t, strings.Contains(errOut.String(), test.said), "%s", errOut.String())
		})
	}
}

func TestTell(t *testing.T) {
	var out bytes.Buffer
	tell(&out, soak.Report{Faults: []string{"a cut"}, Broken: []string{"a write twice"}, Counts: map[string]int{"a write once": 2}, Asked: 8, Served: 6, P50: 2e6, P99: 3e6, Repeats: 4})
	assert.Equal(t, out.String(), `fault   a cut
requests 8, served 6 (75.00%), p50 2ms, p99 3ms
repeated answers 4, of the store 0
BROKEN  a write twice
      2  a write once
promises broken: 2
`)
}
