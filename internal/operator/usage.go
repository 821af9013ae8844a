package operator

import (
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

const helpApplication = `A database proxy with session consistency for replicated databases shared by many workspaces.

Every flag is also an environment variable: --drain-time is SAVORYRAMP_DRAIN_TIME. A flag takes precedence over its variable.`

const helpRun = `Runs the proxy until a signal ends it. SIGTERM drains: readiness goes off, the VM waits --balancer-lag, lets requests finish within --drain-time and exits. A second signal exits at once.

The document comes from the platform; until there is one, /ready answers 503.

  savoryramp run --vm=a-1 --availability-zone=amman-a \
    --listen=10.0.1.4:6432 --admin=10.0.1.4:6480 --peer=10.0.1.4:6490 \
    --peer-cert=peer.pem --peer-key=peer.key --peer-ca=ca.pem \
    --table-endpoint=https://10.0.0.2 --store-endpoint=https://10.0.0.3`

const helpState = `Asks a VM for a dump of what each of its parts holds, and prints it as JSON.

  savoryramp state 10.0.1.4:6480`

const helpDrain = `Does what SIGTERM does, from afar: readiness goes off, requests finish, the process exits.

  savoryramp drain 10.0.1.4:6480`

const helpCheck = `Reads a document and prints every mistake with its line and path. Nothing is sent anywhere.

  savoryramp check ataa.yaml`

const helpApply = `Checks a document, stores it and puts it into force on all VMs. When another operator was faster, nothing is changed and the other's version is named: read it with "savoryramp show", take over what it changed, apply again.

  savoryramp apply --operator=rania ataa.yaml`

const helpShow = `Prints the document in force. Version, hash and operator come first, as YAML comments, so that the output can be edited and applied.

  savoryramp show > ataa.yaml`

const helpAlerts = `Prints the alert rules of a document line by line as they were written. A metric that savoryramp doesn't export is named on standard error; the rules are printed all the same.

  savoryramp alerts ataa.yaml > rules.yaml`

const helpKey = `Edits the keys in the document in force. Only a verifier of each secret is kept.`

const helpKeyCreate = `Makes a key and puts it into force. The secret is printed once and kept nowhere.

  savoryramp key create portal portal-2`

const helpKeyWithdraw = `Withdraws a key. It stops working within seconds, also on connections that are open.

  savoryramp key withdraw portal-1`

const helpEvents = `Prints all log events with number, name, level and meaning, as a Markdown table.

  savoryramp events`

const helpCompletion = `Prints a script that completes commands and flags.

  source <(savoryramp completion bash)`

const helpMan = `Prints the man page in roff.

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
Read more on each: savoryramp COMMAND --help
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

// roff renders paragraphs, and indented lines as they stand.
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

// printPage renders a page from the definitions of commands and flags.
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
