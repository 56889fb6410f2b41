package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
)

// stubPlatform is a Platform without a store, a directory or any requests.
type stubPlatform struct{}

func (stubPlatform) OnStoreRestored(func()) {}

func (stubPlatform) RefusedEntries() map[platformapi.RefusedEntry]int64 { return nil }

func (stubPlatform) Source() configsource.Source                                         { return nil }
func (stubPlatform) Directory() fleet.Directory                                          { return nil }
func (stubPlatform) Rollouts() rollout.Store                                             { return nil }
func (stubPlatform) Envelope() callapi.Envelope                                          { return callapi.DefaultEnvelope }
func (stubPlatform) Quarantine() quarantine.Store                                        { return nil }
func (stubPlatform) Departures(string) departure.Store                                   { return nil }
func (stubPlatform) ServeInstances(context.Context, net.Listener, platformapi.Instances) {}
func (stubPlatform) ServeReadiness(context.Context, net.Listener, func() bool)           {}
func (stubPlatform) Close()                                                              {}

// platformDistributionOf returns the distribution of a daemon on a platform.
func platformDistributionOf(t *testing.T, running *Daemon) *platformDistribution {
	t.Helper()
	platform, ok := running.distribution.(*platformDistribution)
	assert.Assert(t, ok)
	return platform
}

func configurationOf(t *testing.T, revision uint64, prefix string) *lapisv1.Configuration {
	t.Helper()
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: revision,
		Pools:    []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
		Routes:   []*lapisv1.Route{{Name: "r", Group: meshconfig.DefaultGroup, Pool: "desk", Host: "h", PathPrefix: prefix}},
	}, nil)
	assert.NilError(t, err)
	return configuration
}

// The configuration in force is kept if the source or another daemon offers an older or a corrupted
// one.
func TestNothingOlderOrBrokenIsPutInForce(t *testing.T) {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	running, err := New(&config, Options{Logger: logr.Discard(), Platform: stubPlatform{}})
	assert.NilError(t, err)
	defer running.listeners.close()
	platform := platformDistributionOf(t, running)
	offer := platform.readConfiguration

	offer(configurationOf(t, 7, "/new/"))
	assert.Equal(t, running.Revision(), uint64(7))
	offer(configurationOf(t, 5, "/old/"))
	assert.Equal(t, running.Revision(), uint64(7))
	assert.Assert(t, running.path.snapshots.Current().Match("h", "/new/x", "GET") != nil)
	assert.Assert(t, running.path.snapshots.Current().Match("h", "/old/x", "GET") == nil)

	broken := configurationOf(t, 9, "/broken/")
	broken.Bundles[0].Content[3] ^= 1
	offer(broken)
	assert.Equal(t, running.Revision(), uint64(7))
	assert.Equal(t, platform.inForce.Load().GetRevision(), uint64(7))

	offer(configurationOf(t, 9, "/newest/"))
	assert.Equal(t, running.Revision(), uint64(9))
}

// The last announcement holds the state after the last change, however changes follow each other.
func TestAnnouncementIsNotOvertakenByAnOlderOne(t *testing.T) {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	running, err := New(&config, Options{Logger: logr.Discard(), Platform: stubPlatform{}})
	assert.NilError(t, err)
	defer running.listeners.close()
	platform := platformDistributionOf(t, running)
	local := running.path.origin
	for round := range 300 {
		service := fmt.Sprintf("desk-%d", round)
		instance := origin.Registration{Service: service, Instance: service, Address: fmt.Sprintf("127.0.0.1:%d", round+1), Slots: 1, Sequence: 1}
		local.Register(instance)
		var changing sync.WaitGroup
		changing.Go(func() { local.Withdraw(service, "b") })
		changing.Go(func() {
			other := instance
			other.Instance, other.Address = service+"-other", fmt.Sprintf("127.0.1.1:%d", round+1)
			local.Register(other)
		})
		changing.Wait()
		endpoints := platform.EndpointsOf(service)
		assert.Equal(t, len(endpoints), 2, "round %d", round)
		for _, endpoint := range endpoints {
			leaves := endpoint.GetInstance() == service
			assert.Equal(t, endpoint.GetState() == lapisv1.Endpoint_STATE_DRAINING, leaves, "round %d: %s is announced as %s", round, endpoint.GetInstance(), endpoint.GetState())
		}
	}
}
