package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// recordHeartbeat records what another daemon has in force and how recently that was
// confirmed; member is nil when that daemon is not known. A confirmation that makes this
// daemon fresher is passed on.
func (f *Fleet) recordHeartbeat(member *peer, heartbeat callmux.Heartbeat) {
	if member != nil {
		f.mutex.Lock()
		f.recordRevision(member, heartbeat.Revision)
		f.mutex.Unlock()
	}
	versions := configsource.Versions{Configuration: heartbeat.Revision, Orders: heartbeat.Orders}
	if !heartbeat.Confirmed.IsZero() && f.config.Freshness.Confirm(versions, heartbeat.Confirmed) {
		f.SendHeartbeats()
	}
}

// SendHeartbeats sends what is in force here and how fresh it is, ahead of the regular
// heartbeats, to all linked daemons that lack a version, or whose last statement is older
// than what is confirmed here by more than earlyHeartbeatGain. It does not wait.
func (f *Fleet) SendHeartbeats() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.connected {
			member.link.HeartbeatEarly(f.earlyHeartbeatGain(member.place()))
		}
	}
	for opened := range f.inbound {
		opened.link.HeartbeatEarly(f.earlyHeartbeatGain(opened.place))
	}
}

// earlyHeartbeatGain returns by how much a confirmation must be newer than what a daemon at
// a place stated to be sent there ahead of the next regular heartbeat. Bytes are free
// within a zone, have a price between zones and a higher one between regions.
func (f *Fleet) earlyHeartbeatGain(there locality.Place) time.Duration {
	switch f.config.Self.place().TierOf(there) {
	case locality.OwnZone:
		return zoneGain
	case locality.OwnRegion:
		return regionGain
	default:
		return otherRegionGain
	}
}
