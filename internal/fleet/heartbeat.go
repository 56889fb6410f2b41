package fleet

import "github.com/lapisvane/lapisvane/internal/callmux"

// heard takes in a heartbeat of another daemon; member is nil when that daemon is
// not known.
func (f *Fleet) heard(member *peer, heartbeat callmux.Heartbeat) {
	if member != nil {
		f.mutex.Lock()
		f.noteRevision(member, heartbeat.Revision)
		f.mutex.Unlock()
	}
	if !heartbeat.Confirmed.IsZero() && f.config.Freshness.Confirm(heartbeat.Revision, heartbeat.Confirmed) {
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
			member.link.Beat()
		}
	}
	for opened := range f.listeners {
		opened.link.Beat()
	}
}
