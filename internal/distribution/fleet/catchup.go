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

// catchUp asks other daemons for a configuration that is newer than the one in force here,
// until ctx ends.
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

// catchUpOnce asks one daemon after the other until none is known to be ahead. Before it
// first asks a daemon of another zone it waits up to zoneWait for its own zone to have the
// version, unless it has no configuration at all.
func (f *Fleet) catchUpOnce(ctx context.Context) {
	asked := map[string]bool{}
	mayWait := f.revision() > 0
	for ctx.Err() == nil {
		peer, link := f.nextToAsk(asked)
		if peer == nil {
			return
		}
		if mayWait && peer.Zone != f.config.Self.Zone {
			mayWait = false
			if !f.awaitConfiguration(ctx, time.Duration(float64(zoneWait)*f.config.Random())) {
				return
			}
			continue
		}
		asked[peer.Node] = true
		f.requestConfiguration(peer, link)
		if !f.awaitConfiguration(ctx, answerWait) {
			return
		}
	}
}

// awaitConfiguration waits until a configuration comes, longest at most; it reports false
// when ctx ended.
func (f *Fleet) awaitConfiguration(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(longest)
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
	f.config.Logger.Info("fleet.configuration_asked", "member", peer.Node, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	frame := &lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}}
	// In the background: another daemon is asked when no answer comes.
	f.running.Go(func() {
		if err := link.Send(frame); err != nil {
			f.config.Logger.Info("fleet.configuration_request_lost", "member", peer.Node, "error", err)
		}
	})
}

// holder is a daemon that has a newer configuration than this one.
type holder struct {
	tier     locality.Tier
	revision uint64
	// tieBreak is random, so that equal holders are asked evenly.
	tieBreak float64
}

// before reports whether a holder is asked before another one: the nearer tier first,
// because bytes over borders have a price, then the newer revision, then at random.
func (h holder) before(other holder) bool {
	return cmp.Or(cmp.Compare(h.tier, other.tier), cmp.Compare(other.revision, h.revision), cmp.Compare(other.tieBreak, h.tieBreak)) < 0
}

// nextToAsk returns the daemon to ask for the configuration, nil when there is none. It must
// be connected and answering, have a newer revision in force than this daemon, and not be
// in asked; among these holder.before decides.
func (f *Fleet) nextToAsk(asked map[string]bool) (*peer, callmux.Link) {
	above := f.revision()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *peer
	var bestHolder holder
	for _, peer := range f.peers {
		if !peer.connected || peer.stalled || peer.revision <= above || asked[peer.Node] {
			continue
		}
		found := holder{tier: f.config.Self.tierOf(peer.Member), revision: peer.revision, tieBreak: f.config.Random()}
		if best == nil || found.before(bestHolder) {
			best, bestHolder = peer, found
		}
	}
	if best == nil {
		return nil, callmux.Link{}
	}
	return best, best.link
}

func (f *Fleet) receiveConfiguration(configuration *lapisv1.Configuration) {
	f.config.Observer.Offer(configuration)
	signal(f.configurationArrived)
}

// receiveDeflatedConfiguration logs and drops a configuration that cannot be read; the next
// daemon is asked after answerWait.
func (f *Fleet) receiveDeflatedConfiguration(peer *peer, deflated []byte) {
	content, err := wire.Inflate(deflated)
	configuration := &lapisv1.Configuration{}
	if err == nil {
		err = proto.Unmarshal(content, configuration)
	}
	if err != nil {
		f.config.Logger.Error(err, "fleet.configuration_unreadable", "member", peer.Node)
		return
	}
	f.receiveConfiguration(configuration)
}

// encodedConfiguration is a configuration as it is sent, encoded once for all daemons that
// ask for it. It is safe for concurrent use.
type encodedConfiguration struct {
	// mutex protects the rest and is held while a frame is encoded.
	mutex    sync.Mutex
	revision uint64
	frame    *lapisv1.CallFrame
}

func (e *encodedConfiguration) frameFor(configuration *lapisv1.Configuration) (*lapisv1.CallFrame, error) {
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

// serveConfiguration sends the configuration in force if it is newer than above. It does
// not wait, because its caller reads the link's frames.
func (f *Fleet) serveConfiguration(link callmux.Link, above uint64) {
	configuration := f.config.InForce()
	if configuration.GetRevision() <= above {
		return
	}
	go func() {
		frame, err := f.encoded.frameFor(configuration)
		if err != nil {
			f.config.Logger.Error(err, "fleet.configuration_not_sent", "revision", configuration.GetRevision())
			return
		}
		f.send(link, frame)
	}()
}
