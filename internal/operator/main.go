// Package operator implements the operators' interface: the command line, the admin page,
// state dumps, metrics and the log. It also assembles the daemon.
package operator

import (
	"fmt"
	"io"

	"github.com/savoryramp/savoryramp/internal/event"
	// Imported so that their events are registered for the catalogue.
	_ "github.com/savoryramp/savoryramp/internal/proxy"
	_ "github.com/savoryramp/savoryramp/internal/relay"
	_ "github.com/savoryramp/savoryramp/platform"
)

// ExitCode is the exit status of a command; it identifies the kind of failure.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitDocument    ExitCode = 3
	ExitUnreachable ExitCode = 4
	ExitInUse       ExitCode = 5
	ExitKey         ExitCode = 6
	ExitConflict    ExitCode = 7
	ExitFile        ExitCode = 8
)

// exitMeaning describes an exit code on the man page.
type exitMeaning struct {
	Code    ExitCode
	Meaning string
}

var exitMeanings = []exitMeaning{
	{ExitOK, "Success; for run, the daemon drained and stopped."},
	{ExitFailed, "A component failed at run time, or a second signal interrupted a drain."},
	{ExitUsage, "A flag or environment variable is invalid or missing."},
	{ExitDocument, "The document has mistakes; nothing was changed."},
	{ExitUnreachable, "The platform or the VM didn't answer."},
	{ExitInUse, "A listen address is in use or doesn't belong to this VM."},
	{ExitKey, "The key or its workspace doesn't exist, or the key already exists."},
	{ExitConflict, "Another operator's document was accepted first; nothing was changed."},
	{ExitFile, "A file can't be read or has invalid content."},
}

// Main parses the arguments, runs the command and returns its exit code. A failure is
// printed as one line on errOut; an invalid document also as one line for each mistake.
func Main(version string, args []string, out, errOut io.Writer) ExitCode {
	o, err := ParseOptions(version, args, out)
	if err == nil {
		s := invocation{version: version, options: o, out: out, errOut: errOut}
		err = s.runCommand()
	}
	if err != nil {
		fmt.Fprintf(errOut, "savoryramp: %s\n", errorLine(err))
	}
	return exitCode(err)
}

// invocation is one execution of the command line.
type invocation struct {
	version string
	options Options
	out     io.Writer
	errOut  io.Writer
}

func (s *invocation) runCommand() error {
	switch s.options.Command {
	case CommandRun:
		return s.runDaemon()
	case CommandState:
		return s.printState()
	case CommandDrain:
		return s.drainVM()
	case CommandCheck:
		return s.validateDocument()
	case CommandApply:
		return s.applyDocument()
	case CommandShow:
		return s.showDocument()
	case CommandKeyCreate:
		return s.createKey()
	case CommandKeyWithdraw:
		return s.withdrawKey()
	case CommandAlerts:
		return s.printAlerts()
	}
	return s.printStaticPage()
}

// printStaticPage prints a page that needs neither a document nor a VM.
func (s *invocation) printStaticPage() error {
	switch s.options.Command {
	case CommandEvents:
		fmt.Fprint(s.out, eventsPage())
	case CommandCompletion:
		return renderPage(s.version, completionTemplate(s.options.Shell), s.out)
	case CommandMan:
		return renderPage(s.version, manTemplate, s.out)
	case CommandVersion:
		fmt.Fprintln(s.out, "savoryramp", s.version)
	}
	return nil
}

func eventsPage() string {
	return "# Log events\n\n" +
		"Each log line carries `event` (the number) and `name`. Numbers are never reused.\n" +
		"This page is the output of `savoryramp events`.\n\n" + event.Catalogue()
}
