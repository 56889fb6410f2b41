package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/pause"
)

// catchUpDelay is how long the configuration source is given before another
// daemon is asked for a version that it has in force.
const catchUpDelay = 400 * time.Millisecond

// catchUp asks another daemon for the configuration when the source has not
// brought a version that others have, until ctx ends.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.behind:
		}
		if f.revision() > 0 && !pause.For(ctx, catchUpDelay) {
			return
		}
		if !f.askNewest() {
			continue
		}
		if !pause.For(ctx, catchUpDelay) {
			return
		}
		if f.newest() != nil {
			signal(f.behind)
		}
	}
}

// askNewest asks the daemon with the newest configuration, of the own zone
// first; it reports false when none in reach has a newer one.
func (f *Fleet) askNewest() bool {
	above := f.revision()
	member := f.newest()
	if member == nil {
		return false
	}
	f.mutex.Lock()
	link := member.link
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.configuration_asked", "member", member.Node, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	_ = link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}})
	return true
}

// newest returns the connected daemon with the newest configuration above the
// one in force here, nil when there is none.
func (f *Fleet) newest() *peer {
	above := f.revision()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *peer
	for _, member := range f.members {
		if !member.connected || member.revision <= above {
			continue
		}
		own := member.Zone == f.config.Self.Zone
		better := best == nil || member.revision > best.revision ||
			(member.revision == best.revision && own && best.Zone != f.config.Self.Zone)
		if better {
			best = member
		}
	}
	return best
}
