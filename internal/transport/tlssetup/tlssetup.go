// Package tlssetup builds the mutual TLS configuration for connections between daemons from the files
// that the settings name. The files are read once, at startup; the package keeps no state.
//
// Invariants: without TLS settings, connections are plain TCP. With them, every connection uses at
// least TLS 1.3, and both sides must present a certificate signed by the authority.
package tlssetup

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// PeerName is the DNS name in every daemon's certificate. Daemons are dialed by IP address, which
// changes with each machine, so this shared name is verified instead.
const PeerName = "lapisvane-daemon"

// Network returns the network between daemons: plain TCP if certificate is empty, otherwise TLS in
// which both sides must present a certificate signed by the authority. The arguments are file names.
// Errors: SettingsBadTLS.
func Network(certificate, key, authority string) (wire.Network, error) {
	if certificate == "" {
		return wire.TCP{}, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadTLS, err, "peer_tls.certificate and peer_tls.key")
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadTLS, err, "peer_tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, result.Errorf(result.SettingsBadTLS, "peer_tls.authority: %s contains no certificate", authority)
	}
	return wire.TCP{Client: clientConfig(pair, pool), Server: serverConfig(pair, pool)}, nil
}

func clientConfig(pair tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ServerName: PeerName,
	}
}

func serverConfig(pair tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}
