package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/savoryramp/savoryramp/platform"
	"github.com/savoryramp/savoryramp/platform/standin"
)

// runsCommand is set in the environment of a test binary that runs the command instead of tests.
const runsCommand = "SAVORYRAMP_TEST_RUNS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runsCommand) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestReloadSignalWhileStarting guards against a process that is ended by a SIGHUP which arrives before
// it has started. It blocks on its settings, which are a named pipe, until the signal was sent.
func TestReloadSignalWhileStarting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), runsCommand+"=1", platform.SettingsVariable+"="+path)
	assert.NilError(t, command.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("not settings")
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	var ended *exec.ExitError
	assert.Assert(t, errors.As(command.Wait(), &ended))
	assert.Equal(t, ended.ExitCode(), 2, "%s", ended)
}

// Guards against a VM that goes on with the store's old address, and so with withdrawn keys, because the settings file
// changed without a signal.
func TestSettingsChangeWithoutSignal(t *testing.T) {
	store := &standin.Store{}
	var calls atomic.Int64
	before := httptest.NewServer(store)
	after := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(before.Close)
	t.Cleanup(after.Close)
	ip := fmt.Sprintf("127.203.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	path := filepath.Join(t.TempDir(), "settings")
	write := func(s *httptest.Server) {
		address := s.Listener.Addr().String()
		assert.NilError(t, os.WriteFile(path, standin.SettingsFile("vm-1", "zone-1", ip, address, address), 0o600))
	}
	write(before)
	command := exec.Command(os.Args[0], "--metrics-port=0")
	command.Env = append(os.Environ(), runsCommand+"=1", platform.SettingsVariable+"="+path)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	time.Sleep(settingsInterval)
	assert.Equal(t, calls.Load(), int64(0))
	write(after)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if calls.Load() == 0 {
			return poll.Continue("the new address got no call")
		}
		return poll.Success()
	})
}
