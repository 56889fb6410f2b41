package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// A version is made ready once for all that ask for it, and reads back as it was.
func TestOutgoingConfigurationIsMadeOnce(t *testing.T) {
	sent := &outgoing{}
	configuration := &lapisv1.Configuration{Revision: 3, Bundles: []*lapisv1.EncodedBundle{{Service: "desk", Content: []byte("routes")}}}
	first, err := sent.of(configuration)
	assert.NilError(t, err)
	second, err := sent.of(configuration)
	assert.NilError(t, err)
	assert.Assert(t, first == second)

	var offered *lapisv1.Configuration
	receiver := newTestFleet(1)
	receiver.config.Observer = offerFunc(func(received *lapisv1.Configuration) { offered = received })
	receiver.receiveDeflatedConfiguration(peerIn("sender", "a", 3), first.GetDeflatedConfiguration())
	assert.Equal(t, offered.GetRevision(), uint64(3))
	assert.Equal(t, string(offered.GetBundles()[0].GetContent()), "routes")

	offered = nil
	receiver.receiveDeflatedConfiguration(peerIn("sender", "a", 3), []byte("no deflate stream"))
	assert.Assert(t, offered == nil)
}
