package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maxUntold bounds the records that wait to be told on one connection; beyond, all that is
// known is told anew.
const maxUntold = 1024

// untold is what is to be told of suspects on one connection; Fleet.mutex protects it.
type untold struct {
	records []quarantine.Record
	// all is true where everything known is to be told.
	all bool
	// wake asks for it to be sent.
	wake chan struct{}
}

func newUntold() untold { return untold{all: true, wake: make(chan struct{}, 1)} }

func (u *untold) add(records []quarantine.Record) {
	u.records = append(u.records, records...)
	if len(u.records) > maxUntold {
		u.records, u.all = nil, true
	}
	signal(u.wake)
}

// SpreadSuspects tells all daemons in touch what is news of suspects, but the one that it
// came from. Each daemon to which it is news passes it on.
func (f *Fleet) SpreadSuspects(records []quarantine.Record, from string) {
	if len(records) == 0 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	told := map[string]bool{from: true}
	for node, member := range f.members {
		if member.connected && !told[node] {
			told[node] = true
			member.untold.add(records)
		}
	}
	for opened := range f.listeners {
		if !told[opened.node] {
			told[opened.node] = true
			opened.untold.add(records)
		}
	}
}

// sendSuspects sends what is to be told on a connection.
func (f *Fleet) sendSuspects(link callmux.Link, pending *untold) {
	f.mutex.Lock()
	records, all := pending.records, pending.all
	pending.records, pending.all = nil, false
	f.mutex.Unlock()
	if f.config.Suspects == nil {
		return
	}
	if all {
		records = f.config.Suspects()
	}
	if len(records) == 0 {
		return
	}
	// A session that is over says so itself.
	_ = link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Suspects{Suspects: quarantine.Message(records)}})
}

// toldSuspects takes in what another daemon knows of suspects.
func (f *Fleet) toldSuspects(from string, message *lapisv1.Suspects) {
	if f.config.Suspects != nil {
		f.config.Observer.Suspected(quarantine.Records(message), from)
	}
}
