package daemon

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/cli"
)

func TestFailedStartIsLoggedOnOneLine(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	address := taken.Addr().String()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	for name, row := range map[string]struct {
		content, want string
		status        int
	}{
		"two faults":       {"node: a\n", `node=a step=settings subject=` + path + ` code=1004 name=settings-missing detail="1004 settings-missing: zone\n`, cli.ExitUsage},
		"unknown key":      {settingsText + "colour: red\n", `node="" step=settings subject=` + path + ` code=1002 `, cli.ExitUsage},
		"unknown platform": {strings.Replace(settingsText, "{addresses", "{form: other, addresses", 1), `node=a step=platform subject=other code=1005 `, cli.ExitUsage},
		"taken address":    {settingsText + "start_limit: 30ms\ncaller_address: " + address + "\n", `node=a step=caller_address subject=` + address + ` code=1007 `, cli.ExitUnavailable},
		"no certificate":   {settingsText + "start_limit: 30ms\npeer_tls: {certificate: /nowhere/c, key: k, authority: a}\n", `node=a step=peer_tls subject=/nowhere/c code=1006 `, cli.ExitUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(path, []byte(row.content), 0o600))
			// A fault in a file that has just been written is waited for.
			assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(-time.Hour)))
			var output, stderr bytes.Buffer
			starting := newLaunch(&daemonFlags{Settings: path}, nil, &output, nil, nil)
			_, err := starting.run()
			assert.Assert(t, err != nil)
			assert.Equal(t, starting.end(&stderr, err), row.status)
			_, failure, _ := strings.Cut(output.String(), "level=error event=daemon.start_failed ")
			assert.Equal(t, strings.Count(failure, "\n"), 1)
			assert.Assert(t, strings.HasPrefix(failure, row.want), output.String())
			assert.Assert(t, strings.HasSuffix(failure, fmt.Sprintf(" status=%d\n", row.status)), output.String())
			assert.Equal(t, strings.Contains(output.String(), "event=daemon.start_waiting "), row.status == cli.ExitUnavailable)
			assert.Equal(t, stderr.String(), err.Error()+"\n")
		})
	}
}

// Guards against a start that ends because the certificates are written at the same time.
func TestStartWaitsForCertificates(t *testing.T) {
	directory := t.TempDir()
	keys := []string{filepath.Join(directory, "c"), filepath.Join(directory, "k"), filepath.Join(directory, "a")}
	// The files are empty, then whole.
	for _, path := range keys {
		assert.NilError(t, os.WriteFile(path, nil, 0o600))
	}
	path := filepath.Join(directory, "settings.yaml")
	text := settingsText + fmt.Sprintf("peer_tls: {certificate: %s, key: %s, authority: %s}\n", keys[0], keys[1], keys[2])
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	waiting := waitWriter{began: make(chan struct{})}
	go func() {
		<-waiting.began
		certificate, key := selfSigned(t)
		for index, content := range [][]byte{certificate, key, certificate} {
			assert.Check(t, os.WriteFile(keys[index], content, 0o600))
		}
	}()
	running, err := newLaunch(&daemonFlags{Settings: path}, nil, &waiting, nil, nil).run()
	assert.NilError(t, err)
	running.listeners.close()
}

// waitWriter closes began at the first line that says that a start waits.
type waitWriter struct {
	began chan struct{}
	once  sync.Once
}

// Write implements io.Writer.
func (w *waitWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("event=daemon.start_waiting ")) {
		w.once.Do(func() { close(w.began) })
	}
	return len(line), nil
}

// selfSigned returns a certificate and its key in PEM form.
func selfSigned(t *testing.T) (certificate, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.Check(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	assert.Check(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	assert.Check(t, err)
	block := func(kind string, content []byte) []byte {
		return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	}
	return block("CERTIFICATE", signed), block("PRIVATE KEY", encoded)
}

// Guards against a start that waits for the addresses of settings which have been replaced.
func TestStartTakesSettingsThatChangeWhileItWaits(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { assert.Check(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(settingsText + "caller_address: " + taken.Addr().String() + "\n")
	waiting := waitWriter{began: make(chan struct{})}
	go func() {
		<-waiting.began
		write(settingsText + "caller_address: 127.0.0.1:0\n")
	}()
	running, err := newLaunch(&daemonFlags{Settings: path}, nil, &waiting, nil, nil).run()
	assert.NilError(t, err)
	running.listeners.close()
}
