package daemon

import (
	"net"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/daemon/startup"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// listeners holds the listening sockets; those not configured are nil.
type listeners struct {
	peer, caller, callerTLS, operator, metrics, instances, readiness net.Listener
}

// listen opens the sockets for the addresses in the settings. After an error no socket is left open.
// Errors: *startup.Error with the key as its step and the address as its subject; its cause is
// SettingsBadAddress, or an error of the network between daemons.
func listen(network wire.Network, config *settings.Daemon, logger logr.Logger) (opened listeners, err error) {
	if opened.peer, err = network.Listen(config.PeerAddress); err != nil {
		return listeners{}, startup.Failed("peer_address", config.PeerAddress, err)
	}
	opened.peer = socket.KeepAccepting(opened.peer, logger)
	plain := []struct {
		key, address string
		listener     *net.Listener
	}{
		{"caller_address", config.CallerAddress, &opened.caller},
		{"caller_tls_address", config.CallerTLSAddress, &opened.callerTLS},
		{"operator_address", config.OperatorAddress, &opened.operator},
		{"metrics_address", config.MetricsAddress, &opened.metrics},
		{"instance_address", config.InstanceAddress, &opened.instances},
		{"readiness_address", config.ReadinessAddress, &opened.readiness},
	}
	for _, entry := range plain {
		if entry.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			opened.close()
			fault := result.Wrap(result.SettingsBadAddress, err, "%s", entry.key)
			return listeners{}, startup.Failed(entry.key, entry.address, fault)
		}
		*entry.listener = socket.KeepAccepting(listener, logger)
	}
	return opened, nil
}

// close closes all sockets. Errors are ignored: they mean that a server has already closed its socket
// at the end of its context.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.caller, l.callerTLS, l.operator, l.metrics, l.instances, l.readiness} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Addresses holds the listen addresses of a daemon. An address is empty if it is not configured.
type Addresses struct {
	Peer, Caller, CallerTLS, Operator, Metrics, Instances, Readiness string
}

// addresses returns the addresses of the open sockets.
func (l *listeners) addresses() Addresses {
	address := func(listener net.Listener) string {
		if listener == nil {
			return ""
		}
		return listener.Addr().String()
	}
	return Addresses{
		Peer: address(l.peer), Caller: address(l.caller), CallerTLS: address(l.callerTLS),
		Operator: address(l.operator), Metrics: address(l.metrics),
		Instances: address(l.instances), Readiness: address(l.readiness),
	}
}
