// Command savoryramp-vm runs savoryramp on a VM of the users' platform.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/savoryramp/savoryramp/internal/event"
	"github.com/savoryramp/savoryramp/platform"
)

func main() {
	received := receiveSignals()
	os.Exit(runCommand(os.Args[1:], received, os.Stdout, os.Stderr))
}

// runCommand returns the exit code: 0 for success, 1 if a component failed, 2 if the command
// line or the settings are invalid.
func runCommand(arguments []string, received signals, out, errOut io.Writer) int {
	o, err := parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "savoryramp-vm: %s\n", err)
		return 2
	}
	if o.PrintEvents {
		fmt.Fprint(out, event.Catalogue())
		return 0
	}
	settings, err := platform.ReadSettings(o.SettingsPath)
	if err != nil {
		fmt.Fprintf(errOut, "savoryramp-vm: %s\n", err)
		return 2
	}
	if o.CheckOnly {
		fmt.Fprintf(out, "settings of %s in %s are valid\n", settings.VM, settings.Zone)
		return 0
	}
	lines := &event.BoundedWriter{Out: out, LinesPerSecond: o.LogLinesPerSecond}
	defer lines.Close()
	d := &daemon{Options: o, Settings: settings, LogOutput: lines, Signals: received}
	if err := d.Run(); err != nil {
		fmt.Fprintf(errOut, "savoryramp-vm: %s\n", err)
		return 1
	}
	return 0
}
