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
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// daemonFlags are the command line options; they win over the file.
type daemonFlags struct {
	Settings         string   `short:"s" long:"settings" description:"settings file (YAML)"`
	Node             string   `long:"node" description:"the machine's stable name"`
	Zone             string   `long:"zone" description:"the machine's zone"`
	Region           string   `long:"region" description:"the machine's region"`
	PeerAddress      string   `long:"peer-address" description:"IP:port where other daemons connect"`
	CallerAddress    string   `long:"caller-address" description:"IP:port where callers connect over HTTP"`
	CallerTLSAddress string   `long:"caller-tls-address" description:"IP:port where callers connect over HTTPS"`
	OperatorAddress  string   `long:"operator-address" description:"IP:port where lapisctl connects"`
	MetricsAddress   string   `long:"metrics-address" description:"IP:port of the Prometheus endpoint"`
	Platform         []string `long:"platform" description:"IP:port of the platform; may be given several times"`
	Seeds            []string `long:"seed" description:"peer address of another daemon; may be given several times"`
	Services         []string `long:"service" description:"service that callers here use, '*' for all; may be given several times"`
	Profile          string   `long:"profile" description:"tunables of distribution" choice:"convergence" choice:"bytes"`
	Verbosity        *int     `short:"v" long:"verbosity" description:"0 events, 1 debugging"`
	CheckOnly        bool     `long:"check" description:"check the settings and exit"`
}

// apply puts the given flags over the settings.
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

// Main runs the program and returns its exit code: 0 after a planned stop that cut nothing,
// 1 when calls were cut, 2 when the settings cannot be used. adapters are keyed by
// platform.form of the settings.
func Main(arguments []string, adapters map[string]Adapter) int {
	signals := cli.CatchSignals()
	options := &daemonFlags{}
	parser := flags.NewNamedParser("lapisvaned", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The daemon beside back ends and callers: proxy on the request path, and relay or reader in the distribution of configuration. Flags win over the settings file. SIGTERM and SIGINT stop as planned, and change nothing when they come again; SIGQUIT ends at once what is in flight; SIGHUP reads the settings file again."
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	if _, code, done := cli.Parse(parser, arguments); done {
		return code
	}
	config, err := settings.ReadDaemon(options.Settings, options.apply)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	if options.CheckOnly {
		return cli.ExitOK
	}
	QuietHTTPLibrary()
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger := logging.New(output, config.Verbosity)
	daemonOptions := Options{Logger: logger}
	if form := config.Platform.Form; form != "" {
		adapter, known := adapters[form]
		if !known {
			return cli.Fail(os.Stderr, result.Errorf(result.SettingsBadNumber, "platform.form: %q is not known", form), cli.ExitUsage)
		}
		daemonOptions.Platform = adapter(config.Platform.Addresses[0], logger)
	}
	running, err := New(config, daemonOptions)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	watchSettings(running, options, signals.Reload())
	go logRepeated(logger, signals.Repeated())
	if cut := running.Run(signals.Stop(), signals.Force()); cut > 0 {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// Adapter connects a daemon with a platform at an address.
type Adapter func(address string, logger logr.Logger) platformapi.Platform

// watchSettings applies changes of the settings file, at a SIGHUP and without one, as long
// as the process runs.
func watchSettings(running *Daemon, options *daemonFlags, signals <-chan os.Signal) {
	watcher := &reloader{
		daemon: running, path: options.Settings, signals: signals,
		read: func() (*settings.Daemon, error) { return settings.ReadDaemon(options.Settings, options.apply) },
	}
	go watcher.run(context.Background())
}

// logRepeated logs signals that changed nothing, as long as the process runs.
func logRepeated(logger logr.Logger, signals <-chan os.Signal) {
	for repeated := range signals {
		logger.Info("daemon.stop_repeated", "signal", repeated)
	}
}

// QuietHTTPLibrary discards the HTTP library's own log lines; what matters of them is
// counted and logged as events.
func QuietHTTPLibrary() { hlog.SetOutput(io.Discard) }

// buildVersion returns the revision that the program was built from, as far as it is known.
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
