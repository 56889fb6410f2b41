package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// configurationSender sends the configuration in force to the daemons that request it, one after the other.
//
// A new version makes all linked daemons request it at the same time from the few that have it. Sent to all of them
// at once, it occupies a thin link for their number times its size: 16 daemons and 100 kB for 2.6 s at 5 Mbit/s.
// Calls and polls of the store wait behind it for as long, and no daemon has the version before the end. One after the
// other, the first one has it after 0.16 s and passes it on, so that the number of holders doubles in each such time.
//
// It holds one entry for each link. It is safe for concurrent use.
type configurationSender struct {
	// wake requests that waiting be looked at.
	wake chan struct{}
	// mutex protects waiting, the requests in the order of their arrival.
	mutex   sync.Mutex
	waiting []configurationRequest
}

// configurationRequest is a daemon's request for a configuration above a revision.
type configurationRequest struct {
	link  callmux.Link
	above uint64
}

func newConfigurationSender() *configurationSender {
	return &configurationSender{wake: make(chan struct{}, 1)}
}

// add adds a request. A later one on the same link replaces it in its place.
func (s *configurationSender) add(request configurationRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer signal(s.wake)
	for index := range s.waiting {
		if s.waiting[index].link == request.link {
			s.waiting[index] = request
			return
		}
	}
	s.waiting = append(s.waiting, request)
}

// next removes and returns the first request; ok is false if there is none.
func (s *configurationSender) next() (request configurationRequest, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) == 0 {
		return request, false
	}
	request = s.waiting[0]
	s.waiting = s.waiting[1:]
	return request, true
}

// sendConfigurations serves the requests until ctx ends.
func (f *Fleet) sendConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		request, ok := f.configurationSender.next()
		if ok {
			sleep.For(ctx, f.sendConfiguration(request))
			continue
		}
		select {
		case <-f.configurationSender.wake:
		case <-ctx.Done():
		}
	}
}

// sendConfiguration sends the configuration in force if it is newer than the requested revision and than what the
// other daemon has got since. It returns for how long this occupies the link of the machine. It does not wait for the
// transfer, so that a daemon that stands still does not hold up the others.
func (f *Fleet) sendConfiguration(request configurationRequest) time.Duration {
	configuration := f.config.InForce()
	if request.link.IsClosed() || configuration.GetRevision() <= max(request.above, request.link.PeerRevision()) {
		return 0
	}
	frame, err := f.encoded.encodedFrame(configuration)
	if err != nil {
		f.config.Logger.Error(err, "fleet.configuration_not_sent", "revision", configuration.GetRevision())
		return 0
	}
	f.running.Go(func() { f.send(request.link, frame) })
	return transferTime(len(frame.GetDeflatedConfiguration()), f.config.LinkMegabits)
}

// transferTime returns for how long a number of bytes occupies a link of a rate in Mbit/s, 0 if the rate is not known.
func transferTime(bytes int, megabits float64) time.Duration {
	if megabits <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / (megabits * 1e6) * float64(time.Second))
}
