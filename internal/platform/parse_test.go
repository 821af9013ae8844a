package platform_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

// testVerifier is a valid SCRAM-SHA-256 verifier.
const testVerifier = "SCRAM-SHA-256$4096:m3GrAOcwdFgWUGDOJmzELw==$SSGWAOSg+SvqFTyOJr7Mn0RBHmRcyfoAle1mbRYHxuE=:g7uDlUkocyvMLEkBJzZSM/G7VxZka+tHqnm+KGtzGQU="

// minimalDocument is a valid document with one of each kind of entry.
const minimalDocument = `service: ataa
upstreams:
  - name: receipts
    user: savoryramp
    database: receipts
    servers:
      - name: receipts-a
        address: 127.0.0.1:7111
        availability-zone: jordan-1
        connections: 24
        slots: 3
databases:
  - name: desk
    upstream: receipts
    max-staleness: 5s
workspaces:
  - name: amman
    rate: 6000/m
    burst: 200
    databases: [desk]
    keys:
      - name: amman-demo
        verifier: ` + testVerifier + `
alerts: |
  groups:
    - name: failover
      rules:
        # Kept as it is.
        - alert: PrimaryMissing
          expr: savoryramp_primary < 1
          for: 10s
`

func TestParseMinimal(t *testing.T) {
	d, err := platform.Parse([]byte(minimalDocument))
	assert.NilError(t, err)
	w, key, found := d.Key("amman-demo")
	assert.Assert(t, found)
	assert.Equal(t, w.Rate, platform.RequestsPerSecond(100))
	assert.Equal(t, w.Weight, platform.Weight(1))
	assert.Equal(t, key.Verifier, platform.Verifier(testVerifier))
	database, found := d.Database("desk")
	assert.Assert(t, found)
	assert.Equal(t, database.MaxStaleness, 5*time.Second)
	upstream, found := d.Upstream(database.Upstream)
	assert.Assert(t, found)
	assert.Equal(t, upstream.Acknowledge, platform.ReplicaConfirmed)
	assert.Assert(t, strings.Contains(d.Alerts, "    # Kept as it is.\n"))
}

