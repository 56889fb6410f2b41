package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// How much newer a confirmation must be than the one that the peer told before it is
// sent ahead of the next regular heartbeat.
const (
	// nearGain holds within a zone. It is a quarter of the least time after which a
	// daemon asks the configuration source again.
	nearGain = 100 * time.Millisecond
	// farGain holds between zones, where bytes have a price. It is two intervals of
	// the regular heartbeats: a zone has several links to others, one of which brings
	// a confirmation soon, and the daemons of the zone tell each other.
	farGain = 2 * time.Second
	// regionGain holds between regions, where bytes cost almost four times as much. It is
	// four intervals of the regular heartbeats, which carry confirmations anyway.
	regionGain = 4 * time.Second
)

// heard takes in a heartbeat of another daemon; member is nil when that daemon is
// not known.
func (f *Fleet) heard(member *peer, heartbeat callmux.Heartbeat) {
	if member != nil {
		f.mutex.Lock()
		f.noteRevision(member, heartbeat.Revision)
		f.mutex.Unlock()
	}
	told := configsource.Versions{Configuration: heartbeat.Revision, Orders: heartbeat.Orders}
	if !heartbeat.Confirmed.IsZero() && f.config.Freshness.Confirm(told, heartbeat.Confirmed) {
		f.Beat()
	}
}

// Beat tells all daemons in touch what is in force here and how fresh it is, as
// far as they lack that. Each of them tells it on.
func (f *Fleet) Beat() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.connected {
			member.link.Beat(f.gain(member.place()))
		}
	}
	for opened := range f.listeners {
		opened.link.Beat(f.gain(opened.place))
	}
}

// gain returns what a confirmation must be newer by to be sent ahead of time to a
// daemon at a place.
func (f *Fleet) gain(there locality.Place) time.Duration {
	switch f.config.Self.place().TierOf(there) {
	case locality.OwnZone:
		return nearGain
	case locality.OwnRegion:
		return farGain
	default:
		return regionGain
	}
}
