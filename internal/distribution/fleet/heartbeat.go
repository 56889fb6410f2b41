package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// recordHeartbeat records which revisions another daemon has in force and when they were confirmed
// as the newest. peer is nil for a daemon that is not recorded. If the confirmation is newer than
// this daemon's, it is forwarded.
func (f *Fleet) recordHeartbeat(peer *peer, heartbeat callmux.Heartbeat) {
	if peer != nil {
		f.mutex.Lock()
		f.recordRevision(peer, heartbeat.Revision)
		f.mutex.Unlock()
	}
	f.logConfirmationAhead(peer, heartbeat.Ahead)
	versions := configsource.Versions{Configuration: heartbeat.Revision, Orders: heartbeat.Orders}
	if !heartbeat.Confirmed.IsZero() && f.config.Freshness.Confirm(versions, heartbeat.Confirmed) {
		f.SendHeartbeats()
	}
}

// logConfirmationAhead logs the first of several heartbeats in a row whose confirmation is ahead of the clock.
func (f *Fleet) logConfirmationAhead(peer *peer, ahead bool) {
	if peer == nil {
		return
	}
	f.mutex.Lock()
	logged := peer.confirmsAhead
	peer.confirmsAhead = ahead
	f.mutex.Unlock()
	if ahead && !logged {
		f.config.Logger.Info("fleet.confirmation_ahead", "member", peer.name)
	}
}

// SendHeartbeats sends the revisions in force and their confirmation ahead of the regular
// heartbeats. It sends to linked daemons that lack a version, or whose last stated confirmation is
// older than this daemon's by more than minConfirmationGain. It does not block.
func (f *Fleet) SendHeartbeats() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.connected {
			peer.link.RequestHeartbeat(f.minConfirmationGain(peer.place()))
		}
	}
	for inbound := range f.inbound {
		inbound.link.RequestHeartbeat(f.minConfirmationGain(inbound.place))
	}
}

// minConfirmationGain returns by how much a confirmation must be newer than the one that a daemon
// at a place stated last, to be sent to that place ahead of the next regular heartbeat.
func (f *Fleet) minConfirmationGain(there locality.Place) time.Duration {
	switch f.config.Self.place().TierOf(there) {
	case locality.OwnZone:
		return minGainInZone
	case locality.OwnRegion:
		return minGainInRegion
	default:
		return minGainAcrossRegions
	}
}