func TestParseMistakes(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		want             []string
	}{
		"empty":                 {minimalDocument, "", []string{"line 1: is empty"}},
		"not YAML":              {minimalDocument, "a: [", []string{"line 1: did not find expected node content"}},
		"second document":       {"service: ataa\n", "service: ataa\n---\n", []string{"line 2: must be one YAML document"}},
		"not a mapping":         {minimalDocument, "- a\n", []string{"line 1: must be a mapping"}},
		"too large":             {minimalDocument, strings.Repeat("#", platform.MaxDocumentSize+1), []string{"line 0: is larger than 1 MiB"}},
		"unknown field":         {"    burst: 200", "    burst: 200\n    bursts: 1", []string{"line 20: workspaces[0].bursts: unknown field"}},
		"field twice":           {"        slots: 3", "        slots: 3\n        slots: 4", []string{"line 12: upstreams[0].servers[0].slots: is given twice, first in line 11"}},
		"field missing":         {"    burst: 200\n", "", []string{"line 17: workspaces[0].burst: is missing"}},
		"empty list":            {"[desk]", "[]", []string{"line 20: workspaces[0].databases: must not be empty"}},
		"not a list":            {"[desk]", "desk", []string{"line 20: workspaces[0].databases: must be a list"}},
		"empty text":            {"    user: savoryramp", `    user: ""`, []string{"line 4: upstreams[0].user: must not be empty"}},
		"bad name":              {"service: ataa", "service: Ataa Foundation", []string{"line 1: service: must be up to 63 lower-case letters, digits, dots, dashes and underscores"}},
		"dangling upstream":     {"    upstream: receipts", "    upstream: receipt", []string{"line 14: databases[0].upstream: there is no upstream receipt"}},
		"dangling database":     {"[desk]", "[desk, portal]", []string{"line 20: workspaces[0].databases[1]: there is no database portal"}},
		"dangling workspace":    {"    max-staleness", "    open: true\n    open-workspace: public\n    max-staleness", []string{"line 16: databases[0].open-workspace: there is no workspace public"}},
		"open to no workspace":  {"    max-staleness", "    open: true\n    max-staleness", []string{"line 13: databases[0].open-workspace: is missing for an open database"}},
		"workspace not open":    {"    max-staleness", "    open-workspace: amman\n    max-staleness", []string{"line 15: databases[0].open-workspace: is for open databases only"}},
		"database listed twice": {"[desk]", "[desk, desk]", []string{"line 20: workspaces[0].databases[1]: desk is listed twice"}},
		"key twice":             {"alerts: |", "      - name: amman-demo\n        verifier: " + testVerifier + "\nalerts: |", []string{"line 24: workspaces[0].keys[1].name: key amman-demo is defined twice, first in line 22"}},
		"server twice": {"databases:\n", "      - {name: receipts-a, address: '127.0.0.1:7111', availability-zone: a, connections: 1, slots: 1}\ndatabases:\n", []string{
			"line 12: upstreams[0].servers[1].name: server receipts-a is defined twice, first in line 7",
			"line 12: upstreams[0].servers[1].address: address 127.0.0.1:7111 is defined twice, first in line 8",
		}},
		"workspace twice":          {"alerts: |", "  - {name: amman, rate: 1/s, burst: 1, databases: [desk], keys: [{name: k, verifier: " + testVerifier + "}]}\nalerts: |", []string{"line 24: workspaces[1].name: workspace amman is defined twice, first in line 17"}},
		"rate of zero":             {"6000/m", "0/m", []string{"line 18: workspaces[0].rate: must be above zero"}},
		"rate below zero":          {"6000/m", "-5/s", []string{"line 18: workspaces[0].rate: must be above zero"}},
		"rate without unit":        {"6000/m", "6000", []string{"line 18: workspaces[0].rate: must be a text"}},
		"rate in another unit":     {"6000/m", "6000/h", []string{"line 18: workspaces[0].rate: must be a rate such as 200/s or 6000/m"}},
		"rate not a number":        {"6000/m", "NaN/s", []string{"line 18: workspaces[0].rate: must be a rate such as 200/s or 6000/m"}},
		"endless rate":             {"6000/m", "Inf/s", []string{"line 18: workspaces[0].rate: must be a rate such as 200/s or 6000/m"}},
		"burst of zero":            {"burst: 200", "burst: 0", []string{"line 19: workspaces[0].burst: must be above zero"}},
		"burst beyond sums":        {"burst: 200", "burst: 9000000000000000000", []string{"line 19: workspaces[0].burst: must be at most 1000000000"}},
		"burst not whole":          {"burst: 200", "burst: 2.5", []string{"line 19: workspaces[0].burst: must be a whole number"}},
		"weight below zero":        {"    burst", "    weight: -1\n    burst", []string{"line 19: workspaces[0].weight: must be above zero"}},
		"connections of zero":      {"connections: 24", "connections: 0", []string{"line 10: upstreams[0].servers[0].connections: must be above zero"}},
		"duration without unit":    {"max-staleness: 5s", "max-staleness: 5", []string{"line 15: databases[0].max-staleness: must be a text"}},
		"duration in odd unit":     {"max-staleness: 5s", "max-staleness: 5days", []string{"line 15: databases[0].max-staleness: must be a duration such as 500ms or 10s"}},
		"duration below zero":      {"max-staleness: 5s", "max-staleness: -5s", []string{"line 15: databases[0].max-staleness: must not be below zero"}},
		"host name":                {"127.0.0.1:7111", "localhost:7111", []string{"line 8: upstreams[0].servers[0].address: must be an IP number and a port such as 10.0.0.1:5432"}},
		"no port":                  {"127.0.0.1:7111", "127.0.0.1", []string{"line 8: upstreams[0].servers[0].address: must be an IP number and a port such as 10.0.0.1:5432"}},
		"unknown acknowledgement":  {"    user:", "    acknowledge: maybe\n    user:", []string{"line 4: upstreams[0].acknowledge: must be replica-confirmed or term-leased"}},
		"leaving not a boolean":    {"        slots", "        leaving: soon\n        slots", []string{"line 11: upstreams[0].servers[0].leaving: must be true or false"}},
		"verifier is a secret":     {testVerifier, "demo-amman", []string{"line 23: workspaces[0].keys[0].verifier: platform.verifier: not of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key"}},
		"verifier too weak":        {"$4096:", "$1:", []string{"line 23: workspaces[0].keys[0].verifier: platform.verifier: the iterations must be from 4096 to 100000"}},
		"verifier cut short":       {"GtzGQU=", "", []string{"line 23: workspaces[0].keys[0].verifier: platform.verifier: both keys must be 32 bytes in base64"}},
		"alerts not literal":       {"alerts: |", "alerts: >", []string{"line 24: alerts: must be a literal block, written as |"}},
		"alerts not YAML":          {"  groups:", "  groups: [", []string{"line 25: alerts: did not find expected node content"}},
		"unknown rule field":       {"          for: 10s", "          fro: 10s", []string{"line 31: alerts.groups[0].rules[0].fro: unknown field"}},
		"bad rule duration":        {"          for: 10s", "          for: soon", []string{"line 31: alerts.groups[0].rules[0].for: must be a duration such as 30s or 5m"}},
		"bad expression":           {"savoryramp_primary < 1", "sum(savoryramp_primary", []string{"line 30: alerts.groups[0].rules[0].expr: 1:23: parse error: unclosed left parenthesis"}},
		"unknown function":         {"savoryramp_primary < 1", "summ(savoryramp_primary)", []string{`line 30: alerts.groups[0].rules[0].expr: 1:1: parse error: unknown function with name "summ"`}},
		"no expression":            {"          expr: savoryramp_primary < 1\n", "", []string{"line 29: alerts.groups[0].rules[0].expr: is missing"}},
		"neither alert nor record": {"        - alert: PrimaryMissing\n  ", "        - labels: {}\n  ", []string{"line 29: alerts.groups[0].rules[0]: must have either alert or record"}},
		"two at once": {"    burst: 200\n    databases: [desk]", "    burst: 0\n    databases: [portal]", []string{
			"line 19: workspaces[0].burst: must be above zero",
			"line 20: workspaces[0].databases[0]: there is no database portal",
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, strings.Count(minimalDocument, test.old), 1, "the replaced text must occur exactly once")
			_, err := platform.Parse([]byte(strings.Replace(minimalDocument, test.old, test.replacement, 1)))
			assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
			got := []string{}
			for _, m := range platform.Mistakes(err) {
				got = append(got, m.String())
			}
			assert.DeepEqual(t, got, test.want)
			assert.Assert(t, strings.Contains(err.Error(), test.want[0]))
		})
	}
}

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	assert.NilError(t, err)
	return text
}

