// Package operator is what the person on call meets: the command line, the admin
// page, state dumps, metrics and the log.
package operator

import (
	"fmt"
	"io"
)

// ExitCode tells a script what kind of failure ended a command.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitBroken      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitDocument    ExitCode = 3
	ExitUnreachable ExitCode = 4
	ExitInUse       ExitCode = 5
	ExitKey         ExitCode = 6
	ExitConflict    ExitCode = 7
)

// Main parses the arguments, runs the command they name and gives its exit code.
func Main(version string, _ []string, out, _ io.Writer) ExitCode {
	fmt.Fprintln(out, "savoryramp", version)
	return ExitOK
}
