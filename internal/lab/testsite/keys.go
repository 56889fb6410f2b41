package testsite

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/lapisvane/lapisvane/internal/transport/tlssetup"
)

// keyLifetime is how long certificates issued by a CertificateAuthority are valid.
const keyLifetime = 30 * 24 * time.Hour

// KeyPair is a certificate with its key in PEM form.
type KeyPair struct{ Certificate, Key []byte }

// CertificateAuthority is a certificate authority for tests.
type CertificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	PEM         []byte
}

// NewCertificateAuthority returns a certificate authority with a new key and a self-signed certificate.
func NewCertificateAuthority(name string) (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &CertificateAuthority{certificate: certificate, key: key, PEM: encodePEM("CERTIFICATE", der)}, nil
}

func certificateTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(keyLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue returns a new key pair with a certificate for name.
func (a *CertificateAuthority) Issue(name string) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(name), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", encoded)}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// PeerKeysCommand writes a certificate authority and a key pair for mutual TLS between daemons.
type PeerKeysCommand struct {
	Directory string `long:"directory" description:"directory for authority.pem, peer.pem and peer.key" required:"true"`
}

// Execute implements flags.Commander.
func (c *PeerKeysCommand) Execute([]string) error {
	authority, err := NewCertificateAuthority("lapisvane trial authority")
	if err != nil {
		return err
	}
	pair, err := authority.Issue(tlssetup.PeerName)
	if err != nil {
		return err
	}
	files := []struct {
		name    string
		content []byte
	}{{"authority.pem", authority.PEM}, {"peer.pem", pair.Certificate}, {"peer.key", pair.Key}}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(c.Directory, file.name), file.content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
