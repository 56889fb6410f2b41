package daemon

import (
	"net"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/daemon/startup"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// listeners holds the listening sockets; those not configured are nil.
type listeners struct {
	peer, caller, callerTLS, operator, metrics, instances, readiness net.Listener
}

// listen opens the sockets for the addresses in the settings except the metrics address, all or none:
// callers' connections must not wait in the accept queue of a daemon that still waits for another address.
// The callers' addresses are opened last. Errors: *startup.Error with the key as its step and the address as
// its subject.
func listen(network wire.Network, config *settings.Daemon, logger logr.Logger) (opened listeners, err error) {
	plain := wire.TCP{}.Listen
	for _, entry := range []struct {
		key, address string
		listener     *net.Listener
		listen       func(address string) (net.Listener, error)
	}{
		{"peer_address", config.PeerAddress, &opened.peer, network.Listen},
		{"instance_address", config.InstanceAddress, &opened.instances, plain},
		{"readiness_address", config.ReadinessAddress, &opened.readiness, plain},
		{"operator_address", config.OperatorAddress, &opened.operator, plain},
		{"caller_tls_address", config.CallerTLSAddress, &opened.callerTLS, plain},
		{"caller_address", config.CallerAddress, &opened.caller, plain},
	} {
		if entry.address == "" {
			continue
		}
		listener, err := entry.listen(entry.address)
		if err != nil {
			opened.close()
			return listeners{}, startup.Failed(entry.key, entry.address, errors.WithMessage(err, entry.key))
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
