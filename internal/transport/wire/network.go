package wire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// DialTimeout bounds the opening of a connection to another daemon, TLS included; a caller may set
// a shorter time.
const DialTimeout = 2 * time.Second

// Network opens and accepts connections between daemons. Tests put delays and
// cuts behind it. It is safe for concurrent use.
type Network interface {
	// Dial opens a connection to an address of the form 10.0.0.1:7400.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at an address. Errors: SettingsBadAddress.
	Listen(address string) (net.Listener, error)
}

// TCP is the Network of the operating system; TLS is used when set.
type TCP struct {
	// Client and Server are nil for plain TCP.
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
		return nil, result.Wrap(result.SettingsBadAddress, err, "listening on %s", address)
	}
	if t.Server != nil {
		return tls.NewListener(listener, t.Server), nil
	}
	return listener, nil
}
