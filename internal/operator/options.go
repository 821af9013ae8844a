package operator

import (
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Command is what the command line asks for.
type Command string

// The commands, as typed.
const (
	CommandRun         Command = "run"
	CommandState       Command = "state"
	CommandDrain       Command = "drain"
	CommandCheck       Command = "check"
	CommandApply       Command = "apply"
	CommandShow        Command = "show"
	CommandKeyCreate   Command = "key create"
	CommandKeyWithdraw Command = "key withdraw"
	CommandAlerts      Command = "alerts"
	CommandEvents      Command = "events"
	CommandCompletion  Command = "completion"
	CommandMan         Command = "man"
	CommandVersion     Command = "version"
	// commandShown means that help was printed and nothing is left to do.
	commandHelpShown Command = ""
)

// Options holds the whole command line, parsed and checked.
type Options struct {
	Command  Command
	Run      RunOptions
	Platform PlatformOptions
	// File is the document's path, "-" for standard input.
	File string
	// Operator is written down with each document applied.
	Operator  string
	VM        platform.Address
	Workspace platform.WorkspaceName
	Key       platform.KeyName
	Shell     string
}

// RunOptions are the settings of one daemon.
type RunOptions struct {
	VM               string
	AvailabilityZone string
	Listen           platform.Address
	Admin            platform.Address
	Peer             platform.Address
	// SeedPeers answer for the document when the platform is out at the start.
	SeedPeers []platform.Address
	// PeerTLS is complete: both sides show a certificate of one authority.
	PeerTLS TLSFiles
	// ListenTLS has both of certificate and key, or neither.
	ListenTLS TLSFiles
	LogLevel  string
	LogFormat string
	// BalancerLag is how long callers may still be sent here after readiness is off.
	BalancerLag time.Duration
	// DrainTime bounds how long requests may take to finish after that.
	DrainTime         time.Duration
	StatementDeadline time.Duration
	// MaxWait bounds a request's time in a queue; then it is refused, not run.
	MaxWait time.Duration
	// Limit of the connections in use to each server; empty is LimitFixed.
	Limit LimitName
}

// TLSFiles names PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// PlatformOptions say where the platform's services are.
type PlatformOptions struct {
	TableEndpoint   string
	Table           string
	StoreEndpoint   string
	Bucket          string
	Region          string
	AccessKeyID     string
	AccessKeySecret string
}

// ParseOptions parses and checks the arguments; ErrUsage names the flag at fault.
// Help and usage pages go to out.
func ParseOptions(version string, args []string, out io.Writer) (Options, error) {
	o := &Options{}
	app := o.application(version)
	shown := false
	app.UsageWriter(out)
	app.ErrorWriter(io.Discard)
	app.Terminate(func(int) {
		shown = true
		app.UsageWriter(io.Discard)
	})
	command, err := app.Parse(args)
	if shown {
		return *o, nil
	}
	if err != nil {
		return *o, usageError(err)
	}
	o.Command = Command(command)
	return *o, o.validate()
}

func usageError(err error) error {
	if errorx.IsOfType(err, ErrUsage) {
		return err
	}
	return ErrUsage.New("%s; see savoryramp --help", err)
}

// application defines the commands and flags.
func (o *Options) application(version string) *kingpin.Application {
	app := kingpin.New("savoryramp", helpApplication)
	app.Version(version)
	app.UsageTemplate(usageTemplate)
	app.UsageFuncs(usageFuncs)
	o.defineRun(app)
	o.defineVM(app)
	o.defineDocument(app)
	o.defineKey(app)
	o.definePages(app)
	return app
}

func (o *Options) defineRun(app *kingpin.Application) {
	r := &o.Run
	c := flagCommand{app.Command(string(CommandRun), "Run the proxy on this VM.").HelpLong(helpRun)}
	c.addName("vm", "Name of this VM, unique in the fleet.", &r.VM)
	c.addName("availability-zone", "Availability zone this VM stands in.", &r.AvailabilityZone)
	c.addAddress("listen", "Address for callers.", "127.0.0.1:6432", &r.Listen)
	c.addAddress("admin", "Address for the admin page: /live, /ready, /state, /metrics, /drain.", "127.0.0.1:6480", &r.Admin)
	c.addAddress("peer", "Address under which the other VMs reach this one.", "127.0.0.1:6490", &r.Peer)
	c.addFlag("seed-peers", "Peers to ask for the document when the platform is out at the start, with commas between; best all.").
		PlaceHolder("ADDRESS,...").SetValue(addressListValue{"--seed-peers", &r.SeedPeers})
	c.addFile("peer-cert", "Certificate shown to peers (PEM).", &r.PeerTLS.Certificate)
	c.addFile("peer-key", "Key of that certificate (PEM).", &r.PeerTLS.Key)
	c.addFile("peer-ca", "Authority that signs all peers' certificates (PEM).", &r.PeerTLS.Authority)
	c.addFile("listen-cert", "Certificate shown to callers (PEM); none: callers connect without TLS.", &r.ListenTLS.Certificate)
	c.addFile("listen-key", "Key of that certificate (PEM).", &r.ListenTLS.Key)
	c.addChoice("log-level", "Least level that is logged: error, warn, info or debug.", "info",
		[]string{"error", "warn", "info", "debug"}, &r.LogLevel)
	c.addChoice("log-format", "Form of log lines: logfmt or json.", "logfmt", []string{"logfmt", "json"}, &r.LogFormat)
	c.addDuration("balancer-lag", "How long the balancer may still send callers after readiness is off.", "5s", 0, &r.BalancerLag)
	c.addDuration("drain-time", "How long requests may take to finish after that.", "30s", 0, &r.DrainTime)
	c.addDuration("statement-deadline", "Longest time for one statement's answer.", "30s", time.Millisecond, &r.StatementDeadline)
	c.addDuration("max-wait", "Longest wait in a queue before a request is refused, not run.", "2s", 0, &r.MaxWait)
	c.addChoice("limit", "How many connections to a server are used at once: fixed (this VM's share) or adaptive (fewer while the server is slow).",
		string(LimitFixed), []string{string(LimitFixed), string(LimitAdaptive)}, (*string)(&r.Limit))
	o.definePlatform(c)
}

func (o *Options) definePlatform(c flagCommand) {
	p := &o.Platform
	c.addEndpoint("table-endpoint", "URL of the platform's table service.", &p.TableEndpoint)
	c.addFlag("table", "Name of the table.").Default("savoryramp").StringVar(&p.Table)
	c.addEndpoint("store-endpoint", "URL of the platform's object store.", &p.StoreEndpoint)
	c.addFlag("bucket", "Bucket for documents.").Default("savoryramp").StringVar(&p.Bucket)
	c.addFlag("region", "Region of both services.").Default("local").StringVar(&p.Region)
	c.addFlag("access-key-id", "Who signs in to both services.").PlaceHolder("ID").StringVar(&p.AccessKeyID)
	c.addFlag("access-key-secret", "Secret of that; set the variable, since others on the VM can read flags.").
		PlaceHolder("SECRET").StringVar(&p.AccessKeySecret)
}

func (o *Options) defineVM(app *kingpin.Application) {
	state := app.Command(string(CommandState), "Print the state of a running VM as JSON.").HelpLong(helpState)
	state.Arg("vm-address", "Admin address of the VM.").Required().SetValue(addressValue{"VM-ADDRESS", &o.VM})
	drain := app.Command(string(CommandDrain), "Tell a running VM to finish its requests and exit.").HelpLong(helpDrain)
	drain.Arg("vm-address", "Admin address of the VM.").Required().SetValue(addressValue{"VM-ADDRESS", &o.VM})
}

func (o *Options) defineDocument(app *kingpin.Application) {
	check := app.Command(string(CommandCheck), "Check a document offline.").HelpLong(helpCheck)
	o.addFileArgument(check)
	apply := flagCommand{app.Command(string(CommandApply), "Put a document into force.").HelpLong(helpApply)}
	o.addFileArgument(apply.CmdClause)
	o.addOperatorFlag(apply)
	o.definePlatform(apply)
	show := flagCommand{app.Command(string(CommandShow), "Print the document in force.").HelpLong(helpShow)}
	o.definePlatform(show)
	alerts := app.Command(string(CommandAlerts), "Print a document's alert rules.").HelpLong(helpAlerts)
	o.addFileArgument(alerts)
}

func (o *Options) addFileArgument(c *kingpin.CmdClause) {
	c.Arg("doc", "Path of the document; - for standard input.").Required().StringVar(&o.File)
}

func (o *Options) addOperatorFlag(c flagCommand) {
	c.addFlag("operator", "Who makes the change; kept with it.").Default("operator").StringVar(&o.Operator)
}

func (o *Options) defineKey(app *kingpin.Application) {
	key := app.Command("key", "Grant and withdraw callers' keys.").HelpLong(helpKey)
	create := flagCommand{key.Command("create", "Make a key; its secret is printed once.").HelpLong(helpKeyCreate)}
	create.Arg("workspace", "Workspace that the key is for.").Required().StringVar((*string)(&o.Workspace))
	create.Arg("name", "Name of the key, which callers give as user name.").Required().
		SetValue(nameValue{"NAME", (*string)(&o.Key)})
	withdraw := flagCommand{key.Command("withdraw", "Withdraw a key.").HelpLong(helpKeyWithdraw)}
	withdraw.Arg("name", "Name of the key.").Required().StringVar((*string)(&o.Key))
	for _, c := range []flagCommand{create, withdraw} {
		o.addOperatorFlag(c)
		o.definePlatform(c)
	}
}

func (o *Options) definePages(app *kingpin.Application) {
	app.Command(string(CommandEvents), "Print the catalogue of log events.").HelpLong(helpEvents)
	shell := app.Command(string(CommandCompletion), "Print a completion script for a shell.").HelpLong(helpCompletion)
	shell.Arg("shell", "bash or zsh.").Required().
		SetValue(choiceValue{"SHELL", []string{"bash", "zsh"}, &o.Shell})
	app.Command(string(CommandMan), "Print the man page.").HelpLong(helpMan)
	app.Command(string(CommandVersion), "Print the version.").HelpLong(helpVersion)
}

// check holds what no single flag can tell.
func (o *Options) validate() error {
	switch o.Command {
	case CommandRun:
		if err := o.Run.validate(); err != nil {
			return err
		}
		return o.Platform.validate()
	case CommandApply, CommandShow, CommandKeyCreate, CommandKeyWithdraw:
		return o.Platform.validate()
	}
	return nil
}

func (r *RunOptions) validate() error {
	required := []struct{ flag, value string }{
		{"vm", r.VM},
		{"availability-zone", r.AvailabilityZone},
		{"peer-cert", r.PeerTLS.Certificate},
		{"peer-key", r.PeerTLS.Key},
		{"peer-ca", r.PeerTLS.Authority},
	}
	for _, f := range required {
		if f.value == "" {
			return missingFlagError(f.flag)
		}
	}
	if (r.ListenTLS.Certificate == "") != (r.ListenTLS.Key == "") {
		return ErrUsage.New("--listen-cert and --listen-key belong together; give both or neither")
	}
	return r.validateAddresses()
}

func (r *RunOptions) validateAddresses() error {
	if r.Listen == r.Admin || r.Listen == r.Peer || r.Admin == r.Peer {
		return ErrUsage.New("--listen, --admin and --peer need an address each; two are the same")
	}
	return nil
}

func (p *PlatformOptions) validate() error {
	required := []struct{ flag, value string }{
		{"table-endpoint", p.TableEndpoint},
		{"store-endpoint", p.StoreEndpoint},
		{"access-key-id", p.AccessKeyID},
		{"access-key-secret", p.AccessKeySecret},
	}
	for _, f := range required {
		if f.value == "" {
			return missingFlagError(f.flag)
		}
	}
	return nil
}

func missingFlagError(flag string) error {
	return ErrUsage.New("--%s is missing; give it or set %s", flag, envVariable(flag))
}

// variable names the environment variable that stands for a flag.
func envVariable(flag string) string {
	return "SAVORYRAMP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
