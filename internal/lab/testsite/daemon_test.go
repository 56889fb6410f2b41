package testsite_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/lab/callload"
	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/transport/tlssetup"
)

// TestMalformedBytesOnEveryPort sends garbage to each listening port of a
// daemon and checks that it still serves afterwards.
func TestMalformedBytesOnEveryPort(t *testing.T) {
	site := startSite(t, 1, nil)
	addresses := site.Daemons["edge"].Daemon.Addresses()
	random := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 4096)
	for index := range noise {
		noise[index] = byte(random.Uint32())
	}
	payloads := [][]byte{
		nil, []byte("\x00"), noise, []byte("LPSV1\n"), append([]byte("LPSV1\n"), noise...),
		append([]byte("LPSV1\n"), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f),
		append([]byte("LPSV1\n"), 0x05, 0x0a, 0x03), []byte("LPSV9\n"), bytes.Repeat([]byte("A"), 100_000),
		[]byte("POST /v1/accept HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n{{{"),
	}
	for _, address := range []string{addresses.Peer, addresses.Caller, addresses.Operator} {
		for index, payload := range payloads {
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write(payload)
			if half, ok := conn.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			answer, _ := io.ReadAll(conn)
			_ = conn.Close()
			assert.Check(t, !strings.HasPrefix(string(answer), "HTTP/1.1 2"), "payload %d at %s: %q", index, address, answer)
		}
	}
	callResult := edgeCaller(site, "/order", nil).Do(context.Background(), "after-noise")
	assert.Equal(t, callResult.Outcome, callload.OutcomeDone)
	_, err := site.Command(context.Background(), "edge", "show versions")
	assert.NilError(t, err)
}

// writeKeys issues a key pair for name and writes it to files.
func writeKeys(t *testing.T, authority *testsite.CertificateAuthority, name string) settings.PeerTLS {
	t.Helper()
	pair, err := authority.Issue(name)
	assert.NilError(t, err)
	directory := t.TempDir()
	keys := settings.PeerTLS{
		Certificate: filepath.Join(directory, "peer.pem"), Key: filepath.Join(directory, "peer.key"), Authority: filepath.Join(directory, "authority.pem"),
	}
	assert.NilError(t, os.WriteFile(keys.Certificate, pair.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(keys.Key, pair.Key, 0o600))
	assert.NilError(t, os.WriteFile(keys.Authority, authority.PEM, 0o600))
	return keys
}

func TestMutualTLSBetweenDaemons(t *testing.T) {
	profile := testsite.Swancycle()
	site, err := testsite.NewSite(profile, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	authority, err := testsite.NewCertificateAuthority("ours")
	assert.NilError(t, err)
	_, err = site.AddBackend("desk", "desk-1")
	assert.NilError(t, err)
	besideDaemon, err := site.StartMTLSDaemon("beside", profile.Zones[0], writeKeys(t, authority, tlssetup.PeerName), "desk/desk-1")
	assert.NilError(t, err)
	_, err = site.StartMTLSDaemon("edge", profile.Zones[0], writeKeys(t, authority, tlssetup.PeerName))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	revision, err := site.Accept(ctx, "routes", meshconfig.File{
		Pools:  []meshconfig.PoolFile{{Name: "desk", Group: "riders", Slots: 6, ConnectionLimit: 130}},
		Routes: []meshconfig.RouteFile{{Name: "order", Group: "riders", Pool: "desk", PathPrefix: "/order"}},
	})
	assert.NilError(t, err)
	assert.NilError(t, site.WaitInForce(ctx, revision))
	assert.NilError(t, site.WaitEndpoints(ctx, "desk", 1))
	for number := range 20 {
		callResult := edgeCaller(site, "/order", nil).Do(ctx, fmt.Sprintf("secure-%d", number))
		assert.Equal(t, callResult.Outcome, callload.OutcomeDone, "%+v", callResult)
	}

	otherAuthority, err := testsite.NewCertificateAuthority("strangers")
	assert.NilError(t, err)
	for name, keys := range map[string]settings.PeerTLS{
		"plain":           {},
		"other authority": writeKeys(t, otherAuthority, tlssetup.PeerName),
	} {
		t.Run(name, func(t *testing.T) {
			network, err := tlssetup.Network(keys.Certificate, keys.Key, keys.Authority)
			assert.NilError(t, err)
			conn, err := network.Dial(ctx, besideDaemon.Daemon.Addresses().Peer)
			if err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write([]byte("LPSV1\n\x04\x0a\x02\x08\x01"))
			answer, _ := io.ReadAll(conn)
			assert.Assert(t, !bytes.Contains(answer, []byte("beside")), "an unauthenticated peer got %q", answer)
		})
	}
}

func TestDaemonWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	site, err := testsite.NewSite(testsite.Swancycle(), logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	_, err = site.StartDaemon("edge", "perth-1", []string{"*"})
	assert.NilError(t, err)
	response, err := http.Get("http://" + site.Daemons["edge"].Daemon.Addresses().Caller + "/order")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.Header.Get("Lapisvane-Outcome"), "not-run")
	assert.Assert(t, response.StatusCode == http.StatusNotFound || response.Header.Get("Retry-After") != "")
}

// TestMachineListDrains lists a machine as leaving and checks that its back end
// gets no new calls.
func TestMachineListDrains(t *testing.T) {
	site := startSite(t, 2, func(p *testsite.Profile) { p.MachineLag = 0 })
	settings := site.Daemons["beside-desk-1"].Settings
	machine := objectapi.Machine{
		Node: "beside-desk-1", Address: site.Daemons["beside-desk-1"].Daemon.Addresses().Peer, Zone: settings.Zone,
		Region: settings.Region, State: objectapi.MachineLeaving,
	}
	site.Platform.SetMachine(machine)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if site.Daemons["edge"].Daemon.ReadyEndpoints("desk") == 1 {
			return poll.Success()
		}
		return poll.Continue("the machine's back end is not drained yet")
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(20*time.Millisecond))
	for number := range 20 {
		callResult := edgeCaller(site, "/order", nil).Do(context.Background(), fmt.Sprintf("leaving-%d", number))
		assert.Equal(t, callResult.Outcome, callload.OutcomeDone)
		assert.Equal(t, callResult.Instance, "desk-2")
	}
}
