package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// thinLinkMegabits is the rate of a thin link; largeConfigurationBytes occupy it for 0.1 s.
const (
	thinLinkMegabits        = 5
	largeConfigurationBytes = 62_500
)

// largeConfiguration returns a configuration that cannot be compressed.
func largeConfiguration(revision uint64) *lapisv1.Configuration {
	random := rand.New(rand.NewPCG(1, revision))
	content := make([]byte, largeConfigurationBytes)
	for index := range content {
		content[index] = byte(random.Uint32())
	}
	return &lapisv1.Configuration{Revision: revision, Bundles: []*lapisv1.EncodedBundle{{Service: "desk", Content: content}}}
}

// Requests on links that have ended meanwhile take no time of the others.
func TestRequestsOfLostLinksHoldUpNobody(t *testing.T) {
	runDaemons(t, nil, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		var inForce atomic.Pointer[lapisv1.Configuration]
		holder := start(memberAt("holder", "x:0"), func(config *Config) {
			config.LinkMegabits, config.InForce = thinLinkMegabits, inForce.Load
		})
		for index := range 6 {
			start(memberAt(fmt.Sprintf("asker-%d", index), fmt.Sprintf("x:%d", index+1)))
		}
		time.Sleep(20 * time.Second)
		inForce.Store(largeConfiguration(7))
		holder.mutex.Lock()
		var links []callmux.Link
		for inbound := range holder.inbound {
			links = append(links, inbound.link)
		}
		holder.mutex.Unlock()
		assert.Check(t, len(links) > 1)
		for _, link := range links {
			link.Close(errDirectoryDown)
		}
		for _, link := range links {
			occupied := holder.sendConfiguration(configurationRequest{link: link})
			assert.Check(t, occupied == 0, "a lost link counts as occupied for %s", occupied)
		}
	})
}

// Daemons that request a version at the same time get it one after the other, so that it does not occupy a thin link
// for their number times its size, with all calls behind it.
func TestConfigurationOccupiesAThinLinkOnceAtATime(t *testing.T) {
	runDaemons(t, nil, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		holder := largeConfiguration(7)
		start(memberAt("holder", "x:0"), func(config *Config) {
			config.LinkMegabits = thinLinkMegabits
			config.InForce = func() *lapisv1.Configuration { return holder }
		})
		var mutex sync.Mutex
		var arrivals []time.Time
		for index := range 6 {
			start(memberAt(fmt.Sprintf("asker-%d", index), fmt.Sprintf("x:%d", index+1)), func(config *Config) {
				config.Observer = offerFunc(func(*lapisv1.Configuration) {
					mutex.Lock()
					defer mutex.Unlock()
					arrivals = append(arrivals, time.Now())
				})
			})
		}
		time.Sleep(20 * time.Second)
		mutex.Lock()
		defer mutex.Unlock()
		assert.Assert(t, len(arrivals) >= 6)
		occupied := transferTime(largeConfigurationBytes, thinLinkMegabits)
		for index := range arrivals[1:] {
			gap := arrivals[index+1].Sub(arrivals[index])
			assert.Check(t, gap >= occupied, "two transfers within %s; one occupies the link for %s", gap, occupied)
		}
	})
}
