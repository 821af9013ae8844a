package main

import (
	"net"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/platform"
)

var version = "0.2.0"

const help = `Runs savoryramp on a VM of the users' platform.

The platform's settings file says where the VM stands, what it listens on and where the
store is; docs/PLATFORM.md explains each field that is used. SIGHUP reads it again, SIGTERM
drains: sessions are closed between operations, transactions may end for half of the time
that the platform gives.`

// options are the command line and environment.
type options struct {
	// Settings is the path of the platform's settings file.
	SettingsPath string
	// MetricsPort serves metrics and the state dump on the VM's address; 0 doesn't.
	MetricsPort int
	// LogLines a second are written at most, on average.
	LogLinesPerSecond int
	// Check only reads the settings.
	CheckOnly bool
	// Events prints the catalogue of log events.
	PrintEvents bool
}

// parse reads the command line. ErrMalformed.
func parse(arguments []string) (options, error) {
	var o options
	app := kingpin.New("savoryramp-vm", help).Version(version)
	app.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).StringVar(&o.SettingsPath)
	app.Flag("metrics-port", "Port for /metrics and /state on the VM's address; 0 for none.").Default("9464").Envar("SAVORYRAMP_METRICS_PORT").IntVar(&o.MetricsPort)
	app.Flag("log-lines", "Log lines a second that are written at most.").Default("100").Envar("SAVORYRAMP_LOG_LINES").IntVar(&o.LogLinesPerSecond)
	app.Flag("check", "Read the settings, say whether they can be used, and end.").BoolVar(&o.CheckOnly)
	app.Flag("events", "Print the catalogue of log events, and end.").BoolVar(&o.PrintEvents)
	if _, err := app.Parse(arguments); err != nil {
		return options{}, proxy.ErrMalformed.Wrap(err, "command line")
	}
	if o.MetricsPort < 0 || o.MetricsPort > 65535 {
		return options{}, proxy.ErrMalformed.New("--metrics-port is %d, 0 to 65535 is expected", o.MetricsPort)
	}
	if o.LogLinesPerSecond < 1 {
		return options{}, proxy.ErrMalformed.New("--log-lines is %d, 1 or more is expected", o.LogLinesPerSecond)
	}
	return o, nil
}

// metricsAddress is where metrics are served, empty for nowhere.
func (o options) metricsAddress(ip string) string {
	if o.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(o.MetricsPort))
}
