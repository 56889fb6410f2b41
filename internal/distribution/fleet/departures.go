package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// DepartureHistory knows which instances beside this daemon left while earlier processes of the daemon ran,
// by a read of the store that began after the start of this process. Its methods must not block.
type DepartureHistory interface {
	// Missing reports whether the history is incomplete and still of use, and Uptime returns the time
	// since the start of this process.
	Missing() bool
	Uptime() time.Duration
	// Offer passes the result of a read by another daemon that began at the uptime readAt of this process,
	// or later. restored is true if the store may lack departures because it was restored from a backup.
	Offer(readAt time.Duration, instances []string, restored bool, from string)
	// Answer returns what this daemon read of the instances beside another one, whose request arrived at
	// askedAt and states its uptime, and the uptime of that process when the read began, or an earlier one. restored
	// is that of Offer.
	Answer(node string, askedAt time.Time, uptime time.Duration) (instances []string, readAt time.Duration, restored, known bool)
	// RequestRead makes this daemon read the store.
	RequestRead()
}

// departureRequest is a request of another daemon that is not answered yet.
//
// Clocks are not compared: the request states the uptime of the process that sends it, to which the answer
// adds the time from the receipt of the request to the beginning of the read of the store. Since the request
// was not received before it was sent, the sum is not later than the uptime at which the read began.
type departureRequest struct {
	receivedAt time.Time
	uptime     time.Duration
}

// requestDepartures asks for the departures of this daemon's instances on an outbound link, if they are
// missing. read asks the peer to read the store. It blocks until the request is written.
func (f *Fleet) requestDepartures(link callmux.Link, read bool) {
	if f.config.Departures == nil || !f.config.Departures.Missing() {
		return
	}
	request := &lapisv1.DeparturesRequest{UptimeNanos: f.config.Departures.Uptime().Nanoseconds(), Read: read}
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_DeparturesRequest{DeparturesRequest: request}})
}

// RequestDepartures asks one linked daemon to read the departures of this daemon's instances, because this
// one could not. It doesn't block.
func (f *Fleet) RequestDepartures() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.connected && !peer.stalled {
			go f.requestDepartures(peer.link, true)
			return
		}
	}
}

// receiveDeparturesRequest records and answers a request of the daemon that opened a link.
func (f *Fleet) receiveDeparturesRequest(inbound *inboundLink, request *lapisv1.DeparturesRequest) {
	if f.config.Departures == nil {
		return
	}
	received := &departureRequest{receivedAt: boottime.Exact(), uptime: time.Duration(request.GetUptimeNanos())}
	f.mutex.Lock()
	inbound.departureRequest = received
	answered := f.answerDepartures(inbound)
	f.mutex.Unlock()
	if !answered && request.GetRead() {
		f.config.Departures.RequestRead()
	}
}

// AnswerDepartures answers the waiting requests that can be answered. It is called after each read of the
// store and doesn't block.
func (f *Fleet) AnswerDepartures() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for inbound := range f.inbound {
		f.answerDepartures(inbound)
	}
}

// answerDepartures answers the request on a link in the background, if there is one and the answer is
// known. The caller holds mutex.
func (f *Fleet) answerDepartures(inbound *inboundLink) (answered bool) {
	request := inbound.departureRequest
	if request == nil {
		return false
	}
	instances, readAt, restored, known := f.config.Departures.Answer(inbound.node, request.receivedAt, request.uptime)
	if !known {
		return false
	}
	inbound.departureRequest = nil
	answer := &lapisv1.Departures{ReadUptimeNanos: readAt.Nanoseconds(), Instances: instances, RecentlyRestored: restored}
	go f.send(inbound.link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Departures{Departures: answer}})
	return true
}

// receiveDepartures passes the answer of another daemon to the history.
func (f *Fleet) receiveDepartures(from string, answer *lapisv1.Departures) {
	if f.config.Departures != nil {
		f.config.Departures.Offer(time.Duration(answer.GetReadUptimeNanos()), answer.GetInstances(), answer.GetRecentlyRestored(), from)
	}
}
