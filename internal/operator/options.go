package operator

import (
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// Command names a command of the command line.
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
	// commandHelpShown means that help or the version was printed and no command is run.
	commandHelpShown Command = ""
)

// Options holds the parsed and validated command line.
type Options struct {
	Command  Command
	Run      RunOptions
	Platform PlatformOptions
	// File is the path of the document; "-" means standard input.
	File string
	// Operator is the name recorded with each document that is applied.
	Operator     string
	AdminAddress platform.Address
	Workspace    platform.WorkspaceName
	Key          platform.KeyName
	Shell        string
}

// RunOptions holds the settings of one daemon.
type RunOptions struct {
	VMName           string
	AvailabilityZone string
	CallerListen     platform.Address
	AdminListen      platform.Address
	PeerListen       platform.Address
	// SeedPeers are asked for the document if the platform is unavailable at startup.
	SeedPeers []platform.Address
	// PeerTLS must name all three files: VMs use mutual TLS, with certificates that one
	// authority signed.
	PeerTLS TLSFiles
	// ListenTLS names both a certificate and a key, or neither.
	ListenTLS TLSFiles
	LogLevel  string
	LogFormat string
	// BalancerLag is how long the load balancer may still send callers to this VM after
	// /ready starts to fail.
	BalancerLag time.Duration
	// DrainTime limits how long running requests may take to finish after BalancerLag.
	DrainTime         time.Duration
	StatementDeadline time.Duration
	// MaxWait limits how long a request waits in a queue before it is refused without
	// being run.
	MaxWait time.Duration
	// Limit selects how the connections in use to each server are limited; empty means
	// LimitFixed.
	Limit LimitName
	// ClientLimits replace the limits on clients that follow from the machine's, where they aren't 0.
	ClientLimits budget.Overrides
}

// TLSFiles holds the paths of PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// PlatformOptions holds the endpoints and credentials of the platform's services.
type PlatformOptions struct {
	TableEndpoint   string
	Table           string
	StoreEndpoint   string
	Bucket          string
	Region          string
	AccessKeyID     string
	AccessKeySecret string
	// Logger logs responses that may be duplicates. It may be nil.
	Logger log.Logger
}

// ParseOptions parses and validates the arguments. It returns ErrUsage naming the faulty
// flag. Help and usage pages are written to out.
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

// application returns the parser with all commands and flags.
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
	c.addName("vm", "Name of this VM, unique in the fleet.", &r.VMName)
	c.addName("availability-zone", "Availability zone of this VM.", &r.AvailabilityZone)
	c.addAddress("listen", "Address on which callers connect.", "127.0.0.1:6432", &r.CallerListen)
	c.addAddress("admin", "Address of the admin page, which serves /live, /ready, /state, /metrics and /drain.", "127.0.0.1:6480", &r.AdminListen)
	c.addAddress("peer", "Address on which other VMs reach this VM.", "127.0.0.1:6490", &r.PeerListen)
	c.addFlag("seed-peers", "Comma-separated addresses of peers to ask for the document if the platform is unavailable at startup; list all peers if possible.").
		PlaceHolder("ADDRESS,...").SetValue(addressListValue{"--seed-peers", &r.SeedPeers})
	c.addFile("peer-cert", "Certificate presented to peers (PEM).", &r.PeerTLS.Certificate)
	c.addFile("peer-key", "Private key of the peer certificate (PEM).", &r.PeerTLS.Key)
	c.addFile("peer-ca", "CA certificate that signs all peer certificates (PEM).", &r.PeerTLS.Authority)
	c.addFile("listen-cert", "Certificate presented to callers (PEM); if not set, callers connect without TLS.", &r.ListenTLS.Certificate)
	c.addFile("listen-key", "Private key of the caller certificate (PEM).", &r.ListenTLS.Key)
	c.addChoice("log-level", "Minimum level of logged events: error, warn, info or debug.", "info",
		[]string{"error", "warn", "info", "debug"}, &r.LogLevel)
	c.addChoice("log-format", "Format of log lines: logfmt or json.", "logfmt", []string{"logfmt", "json"}, &r.LogFormat)
	c.addDuration("balancer-lag", "How long the load balancer may still send callers after /ready starts to fail.", "5s", 0, &r.BalancerLag)
	c.addDuration("drain-time", "How long running requests may take to finish after --balancer-lag.", "30s", 0, &r.DrainTime)
	c.addDuration("statement-deadline", "Maximum time for the answer to one statement.", "30s", time.Millisecond, &r.StatementDeadline)
	c.addDuration("max-wait", "Maximum time a request waits in a queue before it is refused without being run.", "2s", 0, &r.MaxWait)
	c.addChoice("limit", "Limit on concurrently used connections to each server: fixed (this VM's share) or adaptive (fewer while the server is slow).",
		string(LimitFixed), []string{string(LimitFixed), string(LimitAdaptive)}, (*string)(&r.Limit))
	r.ClientLimits.Define(func(name, help, _ string, target *int) { c.addFlag(name, help).Default("0").IntVar(target) })
	o.definePlatform(c)
}

