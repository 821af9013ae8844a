package main

import (
	"net"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/platform"
)

var version = "0.2.0"

const help = `Runs savoryramp on a VM of the users' platform.

The platform's settings file has the VM's zone, the addresses it listens on and the
addresses of the platform's services; docs/PLATFORM.md explains each field that is used.
SIGHUP reloads the settings, and so does a change of their file. SIGTERM drains the VM: sessions are closed between operations,
and open transactions may continue for half of the platform's grace period.`

// options holds the values of the command line flags and environment variables.
type options struct {
	// SettingsPath is the path of the platform's settings file.
	SettingsPath string
	// MetricsPort is the port for metrics and the state dump on the VM's address. If it is 0,
	// neither of them is served there.
	MetricsPort int
	// LogLinesPerSecond limits the average rate of log lines.
	LogLinesPerSecond int
	// Limits replace the limits that follow from the machine's, where they aren't 0.
	Limits budget.Overrides
	// CheckOnly validates the settings and exits.
	CheckOnly bool
	// PrintEvents prints the catalogue of log events and exits.
	PrintEvents bool
}

// parse parses the command line. It returns ErrMalformed if a flag is invalid.
func parse(arguments []string) (options, error) {
	var o options
	app := kingpin.New("savoryramp-vm", help).Version(version)
	app.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).StringVar(&o.SettingsPath)
	app.Flag("metrics-port", "Port for /metrics and /state on the VM's address; 0 disables both.").Default("9464").Envar("SAVORYRAMP_METRICS_PORT").IntVar(&o.MetricsPort)
	app.Flag("log-lines", "Maximum average number of log lines per second.").Default("100").Envar("SAVORYRAMP_LOG_LINES").IntVar(&o.LogLinesPerSecond)
	o.Limits.Define(func(name, help, variable string, target *int) {
		app.Flag(name, help).Default("0").Envar(variable).IntVar(target)
	})
	app.Flag("check", "Validate the settings and exit.").BoolVar(&o.CheckOnly)
	app.Flag("events", "Print the catalogue of log events and exit.").BoolVar(&o.PrintEvents)
	if _, err := app.Parse(arguments); err != nil {
		return options{}, proxy.ErrMalformed.Wrap(err, "command line")
	}
	if o.MetricsPort < 0 || o.MetricsPort > 65535 {
		return options{}, proxy.ErrMalformed.New("--metrics-port is %d, must be 0 to 65535", o.MetricsPort)
	}
	if o.LogLinesPerSecond < 1 {
		return options{}, proxy.ErrMalformed.New("--log-lines is %d, must be at least 1", o.LogLinesPerSecond)
	}
	if err := o.Limits.Validate(); err != nil {
		return options{}, proxy.ErrMalformed.Wrap(err, "command line")
	}
	return o, nil
}

// metricsAddress returns the address for serving metrics, empty if they are disabled.
func (o options) metricsAddress(ip string) string {
	if o.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(o.MetricsPort))
}
