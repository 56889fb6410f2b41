package fleet

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
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

// catchUpOnce asks one daemon after the other until none is known to be ahead. Before it
// first asks a daemon of another zone it waits up to zoneWait for its own zone to have the
// version, unless it has no configuration at all.
func (f *Fleet) catchUpOnce(ctx context.Context) {
	asked := map[string]bool{}
	mayWait := f.revision() > 0
	for ctx.Err() == nil {
		member, link := f.nextToAsk(asked)
		if member == nil {
			return
		}
		if mayWait && member.Zone != f.config.Self.Zone {
			mayWait = false
			if !f.awaitConfiguration(ctx, time.Duration(float64(zoneWait)*f.config.Random())) {
				return
			}
			continue
		}
		asked[member.Node] = true
		f.requestConfiguration(member, link)
		if !f.awaitConfiguration(ctx, answerWait) {
			return
		}
	}
}

// awaitConfiguration waits until a configuration comes, at most for a time; it reports
// false when ctx ended.
func (f *Fleet) awaitConfiguration(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.arrived:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (f *Fleet) requestConfiguration(member *peer, link callmux.Link) {
	above := f.revision()
	f.config.Logger.Info("fleet.configuration_asked", "member", member.Node, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	frame := &lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}}
	if err := link.Send(frame); err != nil {
		f.config.Logger.Info("fleet.configuration_request_lost", "member", member.Node, "error", err)
	}
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
	for _, member := range f.members {
		if !member.connected || member.stalled || member.revision <= above || asked[member.Node] {
			continue
		}
		found := holder{tier: f.config.Self.tierOf(member.Member), revision: member.revision, tieBreak: f.config.Random()}
		if best == nil || found.before(bestHolder) {
			best, bestHolder = member, found
		}
	}
	if best == nil {
		return nil, callmux.Link{}
	}
	return best, best.link
}

// receiveConfiguration offers another daemon's configuration to the observer.
func (f *Fleet) receiveConfiguration(configuration *lapisv1.Configuration) {
	f.config.Observer.Offer(configuration)
	signal(f.arrived)
}

// receiveDeflatedConfiguration offers another daemon's configuration as it is sent. One
// that cannot be read is logged and dropped; the next daemon is asked after answerWait.
func (f *Fleet) receiveDeflatedConfiguration(member *peer, deflated []byte) {
	content, err := wire.Inflate(deflated)
	configuration := &lapisv1.Configuration{}
	if err == nil {
		err = proto.Unmarshal(content, configuration)
	}
	if err != nil {
		f.config.Logger.Error(err, "fleet.configuration_unreadable", "member", member.Node)
		return
	}
	f.receiveConfiguration(configuration)
}
