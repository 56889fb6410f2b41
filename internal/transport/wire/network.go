package wire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// DialTimeout bounds the opening of a connection to another daemon, including the TLS handshake. A
// caller may set a shorter timeout through the context.
const DialTimeout = 2 * time.Second

// Network opens and accepts connections between daemons. Tests implement it to inject delays and
// connection losses. It is safe for concurrent use.
type Network interface {
	// Dial opens a connection to an address of the form 10.0.0.1:7400.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen opens a listener at an address. Errors: SettingsAddressUnavailable.
	Listen(address string) (net.Listener, error)
}

// TCP is a Network over the TCP stack of the operating system, with optional TLS.
type TCP struct {
	// Client and Server are the TLS configurations for dialed and accepted connections, nil for plain
	// TCP.
	Client *tls.Config
	Server *tls.Config
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	if t.Client != nil {
		dialer := tls.Dialer{Config: t.Client}
		return dialer.DialContext(ctx, "tcp", address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (t TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(result.SettingsAddressUnavailable, err, "listening on %s", address)
	}
	if t.Server != nil {
		return tls.NewListener(listener, t.Server), nil
	}
	return listener, nil
}
