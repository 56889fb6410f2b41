package daemon

import (
	"context"
	"net"
	"time"

	"github.com/lapisvane/lapisvane/internal/daemon/metrics"
	"github.com/lapisvane/lapisvane/internal/daemon/startup"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// metricsBackoff is the delay between two attempts to open the metrics address. It is not limited in
// number, since another program may have the address for long; at its maximum the attempts cost nothing.
var metricsBackoff = startup.Backoff{First: 10 * time.Millisecond, Max: time.Second}

// openMetrics opens the metrics address. A failure is logged and returns nil: calls do not need metrics,
// and the platform does not reserve the port.
func (d *Daemon) openMetrics(address string) net.Listener {
	if address == "" {
		return nil
	}
	listener, err := wire.TCP{}.Listen(address)
	if err != nil {
		d.logger.Error(err, "metrics.unavailable", "address", address)
		return nil
	}
	return socket.KeepAccepting(listener, d.logger)
}

// serveMetrics serves the metrics until ctx ends. If their address is not open, it waits for it.
func (d *Daemon) serveMetrics(ctx context.Context) {
	listener := d.listeners.metrics
	if address := d.settings.Load().MetricsAddress; listener == nil && address != "" {
		listener = d.awaitMetrics(ctx, address)
	}
	if listener != nil {
		metrics.Serve(ctx, listener, d.registry)
	}
}

// awaitMetrics opens the metrics address as soon as it can. It returns nil when ctx ends.
func (d *Daemon) awaitMetrics(ctx context.Context, address string) net.Listener {
	for failures := 1; sleep.For(ctx, metricsBackoff.Delay(failures)); failures++ {
		if listener, err := (wire.TCP{}).Listen(address); err == nil {
			d.logger.Info("metrics.available", "address", address, "failures", failures)
			return socket.KeepAccepting(listener, d.logger)
		}
	}
	return nil
}
