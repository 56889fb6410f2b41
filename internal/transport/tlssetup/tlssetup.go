// Package tlssetup builds the mutual TLS configuration between daemons from
// the files that the settings name. It owns nothing: the files are read once, at the start.
//
// What must hold: without settings there is no TLS, and with them no connection without a
// certificate of the authority on both sides, from TLS 1.3 on.
package tlssetup

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// PeerName is the DNS name that every daemon's certificate carries. Daemons
// are reached by IP numbers that change with each machine, so a common name is
// verified instead.
const PeerName = "lapisvane-daemon"

// Network returns the network between daemons: plain TCP when all names are
// empty, else TLS in which both sides must show a certificate of the
// authority. Errors: SettingsBadTLS.
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
		return nil, result.Errorf(result.SettingsBadTLS, "peer_tls.authority: %s holds no certificate", authority)
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
