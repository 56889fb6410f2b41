package fleet

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// outgoing is a configuration as it is sent, encoded once for all that ask.
type outgoing struct {
	// mutex protects the rest and is held while a frame is encoded.
	mutex    sync.Mutex
	revision uint64
	frame    *lapisv1.CallFrame
}

// of returns the frame for a configuration.
func (o *outgoing) of(configuration *lapisv1.Configuration) (*lapisv1.CallFrame, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.frame != nil && o.revision == configuration.GetRevision() {
		return o.frame, nil
	}
	content, err := proto.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	deflated, err := wire.Deflate(content)
	if err != nil {
		return nil, err
	}
	o.revision = configuration.GetRevision()
	o.frame = &lapisv1.CallFrame{Body: &lapisv1.CallFrame_DeflatedConfiguration{DeflatedConfiguration: deflated}}
	return o.frame, nil
}

// serveConfiguration sends the configuration in force if it is newer than what
// the asking daemon has. It does not wait: the caller reads the link's frames.
func (f *Fleet) serveConfiguration(link callmux.Link, above uint64) {
	configuration := f.config.InForce()
	if configuration.GetRevision() <= above {
		return
	}
	go func() {
		frame, err := f.outgoing.of(configuration)
		if err != nil {
			f.config.Logger.Error(err, "fleet.configuration_not_sent", "revision", configuration.GetRevision())
			return
		}
		f.send(link, frame)
	}()
}
