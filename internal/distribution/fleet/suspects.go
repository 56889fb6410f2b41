package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maxPendingSuspects bounds the records that wait to be sent on one link; beyond, all that
// is known is sent anew. Chosen, not measured; it must be smaller than
// the 4096 suspects that a quarantine registry holds, or it would save nothing.
const maxPendingSuspects = 1024

// pendingSuspects are the records of suspects that wait to be sent on one link; Fleet.mutex
// protects them.
type pendingSuspects struct {
	records []quarantine.Record
	// all is true where everything known is to be sent.
	all bool
	// wake asks for them to be sent.
	wake chan struct{}
}

func newPendingSuspects() pendingSuspects {
	return pendingSuspects{all: true, wake: make(chan struct{}, 1)}
}

func (p *pendingSuspects) add(records []quarantine.Record) {
	p.records = append(p.records, records...)
	if len(p.records) > maxPendingSuspects {
		p.records, p.all = nil, true
	}
	signal(p.wake)
}

// SpreadSuspects has records that changed here sent to all linked daemons but from, which
// they came from; from is empty for a crash found by this daemon. Each daemon to which they
// are new passes them on. It does not wait.
func (f *Fleet) SpreadSuspects(records []quarantine.Record, from string) {
	if len(records) == 0 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	notified := map[string]bool{from: true}
	for node, member := range f.members {
		if member.connected && !notified[node] {
			notified[node] = true
			member.pendingSuspects.add(records)
		}
	}
	for opened := range f.inbound {
		if !notified[opened.node] {
			notified[opened.node] = true
			opened.pendingSuspects.add(records)
		}
	}
}

// sendSuspects sends what is pending on a link.
func (f *Fleet) sendSuspects(link callmux.Link, pending *pendingSuspects) {
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
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Suspects{Suspects: quarantine.Message(records)}})
}

// receiveSuspects gives the observer what another daemon knows of suspects.
func (f *Fleet) receiveSuspects(from string, message *lapisv1.Suspects) {
	if f.config.Suspects != nil {
		f.config.Observer.OfferSuspects(quarantine.Records(message), from)
	}
}
