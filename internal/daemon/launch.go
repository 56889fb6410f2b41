package daemon

import (
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/daemon/startup"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// launch performs the steps of a start, from the settings to the open listeners.
type launch struct {
	options *daemonFlags
	// adapters is keyed by the setting platform.form.
	adapters map[string]Adapter
	output   io.Writer
	logger   logr.Logger
	// node is the name of the machine, or empty while it is unknown.
	node   string
	waiter startup.Waiter
	// settingsStamp identifies the state of the settings file before it was read.
	settingsStamp fileStamp
}

// settingsLimit bounds the time from the start of the process in which the settings file is first waited for.
// No setting can do so. Files that a platform lays at a start are there within seconds.
const settingsLimit = time.Minute

// newLaunch returns a launch that logs events to output and ends when stop or force is closed.
func newLaunch(options *daemonFlags, adapters map[string]Adapter, output io.Writer, stop, force <-chan struct{}) *launch {
	logger := logging.New(output, 0)
	return &launch{
		options: options, adapters: adapters, output: output, logger: logger, node: options.Node,
		waiter: startup.Waiter{
			Stop: stop, Force: force, Logger: logger.WithValues("node", options.Node),
			Began: time.Now(), Limit: settingsLimit,
		},
	}
}

// run performs the steps, and begins again if the settings change while one of them waits. Errors:
// startup.ErrStopped, *startup.Error.
func (l *launch) run() (*Daemon, error) {
	for {
		config, err := l.readSettings()
		if err != nil {
			return nil, err
		}
		running, err := l.open(config)
		if !errors.Is(err, startup.ErrChanged) {
			return running, err
		}
	}
}

// open performs the steps that follow the settings. Errors: as run, and startup.ErrChanged.
func (l *launch) open(config *settings.Daemon) (*Daemon, error) {
	limitRuntimeMemory(config)
	l.waiter.Logger, l.waiter.Limit = l.logger.WithValues("node", l.node), config.StartLimit.Get()
	l.waiter.Changed = l.settingsChanged
	daemonOptions := Options{Logger: l.logger, Start: &l.waiter}
	if form := config.Platform.Form; form != "" {
		adapter, known := l.adapters[form]
		if !known {
			fault := result.Errorf(result.SettingsBadNumber, "platform.form: unknown platform %q", form)
			return nil, startup.Failed(startup.StepPlatform, form, fault)
		}
		daemonOptions.Platform = adapter(config.Platform.Addresses[0], l.logger)
	}
	return New(config, daemonOptions)
}

// settingsChanged reports whether there is another settings file than the one that was read.
func (l *launch) settingsChanged() bool {
	now := stampOf(l.options.Settings)
	return now != fileStamp{} && now != l.settingsStamp
}

// readSettings reads the settings and sets the verbosity of the logger and the node. It waits for a file
// that is not complete yet, for at most settingsLimit, or StartLimit of the settings that were read before.
func (l *launch) readSettings() (config *settings.Daemon, err error) {
	path := l.options.Settings
	l.waiter.Changed = nil
	files := startup.NewFiles(path)
	err = l.waiter.Do(func() (err error) {
		l.settingsStamp = stampOf(path)
		config, err = settings.ReadDaemon(path, l.options.apply)
		return files.Failed(startup.StepSettings, path, err)
	})
	if config != nil {
		l.node = config.Node
	}
	if err != nil {
		return nil, err
	}
	l.logger = logging.New(l.output, config.Verbosity)
	return config, nil
}

// end logs why the start ended without a daemon, prints a failure to stderr and returns the exit code.
func (l *launch) end(stderr io.Writer, err error) int {
	if errors.Is(err, startup.ErrStopped) {
		l.logger.Info("daemon.start_stopped", "node", l.node)
		return cli.ExitOK
	}
	status := cli.ExitUsage
	code, _ := result.CodeOf(err)
	values := []any{"node", l.node}
	var failed *startup.Error
	if errors.As(err, &failed) {
		values = append(values, "step", failed.Step, "subject", failed.Subject)
		if failed.Expired {
			status = cli.ExitUnavailable
		}
	}
	values = append(values, "code", uint32(code), "name", code, "detail", err.Error(), "status", status)
	l.logger.Error(nil, "daemon.start_failed", values...)
	return cli.Fail(stderr, err, status)
}
