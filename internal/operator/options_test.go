package operator

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

var platformArgs = []string{
	"--table-endpoint=http://127.0.0.1:1", "--store-endpoint=http://127.0.0.1:1",
	"--access-key-id=id", "--access-key-secret=secret",
}

// runArgs returns valid arguments of run; those in more replace or extend the defaults.
func runArgs(more ...string) []string {
	args := []string{"--vm=a-1", "--availability-zone=a", "--peer-cert=c", "--peer-key=k", "--peer-ca=a"}
	args = slices.DeleteFunc(append(args, platformArgs...), func(a string) bool {
		flag, _, _ := strings.Cut(a, "=")
		return slices.ContainsFunc(more, func(m string) bool { return strings.HasPrefix(m, flag+"=") })
	})
	return append(append([]string{"run"}, args...), more...)
}

func TestOptionsRefused(t *testing.T) {
	tests := map[string]struct {
		args    []string
		message string
	}{
		"unknown command":     {[]string{"walk"}, `expected command but got "walk"; see savoryramp --help`},
		"unknown flag":        {runArgs("--fast"), `unknown long flag '--fast'; see savoryramp --help`},
		"missing vm":          {[]string{"run"}, "--vm is required; pass it or set SAVORYRAMP_VM"},
		"missing table":       {[]string{"show"}, "--table-endpoint is required; pass it or set SAVORYRAMP_TABLE_ENDPOINT"},
		"bad name":            {runArgs("--vm=A 1"), `--vm: "A 1" is not a name; use lower-case letters, digits, dots, hyphens and underscores, like a-1`},
		"negative limit":      {runArgs("--max-callers=-1"), "--max-callers is -1, must be at least 0"},
		"host name":           {runArgs("--listen=localhost:6432"), `--listen: "localhost:6432" is not an address; use an IP address and a port, like 127.0.0.1:6432`},
		"second seed peer":    {runArgs("--seed-peers=127.0.0.1:1,x"), `--seed-peers: "x" is not an address; use an IP address and a port, like 127.0.0.1:6432`},
		"same address twice":  {runArgs("--listen=127.0.0.1:6480"), "--listen, --admin and --peer must differ; two of them are the same"},
		"duration, no unit":   {runArgs("--drain-time=30"), `--drain-time: "30" is not a duration; use a number with a unit, like 30s or 500ms`},
		"negative duration":   {runArgs("--max-wait=-1s"), "--max-wait: -1s is too short; the minimum is 0s"},
		"zero deadline":       {runArgs("--statement-deadline=0s"), "--statement-deadline: 0s is too short; the minimum is 1ms"},
		"endpoint":            {runArgs("--store-endpoint=10.0.0.1"), `--store-endpoint: "10.0.0.1" is not an endpoint; use a URL like http://127.0.0.1:8000`},
		"log level":           {runArgs("--log-level=loud"), `--log-level: "loud" is not a valid value; use one of error, warn, info, debug`},
		"limit":               {runArgs("--limit=none"), `--limit: "none" is not a valid value; use one of fixed, adaptive`},
		"certificate, no key": {runArgs("--listen-cert=c"), "--listen-cert and --listen-key must be set together; set both or neither"},
		"vm address":          {[]string{"state", "a-1"}, `VM-ADDRESS: "a-1" is not an address; use an IP address and a port, like 127.0.0.1:6432`},
		"shell":               {[]string{"completion", "fish"}, `SHELL: "fish" is not a valid value; use one of bash, zsh`},
		"key name":            {append([]string{"key", "create", "desk", "Desk"}, platformArgs...), `NAME: "Desk" is not a name; use lower-case letters, digits, dots, hyphens and underscores, like a-1`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var errOut bytes.Buffer
			code := Main("1", test.args, io.Discard, &errOut)
			assert.Equal(t, errOut.String(), "savoryramp: "+test.message+"\n")
			assert.Equal(t, code, ExitUsage)
		})
	}
}

func TestOptionsFromVariables(t *testing.T) {
	t.Setenv("SAVORYRAMP_DRAIN_TIME", "7s")
	t.Setenv("SAVORYRAMP_MAX_WAIT", "3s")
	t.Setenv("SAVORYRAMP_SEED_PEERS", "10.0.0.1:1,10.0.0.2:2")
	o, err := ParseOptions("1", runArgs("--max-wait=1s"), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, o.Command, CommandRun)
	assert.Equal(t, o.Run.DrainTime, 7*time.Second)
	assert.Equal(t, o.Run.MaxWait, time.Second)
	assert.Equal(t, len(o.Run.SeedPeers), 2)
	assert.Equal(t, string(o.Run.AdminListen), "127.0.0.1:6480")
}

func TestVariableRefused(t *testing.T) {
	t.Setenv("SAVORYRAMP_BALANCER_LAG", "soon")
	var errOut bytes.Buffer
	assert.Equal(t, Main("1", runArgs(), io.Discard, &errOut), ExitUsage)
	assert.Assert(t, cmp.Contains(errOut.String(), `--balancer-lag: "soon" is not a duration`))
}

// Every command must have a help page with an example, and every flag an environment
// variable.
func TestHelp(t *testing.T) {
	app := new(Options).application("1")
	_, err := app.ParseContext(nil)
	assert.NilError(t, err)
	for _, c := range app.Model().FlattenedCommands() {
		t.Run(c.FullCommand, func(t *testing.T) {
			if c.Name == "help" {
				return
			}
			var out bytes.Buffer
			args := append(strings.Fields(c.FullCommand), "--help")
			assert.Equal(t, Main("1", args, &out, io.Discard), ExitOK)
			assert.Equal(t, strings.Count(out.String(), "Usage: "), 1)
			assert.Assert(t, cmp.Contains(out.String(), "savoryramp "+c.FullCommand))
			assert.Assert(t, cmp.Contains(c.HelpLong, "  "), "no example")
			for _, f := range c.Flags {
				assert.Equal(t, f.Envar, envVariable(f.Name))
			}
		})
	}
}
