package daemon

import (
	"io"

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
	node string
}

// newLaunch returns a launch that logs events to output.
func newLaunch(options *daemonFlags, adapters map[string]Adapter, output io.Writer) *launch {
	return &launch{options: options, adapters: adapters, output: output, logger: logging.New(output, 0), node: options.Node}
}

// run performs the steps. Errors: *startup.Error.
func (l *launch) run() (*Daemon, error) {
	config, err := l.readSettings()
	if err != nil {
		return nil, err
	}
	limitRuntimeMemory(config)
	daemonOptions := Options{Logger: l.logger}
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

// readSettings reads the settings and sets the verbosity of the logger and the node.
func (l *launch) readSettings() (*settings.Daemon, error) {
	config, err := settings.ReadDaemon(l.options.Settings, l.options.apply)
	if config != nil {
		l.node = config.Node
	}
	if err != nil {
		return nil, startup.Failed(startup.StepSettings, l.options.Settings, err)
	}
	l.logger = logging.New(l.output, config.Verbosity)
	return config, nil
}

// fail logs the failure of the start, prints it to stderr and returns the exit code.
func (l *launch) fail(stderr io.Writer, err error) int {
	status := cli.ExitUsage
	code, _ := result.CodeOf(err)
	values := []any{"node", l.node}
	var failed *startup.Error
	if errors.As(err, &failed) {
		values = append(values, "step", failed.Step, "subject", failed.Subject)
	}
	values = append(values, "code", uint32(code), "name", code, "detail", err.Error(), "status", status)
	l.logger.Error(nil, "daemon.start_failed", values...)
	return cli.Fail(stderr, err, status)
}