func (o *Options) definePlatform(c flagCommand) {
	p := &o.Platform
	c.addEndpoint("table-endpoint", "URL of the platform's table service.", &p.TableEndpoint)
	c.addFlag("table", "Name of the table.").Default("savoryramp").StringVar(&p.Table)
	c.addEndpoint("store-endpoint", "URL of the platform's object store.", &p.StoreEndpoint)
	c.addFlag("bucket", "Bucket that stores documents.").Default("savoryramp").StringVar(&p.Bucket)
	c.addFlag("region", "Region of both services.").Default("local").StringVar(&p.Region)
	c.addFlag("access-key-id", "Access key ID for both services.").PlaceHolder("ID").StringVar(&p.AccessKeyID)
	c.addFlag("access-key-secret", "Access key secret for both services; prefer the environment variable, since other users on the VM can read flags.").
		PlaceHolder("SECRET").StringVar(&p.AccessKeySecret)
}

func (o *Options) defineVM(app *kingpin.Application) {
	state := app.Command(string(CommandState), "Print the state of a running VM as JSON.").HelpLong(helpState)
	state.Arg("vm-address", "Admin address of the VM.").Required().SetValue(addressValue{"VM-ADDRESS", &o.AdminAddress})
	drain := app.Command(string(CommandDrain), "Tell a running VM to finish its requests and exit.").HelpLong(helpDrain)
	drain.Arg("vm-address", "Admin address of the VM.").Required().SetValue(addressValue{"VM-ADDRESS", &o.AdminAddress})
}

func (o *Options) defineDocument(app *kingpin.Application) {
	check := app.Command(string(CommandCheck), "Validate a document offline.").HelpLong(helpCheck)
	o.addFileArgument(check)
	apply := flagCommand{app.Command(string(CommandApply), "Put a document into force on all VMs.").HelpLong(helpApply)}
	o.addFileArgument(apply.CmdClause)
	o.addOperatorFlag(apply)
	o.definePlatform(apply)
	show := flagCommand{app.Command(string(CommandShow), "Print the document in force.").HelpLong(helpShow)}
	o.definePlatform(show)
	alerts := app.Command(string(CommandAlerts), "Print a document's alert rules.").HelpLong(helpAlerts)
	o.addFileArgument(alerts)
}

func (o *Options) addFileArgument(c *kingpin.CmdClause) {
	c.Arg("doc", "Path of the document, or - for standard input.").Required().StringVar(&o.File)
}

func (o *Options) addOperatorFlag(c flagCommand) {
	c.addFlag("operator", "Name of the operator, recorded with the change.").Default("operator").StringVar(&o.Operator)
}

func (o *Options) defineKey(app *kingpin.Application) {
	key := app.Command("key", "Create and withdraw callers' keys.").HelpLong(helpKey)
	create := flagCommand{key.Command("create", "Create a key and print its secret once.").HelpLong(helpKeyCreate)}
	create.Arg("workspace", "Workspace that the key gives access to.").Required().StringVar((*string)(&o.Workspace))
	create.Arg("name", "Name of the key, which callers use as user name.").Required().
		SetValue(nameValue{"NAME", (*string)(&o.Key)})
	withdraw := flagCommand{key.Command("withdraw", "Withdraw a key.").HelpLong(helpKeyWithdraw)}
	withdraw.Arg("name", "Name of the key.").Required().StringVar((*string)(&o.Key))
	for _, c := range []flagCommand{create, withdraw} {
		o.addOperatorFlag(c)
		o.definePlatform(c)
	}
}

func (o *Options) definePages(app *kingpin.Application) {
	app.Command(string(CommandEvents), "Print the catalogue of log events as Markdown.").HelpLong(helpEvents)
	shell := app.Command(string(CommandCompletion), "Print a completion script for a shell.").HelpLong(helpCompletion)
	shell.Arg("shell", "Shell to complete in: bash or zsh.").Required().
		SetValue(choiceValue{"SHELL", []string{"bash", "zsh"}, &o.Shell})
	app.Command(string(CommandMan), "Print the man page.").HelpLong(helpMan)
	app.Command(string(CommandVersion), "Print the version.").HelpLong(helpVersion)
}

// validate checks that the required flags are set and that the flags are consistent with
// each other.
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
		{"vm", r.VMName},
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
		return ErrUsage.New("--listen-cert and --listen-key must be set together; set both or neither")
	}
	if err := r.ClientLimits.Validate(); err != nil {
		return ErrUsage.New("%s", rootCause(err))
	}
	return r.validateAddresses()
}

func (r *RunOptions) validateAddresses() error {
	if r.CallerListen == r.AdminListen || r.CallerListen == r.PeerListen || r.AdminListen == r.PeerListen {
		return ErrUsage.New("--listen, --admin and --peer must differ; two of them are the same")
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
	return ErrUsage.New("--%s is required; pass it or set %s", flag, envVariable(flag))
}

// envVariable returns the name of the environment variable that sets a flag.
func envVariable(flag string) string {
	return "SAVORYRAMP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
