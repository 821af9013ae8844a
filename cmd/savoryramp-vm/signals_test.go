package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/platform"
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
