package operator

import (
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

const helpApplication = `A database proxy with session consistency for replicated databases shared by many workspaces.

Every flag can also be set by an environment variable: SAVORYRAMP_DRAIN_TIME sets --drain-time. A flag takes precedence over its variable.`

const helpRun = `Runs the proxy until it receives SIGTERM or SIGINT. It then drains: /ready answers 503, the VM waits for --balancer-lag, gives running requests up to --drain-time to finish, and exits. A second signal makes it exit immediately.

The configuration document is read from the platform. /ready answers 503 until a document is in force.

  savoryramp run --vm=a-1 --availability-zone=amman-a \
    --listen=10.0.1.4:6432 --admin=10.0.1.4:6480 --peer=10.0.1.4:6490 \
    --peer-cert=peer.pem --peer-key=peer.key --peer-ca=ca.pem \
    --table-endpoint=https://10.0.0.2 --store-endpoint=https://10.0.0.3`

const helpState = `Prints the internal state of each component of a running VM as JSON.

  savoryramp state 10.0.1.4:6480`

const helpDrain = `Drains a VM remotely, as SIGTERM does: /ready answers 503, running requests finish and the process exits. The command returns when the VM has accepted the request.

  savoryramp drain 10.0.1.4:6480`

const helpCheck = `Validates a document and prints every mistake with its line and path. It works offline.

  savoryramp check ataa.yaml`

const helpApply = `Validates a document, stores it and puts it into force on all VMs. If another operator has applied a document in the meantime, nothing is changed and the error names the other version: print it with "savoryramp show", merge its changes and apply again.

  savoryramp apply --operator=rania ataa.yaml`

const helpShow = `Prints the document in force. The first line is a YAML comment with the version, the hash and the operator, so the output can be edited and applied.

  savoryramp show > ataa.yaml`

const helpAlerts = `Prints the alert rules of a document exactly as they were written. It warns on standard error about each metric in the rules that savoryramp doesn't export.

  savoryramp alerts ataa.yaml > rules.yaml`

const helpKey = `Edits the keys in the document in force. Only a verifier of each secret is stored, never the secret itself.`

const helpKeyCreate = `Creates a key and puts it into force. The secret is printed once and not stored.

  savoryramp key create portal portal-2`

const helpKeyWithdraw = `Withdraws a key. The key stops working within seconds, also on connections that are already open.

  savoryramp key withdraw portal-1`

const helpEvents = `Prints a Markdown table of all log events with their number, name, level and meaning.

  savoryramp events`

const helpCompletion = `Prints a shell script that completes commands and flags.

  source <(savoryramp completion bash)`

const helpMan = `Prints the man page in roff format.

  savoryramp man | man -l -`

const helpVersion = `Prints the version.

  savoryramp version`

const usageTemplate = `{{define "arguments"}}{{range .}} {{if not .Required}}[{{end}}{{.Name | upper}}{{if not .Required}}]{{end}}{{end}}{{end -}}
{{if .Context.SelectedCommand}}{{with .Context.SelectedCommand -}}
Usage: savoryramp {{.FullCommand}}{{if .Flags}} [FLAGS]{{end}}{{template "arguments" .Args}}{{if .Commands}} COMMAND{{end}}

{{if .HelpLong}}{{.HelpLong | Wrap 0}}{{else}}{{.Help | Wrap 0}}{{end}}
{{if .Args}}Arguments:
{{range .Args}}  {{.Name | upper}}  {{.Help}}
{{end}}
{{end}}{{if .Flags}}Flags:
{{.Flags | FlagsToTwoColumns | FormatTwoColumns}}
{{end}}{{if .Commands}}Commands:
{{range .Commands}}  {{.FullCommand}}{{template "arguments" .Args}}
{{.Help | Wrap 6}}{{end}}
{{end}}{{end}}{{else -}}
Usage: savoryramp COMMAND

{{.App.Help | Wrap 0}}
Commands:
{{range .App.FlattenedCommands}}{{if not .Hidden}}  {{.FullCommand}}{{template "arguments" .Args}}
{{.Help | Wrap 6}}{{end}}{{end}}
Run "savoryramp COMMAND --help" for more on a command.
{{end}}`

const manTemplate = `{{define "arguments"}}{{range .}} \fI{{.Name | upper}}\fR{{end}}{{end -}}
.TH SAVORYRAMP 1 "" "savoryramp"
.SH NAME
savoryramp \- database proxy with session consistency
.SH SYNOPSIS
\fBsavoryramp\fR \fICOMMAND\fR [\fIFLAGS\fR]
.SH DESCRIPTION
{{.App.Help | roff}}
.SH COMMANDS
{{range .App.FlattenedCommands}}{{if not .Hidden -}}
.SS "{{.FullCommand}}{{range .Args}} {{.Name | upper}}{{end}}"
{{if .HelpLong}}{{.HelpLong | roff}}{{else}}{{.Help | roff}}{{end}}
{{range .Flags}}{{if not .Hidden -}}
.TP
\fB\-\-{{.Name}}\fR=\fI{{.FormatPlaceHolder}}\fR
{{.HelpWithEnvar | roff}}
{{end}}{{end}}{{end}}{{end -}}
.SH "EXIT STATUS"
{{range exits -}}
.TP
{{.Code}}
{{.Meaning}}
{{end -}}
`

var usageFuncs = map[string]any{
	"upper": strings.ToUpper,
	"roff":  roff,
	"exits": func() []exitMeaning { return exitMeanings },
}

// roff converts text to roff. Indented lines are printed verbatim.
func roff(text string) string {
	var b strings.Builder
	verbatim := false
	for _, l := range strings.Split(text, "\n") {
		if indented := strings.HasPrefix(l, "  "); indented != verbatim {
			verbatim = indented
			b.WriteString(map[bool]string{true: ".nf\n", false: ".fi\n"}[verbatim])
		}
		b.WriteString(roffLine(l) + "\n")
	}
	if verbatim {
		b.WriteString(".fi\n")
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func roffLine(l string) string {
	if l == "" {
		return ".PP"
	}
	l = strings.ReplaceAll(l, `\`, `\e`)
	return strings.ReplaceAll(l, "-", `\-`)
}

// renderPage renders a page template with the definitions of commands and flags.
func renderPage(version, page string, out io.Writer) error {
	app := new(Options).application(version)
	app.UsageWriter(out)
	context, err := app.ParseContext(nil)
	if err != nil {
		return ErrFailed.Wrap(err, "page")
	}
	return app.UsageForContextWithTemplate(context, 2, page)
}

func completionTemplate(shell string) string {
	if shell == "zsh" {
		return kingpin.ZshCompletionTemplate
	}
	return kingpin.BashCompletionTemplate
}
