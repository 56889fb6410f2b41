package daemon

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// daemonFlags are the command line options. They override the settings file.
type daemonFlags struct {
	Settings         string   `short:"s" long:"settings" description:"settings file (YAML)"`
	Node             string   `long:"node" description:"stable name of the machine"`
	Zone             string   `long:"zone" description:"zone of the machine"`
	Region           string   `long:"region" description:"region of the machine"`
	PeerAddress      string   `long:"peer-address" description:"IP:port where other daemons connect"`
	CallerAddress    string   `long:"caller-address" description:"IP:port where callers connect over HTTP"`
	CallerTLSAddress string   `long:"caller-tls-address" description:"IP:port where callers connect over HTTPS"`
	OperatorAddress  string   `long:"operator-address" description:"IP:port where lapisctl connects"`
	MetricsAddress   string   `long:"metrics-address" description:"IP:port of the Prometheus endpoint"`
	Platform         []string `long:"platform" description:"IP:port of the platform; may be given several times"`
	Seeds            []string `long:"seed" description:"peer address of another daemon; may be given several times"`
	Services         []string `long:"service" description:"service that callers on this machine use, '*' for all; may be given several times"`
	Profile          string   `long:"profile" description:"profile of distribution tunables" choice:"convergence" choice:"bytes"`
	Verbosity        *int     `short:"v" long:"verbosity" description:"0 events, 1 debugging"`
	CheckOnly        bool     `long:"check" description:"check the settings and exit"`
}

// apply overrides the settings with the flags that were given.
func (f *daemonFlags) apply(target *settings.Daemon) {
	texts := []struct {
		value string
		field *string
	}{
		{f.Node, &target.Node}, {f.Zone, &target.Zone}, {f.Region, &target.Region},
		{f.PeerAddress, &target.PeerAddress}, {f.CallerAddress, &target.CallerAddress},
		{f.CallerTLSAddress, &target.CallerTLSAddress}, {f.OperatorAddress, &target.OperatorAddress},
		{f.MetricsAddress, &target.MetricsAddress}, {f.Profile, &target.Profile},
	}
	for _, text := range texts {
		if text.value != "" {
			*text.field = text.value
		}
	}
	lists := []struct {
		values []string
		field  *[]string
	}{{f.Platform, &target.Platform.Addresses}, {f.Seeds, &target.Seeds}, {f.Services, &target.Services}}
	for _, list := range lists {
		if len(list.values) > 0 {
			*list.field = list.values
		}
	}
	if f.Verbosity != nil {
		target.Verbosity = *f.Verbosity
	}
}

// Main runs the program and returns its exit code: 0 after a planned stop without cut calls, 1 if
// calls were cut, 2 for invalid settings, 3 for a start that gave up at its limit. adapters is keyed by
// the setting platform.form.
func Main(arguments []string, adapters map[string]Adapter) int {
	signals := cli.CatchSignals()
	options := &daemonFlags{}
	parser := flags.NewNamedParser("lapisvaned", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs next to back ends and callers: a proxy on the request path, and a relay or reader in the distribution of configuration. Flags override the settings file. SIGTERM and SIGINT start a planned stop, and have no effect when repeated; SIGQUIT stops immediately and cuts the calls in flight; SIGHUP reloads the settings file."
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	if _, code, done := cli.Parse(parser, arguments); done {
		return code
	}
	if options.CheckOnly {
		return checkSettings(options)
	}
	QuietHTTPLibrary()
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	starting := newLaunch(options, adapters, output, signals.Stop(), signals.Force())
	running, err := starting.run()
	if err != nil {
		return starting.end(os.Stderr, err)
	}
	go newReloader(running, options, starting.settingsStamp, signals.Reload()).run(context.Background())
	go logRepeated(running.logger, signals.Repeated())
	if cut := running.Run(signals.Stop(), signals.Force()); cut > 0 {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// checkSettings checks the settings once and returns the exit code.
func checkSettings(options *daemonFlags) int {
	if _, err := settings.ReadDaemon(options.Settings, options.apply); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	return cli.ExitOK
}

// Adapter creates the adapter to the platform at an address.
type Adapter func(address string, logger logr.Logger) platformapi.Platform

// newReloader returns the reloader of the settings file. stamp identifies the state of the file that the
// daemon was started with; signals receives each SIGHUP.
func newReloader(running *Daemon, options *daemonFlags, stamp fileStamp, signals <-chan os.Signal) *reloader {
	return &reloader{
		daemon: running, path: options.Settings, signals: signals, lastStamp: stamp,
		read: func() (*settings.Daemon, error) { return settings.ReadDaemon(options.Settings, options.apply) },
	}
}

// logRepeated logs stop signals that had no effect because a stop was already in progress.
func logRepeated(logger logr.Logger, signals <-chan os.Signal) {
	for repeated := range signals {
		logger.Info("daemon.stop_repeated", "signal", repeated)
	}
}

// QuietHTTPLibrary discards the HTTP library's own log output. The daemon logs and counts the relevant
// errors itself.
func QuietHTTPLibrary() { hlog.SetOutput(io.Discard) }

// buildVersion returns the abbreviated VCS revision of the build, or the module version if there is
// none.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= 12 {
			return setting.Value[:12]
		}
	}
	return info.Main.Version
}
