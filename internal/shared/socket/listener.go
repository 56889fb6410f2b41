package socket

import (
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// acceptRetryDelay is the delay before Accept is retried after a failure, such as a lack of file
// descriptors. Callers wait in the kernel's accept queue meanwhile.
const acceptRetryDelay = 10 * time.Millisecond

// retryingListener is a net.Listener that retries failed accepts.
type retryingListener struct {
	net.Listener
	logger logr.Logger
	// failures is the number of consecutive failures. It is used only by the accepting goroutine.
	failures int
}

// KeepAccepting wraps a listener for servers that end at the first error of Accept: it returns an error
// only once the listener is closed. Otherwise a daemon that once ran out of file descriptors would
// accept no further callers although it reports ready. Only one goroutine may call Accept.
func KeepAccepting(listener net.Listener, logger logr.Logger) net.Listener {
	return &retryingListener{Listener: listener, logger: logger.WithValues("address", listener.Addr())}
}

// Accept implements net.Listener.
func (r *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := r.Listener.Accept()
		switch {
		case err == nil:
			r.noteAccepted()
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		r.noteFailed(err)
		time.Sleep(acceptRetryDelay)
	}
}

// noteFailed counts a failure, and logs the first of consecutive ones.
func (r *retryingListener) noteFailed(err error) {
	if r.failures == 0 {
		r.logger.Error(err, "listener.failing")
	}
	r.failures++
}

func (r *retryingListener) noteAccepted() {
	if r.failures > 0 {
		r.logger.Info("listener.accepts_again", "failures", r.failures)
		r.failures = 0
	}
}