func TestParseExamples(t *testing.T) {
	tests := map[string]struct {
		connections platform.Connections
		slots       platform.Slots
		open        int
	}{
		"ataa.yaml":       {24, 3, 1},
		"druckkonto.yaml": {35, 2, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := platform.Parse(readExample(t, name))
			assert.NilError(t, err)
			assert.Equal(t, len(d.Upstreams), 3)
			assert.Equal(t, len(d.Workspaces), 8)
			for _, u := range d.Upstreams {
				assert.Equal(t, len(u.Servers), 3)
				for _, s := range u.Servers {
					assert.Equal(t, s.Connections, test.connections)
					assert.Equal(t, s.Slots, test.slots)
				}
			}
			open := 0
			for _, database := range d.Databases {
				if database.Open {
					open++
				}
			}
			assert.Equal(t, open, test.open)
			assert.Assert(t, strings.Count(d.Alerts, "- alert:") >= 6)
			for _, w := range d.Workspaces {
				checkLogin(t, w.Keys[0].Verifier, "demo-"+string(w.Name), true)
			}
		})
	}
}

func TestVerifier(t *testing.T) {
	secret := platform.NewSecret()
	v, err := platform.NewVerifier(secret)
	assert.NilError(t, err)
	checkLogin(t, v, secret, true)
	checkLogin(t, v, secret+"x", false)
	secondVerifier, err := platform.NewVerifier(secret)
	assert.NilError(t, err)
	assert.Assert(t, secondVerifier != v, "the salt must be fresh")
	_, err = platform.NewVerifier("")
	assert.Assert(t, errorx.IsOfType(err, platform.ErrVerifier), "%v", err)
}

// checkLogin runs a SCRAM login against a server that knows only the verifier.
func checkLogin(t *testing.T, v platform.Verifier, secret string, want bool) {
	t.Helper()
	stored, err := v.Credentials()
	assert.NilError(t, err)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	assert.NilError(t, err)
	client, err := scram.SHA256.NewClient("any", secret, "")
	assert.NilError(t, err)
	clientConversation, serverConversation := client.NewConversation(), server.NewConversation()
	message := ""
	for range 2 {
		message, err = clientConversation.Step(message)
		assert.NilError(t, err)
		message, err = serverConversation.Step(message)
		if err != nil {
			break
		}
	}
	assert.Equal(t, serverConversation.Valid(), want)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimalDocument, "", "# only a comment\n", "a: &a [*a]\n", "alerts: |\n  # nothing\n", "? [a]\n: b\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := platform.Parse(text)
		if err != nil {
			assert.Assert(t, d == nil && len(platform.Mistakes(err)) > 0)
		}
	})
}
