package operator

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/platform"
)

func newDaemon(t *testing.T) *Daemon {
	t.Helper()
	metrics, err := meter.New()
	assert.NilError(t, err)
	d := &Daemon{
		Logger:        log.NewNopLogger(),
		Metrics:       metrics,
		Admin:         &Admin{},
		Configuration: &platform.Configuration{},
	}
	d.registerState(time.Now())
	return d
}

func TestDrainWaitsForBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t)
		d.Options = RunOptions{BalancerLag: 5 * time.Second, DrainTime: 30 * time.Second}
		requestedAt := time.Now()
		var drained []string
		drain := func(name string, after time.Duration, duration time.Duration) Actor {
			return Actor{Name: name, Drain: func(ctx context.Context) error {
				assert.Equal(t, time.Since(requestedAt), after)
				drained = append(drained, name)
				if !platform.Pause(ctx, duration) {
					return ErrFailed.New("cut")
				}
				return nil
			}}
		}
		actors := []Actor{
			drain("callers", 5*time.Second, 10*time.Second),
			{Name: "upstreams"},
			drain("peers", 15*time.Second, time.Hour),
		}
		d.Admin.Drain()
		assert.Assert(t, d.Admin.isDraining())
		assert.NilError(t, d.drainOnRequest(t.Context(), actors))
		assert.DeepEqual(t, drained, []string{"callers", "peers"})
		assert.Equal(t, time.Since(requestedAt), 35*time.Second)
	})
}

func TestSecondSignalExits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t)
		signals := make(chan os.Signal)
		exited := make(chan ExitCode, 1)
		d.Signals = signals
		d.Exit = func(code ExitCode) { exited <- code }
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.watchSignals(ctx) }()

		signals <- syscall.SIGTERM
		<-d.Admin.Draining()
		synctest.Wait()
		assert.Equal(t, len(exited), 0)
		signals <- syscall.SIGTERM
		assert.Equal(t, <-exited, ExitFailed)
		cancel()
	})
}

// A component that fails must stop the daemon and all other components.
func TestComponentFails(t *testing.T) {
	d := newDaemon(t)
	d.Admin.Address = "127.0.0.1:0"
	assert.NilError(t, d.Admin.Listen())
	stopped := false
	err := d.runGroup([]Actor{
		{Name: "callers", Run: func(ctx context.Context) error {
			<-ctx.Done()
			stopped = true
			return nil
		}},
		{Name: "peers", Run: func(context.Context) error { return ErrListen.New("port taken") }},
	})
	assert.Equal(t, exitCode(err), ExitInUse)
	assert.Equal(t, errorLine(err), "port taken")
	assert.Assert(t, stopped)
}

func TestRunRefused(t *testing.T) {
	dir := t.TempDir()
	certificate, key := writeKeyPair(t, dir)
	notPEM := filepath.Join(dir, "text")
	assert.NilError(t, os.WriteFile(notPEM, []byte("text"), 0o600))
	files := func(certificate, key, authority string, more ...string) []string {
		return runArgs(append(more, "--peer-cert="+certificate, "--peer-key="+key, "--peer-ca="+authority)...)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	tests := map[string]struct {
		args    []string
		code    ExitCode
		message string
	}{
		"no certificate": {files(dir+"/none", key, certificate), ExitFile, "can't read " + dir + "/none (--peer-cert): no such file"},
		"no key":         {files(certificate, dir+"/none", certificate), ExitFile, "can't read " + dir + "/none (--peer-key): no such file"},
		"mismatch":       {files(certificate, notPEM, certificate), ExitFile, "don't match"},
		"no authority":   {files(certificate, key, notPEM), ExitFile, "(--peer-ca) contains no certificate"},
		"caller TLS":     {files(certificate, key, certificate, "--listen-cert="+notPEM, "--listen-key="+key), ExitFile, "(--listen-cert)"},
		"platform out": {
			files(certificate, key, certificate, "--admin=127.0.0.1:0"), ExitUnreachable,
			"the platform at http://127.0.0.1:1 and http://127.0.0.1:1 doesn't answer: connection refused; check --table-endpoint",
		},
		"admin in use": {
			files(certificate, key, certificate, "--admin="+taken.Addr().String()), ExitInUse,
			"(--admin): address already in use",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var errOut bytes.Buffer
			assert.Equal(t, Main("1", test.args, io.Discard, &errOut), test.code)
			assert.Assert(t, cmp.Contains(errOut.String(), test.message))
			assert.Equal(t, bytes.Count(errOut.Bytes(), []byte("\n")), 1, errOut.String())
		})
	}
}
