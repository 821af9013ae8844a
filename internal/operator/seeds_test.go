package operator

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startDaemon runs a VM's daemon until the test ends.
func (s *testCLI) startDaemon(vm, peer string, more ...string) *Daemon {
	s.t.Helper()
	args := append([]string{
		"run", "--vm=" + vm, "--availability-zone=a", "--admin=127.0.0.1:0", "--peer=" + peer,
		"--balancer-lag=0s", "--drain-time=0s", "--peer-cert=c", "--peer-key=k", "--peer-ca=a",
	}, s.platformFlags()...)
	o, err := ParseOptions("1", append(args, more...), &bytes.Buffer{})
	assert.NilError(s.t, err)
	o.Run.CallerListen, o.Run.PeerTLS = "127.0.0.1:0", TLSFiles{}
	d := newDaemon(s.t)
	signals := make(chan os.Signal)
	d.Options, d.Platform, d.Signals = o.Run, o.Platform, signals
	d.Table, d.Store = newTable(o.Platform), newStore(o.Platform)
	assert.NilError(s.t, d.prepare())
	ended := make(chan error, 1)
	go func() { ended <- d.runGroup(d.actors()) }()
	s.t.Cleanup(func() {
		signals <- os.Interrupt
		assert.Check(s.t, <-ended)
	})
	return d
}

func (s *testCLI) injectFault(kind string) {
	s.t.Helper()
	response, err := http.Post(s.url+"/fault", "application/json", strings.NewReader(`{"kind":"`+kind+`"}`))
	assert.NilError(s.t, err)
	assert.Equal(s.t, response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}

// waitUntil polls until condition returns true. The description is printed if it times out.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !condition() {
			return poll.Continue("%s", description)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// A VM that starts while the platform is unavailable must get the document and the row of
// shares from a seed peer. When the platform is back, the platform's list must replace the
// seed peer's provisional name.
func TestSeedPeers(t *testing.T) {
	t.Parallel()
	s := newTestCLI(t)
	s.run(ExitOK, "apply", demoDocument)
	seed := freeAddress(t)
	first := s.startDaemon("a-1", seed)
	waitUntil(t, "the first VM has shares", first.components.limits.hasShares)
	s.injectFault("down")

	second := s.startDaemon("a-2", freeAddress(t), "--seed-peers="+seed)
	snapshot, err := second.Configuration.Wait(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, platform.DocumentVersion(1))
	assert.Equal(t, snapshot.Hash, first.Configuration.Current().Hash)
	waitUntil(t, "the second VM knows the row of shares", func() bool { return second.components.limits.shares.Row().Version > 0 })
	waitUntil(t, "a request is admitted", func() bool { return second.components.limits.Admit(t.Context(), "desk") == nil })

	s.injectFault("none")
	waitUntil(t, "the member list has only the seed peer's real name", func() bool {
		members := second.components.fleet.Members()
		return len(members) == 1 && members[0].Name == "a-1"
	})
}
