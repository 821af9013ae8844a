// Package operator is what the person on call meets: the command line, the admin
// page, state dumps, metrics and the log. It also assembles the daemon.
package operator

import (
	"fmt"
	"io"

	"github.com/savoryramp/savoryramp/internal/event"
	// Their events belong in the catalogue.
	_ "github.com/savoryramp/savoryramp/internal/proxy"
	_ "github.com/savoryramp/savoryramp/internal/relay"
	_ "github.com/savoryramp/savoryramp/platform"
)

// ExitCode tells a script what kind of failure ended a command.
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

// exitMeaning is a line of the man page.
type exitMeaning struct {
	Code    ExitCode
	Meaning string
}

var exitMeanings = []exitMeaning{
	{ExitOK, "Done; of run: drained and ended in order."},
	{ExitFailed, "A part failed while it ran, or a second signal cut a drain short."},
	{ExitUsage, "A flag or environment variable is wrong or missing."},
	{ExitDocument, "The document has mistakes; nothing was changed."},
	{ExitUnreachable, "The platform or the VM didn't answer."},
	{ExitInUse, "An address to listen on is taken or not of this VM."},
	{ExitKey, "The key or its workspace is unknown, or the key exists already."},
	{ExitConflict, "Another operator's document came first; nothing was changed."},
	{ExitFile, "A file can't be read or isn't what it should be."},
}

// Main parses the arguments, runs the command they name and gives its exit code.
// A failure is one line on errOut, but for a document, where each mistake is one.
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

// session is one run of the command line.
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

// printPage prints what is known without document or VM.
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
		"Each log line carries `event` (the number) and `name`. Numbers are never given anew.\n" +
		"This page is the output of `savoryramp events`.\n\n" + event.Catalogue()
}
