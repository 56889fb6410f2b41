package day

import (
	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/platform"
)

// Process is one running daemon of a machine. Its methods are safe for concurrent use.
type Process interface {
	// Addresses are where the daemon listens.
	Addresses() daemon.Addresses
	// Revision is the configuration revision in force, 0 before the first.
	Revision() uint64
	// ReadyEndpoints is the number of ready instances of a service that the daemon knows.
	ReadyEndpoints(service string) int
	// Quarantined is the number of requests that are quarantined, by fingerprint.
	Quarantined() int
	// Evacuated reports whether the daemon follows an order to evacuate a zone.
	Evacuated(zone string) bool
	// Stop asks for a planned stop and Kill ends the daemon at once; neither waits for the end.
	Stop()
	Kill()
	// Ended is closed once the daemon has ended; Cut is then the number of calls that it cut.
	Ended() <-chan struct{}
	Cut() int64
}

// Launch starts a daemon with checked settings.
type Launch func(config *settings.Daemon, logger logr.Logger) (Process, error)

// embedded is a daemon in the process that plays the day.
type embedded struct {
	*daemon.Daemon
	stop, force, ended chan struct{}
	cut                int64
}

// launchEmbedded is the Launch of a site that names none.
func launchEmbedded(config *settings.Daemon, logger logr.Logger) (Process, error) {
	adapter := platform.New(config.Platform.Addresses[0], logger)
	started, err := daemon.New(config, daemon.Options{Logger: logger, Platform: adapter, SimulateKill: true})
	if err != nil {
		return nil, err
	}
	process := &embedded{Daemon: started, stop: make(chan struct{}), force: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(process.ended)
		process.cut = started.Run(process.stop, process.force)
	}()
	return process, nil
}

// Stop implements Process.
func (e *embedded) Stop() { close(e.stop) }

// Kill implements Process.
func (e *embedded) Kill() { close(e.force) }

// Ended implements Process.
func (e *embedded) Ended() <-chan struct{} { return e.ended }

// Cut implements Process.
func (e *embedded) Cut() int64 { return e.cut }
