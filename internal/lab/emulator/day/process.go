package day

import (
	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
	"github.com/lapisvane/lapisvane/platform"
)

// Process is a running daemon of a machine. Its methods are safe for concurrent use.
type Process interface {
	// Addresses returns the listen addresses of the daemon.
	Addresses() daemon.Addresses
	// Revision returns the configuration revision in force, 0 before the first.
	Revision() uint64
	// ReadyEndpoints returns the number of ready instances of a service that the daemon knows.
	ReadyEndpoints(service string) int
	// Quarantined returns the number of request fingerprints that the daemon quarantines.
	Quarantined() int
	// Evacuated reports whether the daemon follows an order to evacuate a zone.
	Evacuated(zone string) bool
	// Stop begins a planned stop, and Kill ends the daemon immediately. Neither waits for the end.
	Stop()
	Kill()
	// Done returns a channel that is closed once the daemon has ended. After that, CutCalls returns the
	// number of calls that the daemon cut at its end.
	Done() <-chan struct{}
	CutCalls() int64
}

// Launch starts a daemon with validated settings.
type Launch func(config *settings.Daemon, logger logr.Logger) (Process, error)

// embeddedProcess is a daemon that runs in the current process.
type embeddedProcess struct {
	*daemon.Daemon
	stop, force, ended chan struct{}
	cutCalls           int64
}

// launchEmbedded is the default Launch. It runs the daemon in the current process.
func launchEmbedded(config *settings.Daemon, logger logr.Logger) (Process, error) {
	return launchOn(nil, config, logger)
}

// launchOn runs a daemon in the current process, on a network; nil for plain TCP.
func launchOn(network wire.Network, config *settings.Daemon, logger logr.Logger) (Process, error) {
	adapter := platform.New(config.Platform.Addresses[0], logger)
	started, err := daemon.New(config, daemon.Options{Logger: logger, Network: network, Platform: adapter, SimulateKill: true})
	if err != nil {
		return nil, err
	}
	process := &embeddedProcess{Daemon: started, stop: make(chan struct{}), force: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(process.ended)
		process.cutCalls = started.Run(process.stop, process.force)
	}()
	return process, nil
}

// Stop implements Process.
func (e *embeddedProcess) Stop() { close(e.stop) }

// Kill implements Process.
func (e *embeddedProcess) Kill() { close(e.force) }

// Done implements Process.
func (e *embeddedProcess) Done() <-chan struct{} { return e.ended }

// CutCalls implements Process.
func (e *embeddedProcess) CutCalls() int64 { return e.cutCalls }
