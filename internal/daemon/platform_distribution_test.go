package daemon

import (
	"context"
	"net"
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
)

// idlePlatform is a platform that says nothing.
type idlePlatform struct{}

func (idlePlatform) OnStoreReturn(func()) {}

func (idlePlatform) RefusedEntries() map[platformapi.RefusedEntry]int64 { return nil }

func (idlePlatform) Source() configsource.Source                                         { return nil }
func (idlePlatform) Directory() fleet.Directory                                          { return nil }
func (idlePlatform) Rollouts() rollout.Store                                             { return nil }
func (idlePlatform) Envelope() callapi.Envelope                                          { return callapi.DefaultEnvelope }
func (idlePlatform) Quarantine() quarantine.Store                                        { return nil }
func (idlePlatform) ServeInstances(context.Context, net.Listener, platformapi.Instances) {}
func (idlePlatform) ServeReadiness(context.Context, net.Listener, func() bool)           {}
func (idlePlatform) Close()                                                              {}

// platformPart is the part of a daemon in the distribution on a platform.
func platformPart(t *testing.T, running *Daemon) *platformDistribution {
	t.Helper()
	part, ok := running.distribution.(*platformDistribution)
	assert.Assert(t, ok)
	return part
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

// The source, and other daemons, may bring an older version, or one that is
// broken on its way; what is in force stays.
func TestNothingOlderOrBrokenIsPutInForce(t *testing.T) {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	running, err := New(&config, Options{Logger: logr.Discard(), Platform: idlePlatform{}})
	assert.NilError(t, err)
	defer running.listeners.close()
	part := platformPart(t, running)
	offer := part.Offer

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
	assert.Equal(t, part.inForce.Load().GetRevision(), uint64(7))

	offer(configurationOf(t, 9, "/newest/"))
	assert.Equal(t, running.Revision(), uint64(9))
}
