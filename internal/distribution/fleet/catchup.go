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

// Times of the catching up. Their sum stays below the part of the bound for a
// configuration after which a daemon asks the source itself.
const (
	// zonePatience is how long a daemon of the own zone is waited for, at the most,
	// that has a version. The time is random, so that about one daemon of a zone
	// fetches it from another zone and the others have it from there.
	zonePatience = 400 * time.Millisecond
	// answerPatience is how long an asked daemon has before another one is asked.
	answerPatience = 250 * time.Millisecond
)

// catchUp asks other daemons for the configuration when they have one in force
// that is newer than here, until ctx ends.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.behind:
		}
		f.catchUpOnce(ctx)
	}
}

// catchUpOnce asks one daemon after the other until none is known to be ahead.
func (f *Fleet) catchUpOnce(ctx context.Context) {
	asked := map[string]bool{}
	patient := f.revision() > 0
	for ctx.Err() == nil {
		member, link := f.ahead(asked)
		if member == nil {
			return
		}
		if patient && member.Zone != f.config.Self.Zone {
			patient = false
			if !f.await(ctx, time.Duration(float64(zonePatience)*f.config.Random())) {
				return
			}
			continue
		}
		asked[member.Node] = true
		f.askConfiguration(member, link)
		if !f.await(ctx, answerPatience) {
			return
		}
	}
}

// await waits until a configuration comes, at most for a time; it reports false when
// ctx ended.
func (f *Fleet) await(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.arrived:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (f *Fleet) askConfiguration(member *peer, link callmux.Link) {
	above := f.revision()
	f.config.Logger.Info("fleet.configuration_asked", "member", member.Node, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	frame := &lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}}
	if err := link.Send(frame); err != nil {
		f.config.Logger.Info("fleet.configuration_request_lost", "member", member.Node, "error", err)
	}
}

// ahead returns a connected daemon that has a newer configuration than this one and
// was not asked, nil when there is none. Daemons of the own zone go first, then
// those of the own region, then those with the newest revision, then any of them at random.
func (f *Fleet) ahead(asked map[string]bool) (*peer, callmux.Link) {
	above := f.revision()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *peer
	var bestTier locality.Tier
	var bestRank float64
	for _, member := range f.members {
		if !member.connected || member.stalled || member.revision <= above || asked[member.Node] {
			continue
		}
		tier, rank := f.config.Self.tierOf(member.Member), f.config.Random()
		better := best == nil || tier < bestTier
		if best != nil && tier == bestTier {
			better = cmp.Or(cmp.Compare(member.revision, best.revision), cmp.Compare(rank, bestRank)) > 0
		}
		if better {
			best, bestTier, bestRank = member, tier, rank
		}
	}
	if best == nil {
		return nil, callmux.Link{}
	}
	return best, best.link
}

// offered takes in another daemon's configuration.
func (f *Fleet) offered(configuration *lapisv1.Configuration) {
	f.config.Observer.Offer(configuration)
	signal(f.arrived)
}

// offeredDeflated takes in another daemon's configuration as it is sent.
func (f *Fleet) offeredDeflated(member *peer, deflated []byte) {
	content, err := wire.Inflate(deflated)
	configuration := &lapisv1.Configuration{}
	if err == nil {
		err = proto.Unmarshal(content, configuration)
	}
	if err != nil {
		f.config.Logger.Error(err, "fleet.configuration_unreadable", "member", member.Node)
		return
	}
	f.offered(configuration)
}

// outgoing is a configuration as it is sent, made once for all that ask.
type outgoing struct {
	// mutex protects the rest and is held while a frame is made.
	mutex    sync.Mutex
	revision uint64
	frame    *lapisv1.CallFrame
}

// of returns the frame for a configuration.
func (o *outgoing) of(configuration *lapisv1.Configuration) (*lapisv1.CallFrame, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.frame != nil && o.revision == configuration.GetRevision() {
		return o.frame, nil
	}
	content, err := proto.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	deflated, err := wire.Deflate(content)
	if err != nil {
		return nil, err
	}
	o.revision = configuration.GetRevision()
	o.frame = &lapisv1.CallFrame{Body: &lapisv1.CallFrame_DeflatedConfiguration{DeflatedConfiguration: deflated}}
	return o.frame, nil
}

// serveConfiguration sends the configuration in force if it is newer than what
// the asking daemon has.
func (f *Fleet) serveConfiguration(link callmux.Link, above uint64) {
	configuration := f.config.InForce()
	if configuration.GetRevision() <= above {
		return
	}
	go func() {
		frame, err := f.outgoing.of(configuration)
		if err != nil {
			f.config.Logger.Error(err, "fleet.configuration_not_sent", "revision", configuration.GetRevision())
			return
		}
		// A session that is over says so itself.
		_ = link.Send(frame)
	}()
}
