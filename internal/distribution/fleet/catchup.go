package fleet

import (
	"cmp"
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// catchUp requests newer configurations from other daemons until ctx ends.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.catchUpDue:
		}
		f.catchUpOnce(ctx)
	}
}

// catchUpOnce asks one daemon after another until none is known to have a newer configuration.
// Before it first asks a daemon of another zone, it waits up to maxZoneWait for the own zone to get
// the version, unless this daemon has no configuration at all.
func (f *Fleet) catchUpOnce(ctx context.Context) {
	asked := map[string]bool{}
	canWait := f.revision() > 0
	for ctx.Err() == nil {
		peer, link := f.nextHolder(asked)
		if peer == nil {
			return
		}
		if canWait && !f.inOwnZone(peer) {
			canWait = false
			if !f.awaitConfiguration(ctx, time.Duration(float64(maxZoneWait)*f.config.Random())) {
				return
			}
			continue
		}
		asked[peer.name] = true
		f.requestConfiguration(peer, link)
		if !f.awaitConfiguration(ctx, answerTimeout) {
			return
		}
	}
}

func (f *Fleet) inOwnZone(peer *peer) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return peer.Zone == f.config.Self.Zone
}

// awaitConfiguration waits until a configuration arrives or timeout has passed. It returns false if
// ctx ended.
func (f *Fleet) awaitConfiguration(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.configurationArrived:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (f *Fleet) requestConfiguration(peer *peer, link callmux.Link) {
	above := f.revision()
	f.config.Logger.Info("fleet.configuration_asked", "member", peer.name, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	frame := &lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}}
	// Sent in the background. If no answer comes, another daemon is asked.
	f.running.Go(func() {
		if err := link.Send(frame); err != nil {
			f.config.Logger.Info("fleet.configuration_request_lost", "member", peer.name, "error", err)
		}
	})
}

// holder is a daemon with a newer configuration than this one.
type holder struct {
	tier     locality.Tier
	revision uint64
	// tieBreak is random, so that requests are spread over equal holders.
	tieBreak float64
}

// isPreferredTo reports whether a holder is asked before another one: the nearer tier first,
// because traffic between zones and regions is billed, then the newer revision, then at random.
func (h holder) isPreferredTo(other holder) bool {
	return cmp.Or(cmp.Compare(h.tier, other.tier), cmp.Compare(other.revision, h.revision), cmp.Compare(other.tieBreak, h.tieBreak)) < 0
}

// nextHolder returns the daemon to ask for the configuration, nil if there is none. It must be
// connected and answering, have a newer revision than this daemon, and not be in asked. Among
// several, holder.isPreferredTo decides.
func (f *Fleet) nextHolder(asked map[string]bool) (*peer, callmux.Link) {
	above := f.revision()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *peer
	var bestHolder holder
	for _, peer := range f.peers {
		if !peer.connected || peer.stalled || peer.revision <= above || asked[peer.name] {
			continue
		}
		current := holder{tier: f.config.Self.tierOf(peer.Member), revision: peer.revision, tieBreak: f.config.Random()}
		if best == nil || current.isPreferredTo(bestHolder) {
			best, bestHolder = peer, current
		}
	}
	if best == nil {
		return nil, callmux.Link{}
	}
	return best, best.link
}

func (f *Fleet) receiveConfiguration(peer *peer, configuration *lapisv1.Configuration) {
	f.config.Observer.OfferConfiguration(configuration, peer.name)
	signal(f.configurationArrived)
}

// receiveDeflatedConfiguration decodes a configuration. One that cannot be decoded is logged and
// dropped; the next daemon is asked after answerTimeout.
func (f *Fleet) receiveDeflatedConfiguration(peer *peer, deflated []byte) {
	content, err := wire.Inflate(deflated)
	configuration := &lapisv1.Configuration{}
	if err == nil {
		err = proto.Unmarshal(content, configuration)
	}
	if err != nil {
		f.config.Logger.Error(err, "fleet.configuration_unreadable", "member", peer.name)
		return
	}
	f.receiveConfiguration(peer, configuration)
}

// encodedConfiguration caches the encoded form of a configuration for all daemons that request it.
// It is safe for concurrent use.
type encodedConfiguration struct {
	// mutex protects the fields below and is held while a frame is encoded.
	mutex    sync.Mutex
	revision uint64
	frame    *lapisv1.CallFrame
}

func (e *encodedConfiguration) encodedFrame(configuration *lapisv1.Configuration) (*lapisv1.CallFrame, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.frame != nil && e.revision == configuration.GetRevision() {
		return e.frame, nil
	}
	content, err := proto.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	deflated, err := wire.Deflate(content)
	if err != nil {
		return nil, err
	}
	e.revision = configuration.GetRevision()
	e.frame = &lapisv1.CallFrame{Body: &lapisv1.CallFrame_DeflatedConfiguration{DeflatedConfiguration: deflated}}
	return e.frame, nil
}

// serveConfiguration serves a request for a configuration above a revision. It does not block, because its caller
// reads the link's frames.
func (f *Fleet) serveConfiguration(link callmux.Link, above uint64) {
	f.configurationSender.add(configurationRequest{link: link, above: above})
}
