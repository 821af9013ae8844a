package operator

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const demoDocument = "../../examples/demo.yaml"

// testCLI runs commands against a fake platform and keeps the output of the last one.
type testCLI struct {
	t      *testing.T
	url    string
	stdout string
	stderr string
}

func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	server := httptest.NewServer(fakeplatform.New().Handler())
	t.Cleanup(server.Close)
	return &testCLI{t: t, url: server.URL}
}

func (s *testCLI) platformFlags() []string {
	return []string{"--table-endpoint=" + s.url, "--store-endpoint=" + s.url, "--access-key-id=id", "--access-key-secret=secret"}
}

// run executes a command and checks its exit code.
func (s *testCLI) run(code ExitCode, args ...string) {
	s.t.Helper()
	var out, errOut bytes.Buffer
	got := Main("1", append(args, s.platformFlags()...), &out, &errOut)
	s.stdout, s.stderr = out.String(), errOut.String()
	assert.Equal(s.t, got, code, s.stderr)
}

func TestShowWithoutDocument(t *testing.T) {
	s := newTestCLI(t)
	s.run(ExitDocument, "show")
	assert.Equal(t, s.stderr, "savoryramp: no document is in force yet; apply one first\n")
}

func TestApplyAndShow(t *testing.T) {
	s := newTestCLI(t)
	text, err := os.ReadFile(demoDocument)
	assert.NilError(t, err)
	s.run(ExitOK, "apply", "--operator=rania", demoDocument)
	hash := platform.HashDocument(text)
	assert.Equal(t, s.stdout, "version 1 is in force, hash "+string(hash)+"\n")
	s.run(ExitOK, "show")
	assert.Equal(t, s.stdout, "# savoryramp: version 1, hash "+string(hash)+", by rania\n"+string(text))
}

func TestTermLeasedWarning(t *testing.T) {
	s := newTestCLI(t)
	text, err := os.ReadFile(demoDocument)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "leased.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), "replica-confirmed", "term-leased", 1)), 0o600))
	const warning = "can be lost with its primary; replica-confirmed loses none\n"
	s.run(ExitOK, "apply", path)
	assert.Assert(t, cmp.Contains(s.stderr, warning))
	s.run(ExitOK, "apply", demoDocument)
	assert.Equal(t, s.stderr, "")

	var out, errOut bytes.Buffer
	assert.Equal(t, Main("1", []string{"check", path}, &out, &errOut), ExitOK)
	assert.Assert(t, cmp.Contains(errOut.String(), warning))
}

// A document edited from an older version must not replace a newer one.
func TestApplyConflict(t *testing.T) {
	s := newTestCLI(t)
	s.run(ExitOK, "apply", demoDocument)
	s.run(ExitOK, "show")
	edited := filepath.Join(t.TempDir(), "edited.yaml")
	assert.NilError(t, os.WriteFile(edited, []byte(strings.Replace(s.stdout, "burst: 400", "burst: 300", 1)), 0o600))
	s.run(ExitOK, "apply", edited)
	s.run(ExitConflict, "apply", "--operator=omar", edited)
	assert.Equal(t, s.stderr, "savoryramp: version 2 by operator was accepted first; this change was made over version 1; "+
		"print it with savoryramp show, merge its changes and apply again\n")
	s.run(ExitOK, "show")
	assert.Equal(t, strings.Count(s.stdout, "# savoryramp: version"), 1)
	assert.Assert(t, cmp.Contains(s.stdout, "burst: 300"))
}

func TestKeys(t *testing.T) {
	s := newTestCLI(t)
	s.run(ExitOK, "apply", demoDocument)
	s.run(ExitOK, "key", "create", "desk", "desk-2")
	secret := strings.TrimSpace(s.stdout)
	assert.Assert(t, len(secret) >= 32)
	s.run(ExitOK, "show")
	assert.Assert(t, cmp.Contains(s.stdout, "name: desk-2"))
	assert.Assert(t, !strings.Contains(s.stdout, secret))

	s.run(ExitKey, "key", "create", "desk", "desk-2")
	assert.Equal(t, s.stderr, "savoryramp: key desk-2 exists already; choose another name\n")
	s.run(ExitKey, "key", "create", "nobody", "desk-3")
	assert.Equal(t, s.stderr, "savoryramp: there is no workspace nobody; run savoryramp show for the workspaces and keys\n")
	s.run(ExitKey, "key", "withdraw", "desk-9")

	s.run(ExitOK, "key", "withdraw", "desk-2")
	assert.Equal(t, s.stdout, "key desk-2 is withdrawn since version 3\n")
	s.run(ExitOK, "show")
	document, err := platform.Parse([]byte(s.stdout))
	assert.NilError(t, err)
	_, key, found := document.Key("desk-2")
	assert.Assert(t, found && key.Withdrawn)
}

// A VM must become ready when a document is in force, and drain and stop on a signal.
func TestDaemon(t *testing.T) {
	t.Parallel()
	s := newTestCLI(t)
	o, err := ParseOptions("1", append([]string{
		"run", "--vm=a-1", "--availability-zone=a", "--admin=127.0.0.1:0",
		"--balancer-lag=0s", "--peer-cert=c", "--peer-key=k", "--peer-ca=a",
	}, s.platformFlags()...), &bytes.Buffer{})
	assert.NilError(t, err)
	o.Run.CallerListen, o.Run.PeerListen, o.Run.PeerTLS = "127.0.0.1:0", "127.0.0.1:0", TLSFiles{}
	d := newDaemon(t)
	signals := make(chan os.Signal)
	d.Options, d.Platform, d.Signals = o.Run, o.Platform, signals
	d.Table, d.Store = newTable(o.Platform), newStore(o.Platform)
	assert.NilError(t, d.prepare())
	ended := make(chan error, 1)
	go func() { ended <- d.runGroup(d.actors()) }()

	server := &httptest.Server{URL: "http://" + d.Admin.listener.Addr().String()}
	status, _ := get(t, server, "/live")
	assert.Equal(t, status, http.StatusOK)
	status, _ = get(t, server, "/ready")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	s.run(ExitOK, "apply", demoDocument)
	_, err = d.Configuration.Wait(t.Context(), 0)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _ := get(t, server, "/ready"); status != http.StatusOK {
			return poll.Continue("not ready: %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(sharesTimeout+10*time.Second))
	_, state := get(t, server, "/state")
	assert.Assert(t, cmp.Contains(state, `"document":{"version":1,`))

	signals <- syscall.SIGTERM
	assert.NilError(t, <-ended)
}
