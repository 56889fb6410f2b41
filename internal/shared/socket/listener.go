package socket

import (
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// acceptPause is the pause after a connection could not be accepted, such as for lack of file
// descriptors. Callers wait in the kernel for so long.
const acceptPause = 10 * time.Millisecond

// patientListener goes on after connections could not be accepted.
type patientListener struct {
	net.Listener
	logger logr.Logger
	// failures counts those in a row. Only the goroutine that accepts uses it.
	failures int
}

// KeepAccepting wraps a listener for servers that end with the first error of Accept: it returns an
// error only once the listener is closed. Without that a daemon that had run out of descriptors
// once took no caller any more, while it said that it was ready. One goroutine may accept.
func KeepAccepting(listener net.Listener, logger logr.Logger) net.Listener {
	return &patientListener{Listener: listener, logger: logger.WithValues("address", listener.Addr())}
}

// Accept implements net.Listener.
func (p *patientListener) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		switch {
		case err == nil:
			p.noteAccepted()
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		p.noteFailed(err)
		time.Sleep(acceptPause)
	}
}

// noteFailed logs the first failure in a row.
func (p *patientListener) noteFailed(err error) {
	if p.failures == 0 {
		p.logger.Error(err, "listener.failing")
	}
	p.failures++
}

func (p *patientListener) noteAccepted() {
	if p.failures > 0 {
		p.logger.Info("listener.accepts_again", "failures", p.failures)
		p.failures = 0
	}
}
