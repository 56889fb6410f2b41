package pipeline

import (
	"io"
	"net"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// faultOf converts a read error of a request to an error with a result code, or returns nil if the
// caller disconnected.
func faultOf(err error) error {
	var coded *result.Error
	switch {
	case errors.As(err, &coded):
		return err
	case errors.Is(err, httpinput.ErrNoMemory):
		return result.Wrap(result.CallNotRunOverloaded, err, "reading the request")
	case isTimeout(err):
		return result.Wrap(result.CallRequestTimeout, err, "reading the request")
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		return result.Wrap(result.CallHeadTooLarge, err, "reading the request")
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return result.Wrap(result.CallBodyTooLarge, err, "reading the request")
	case isDisconnect(err):
		return nil
	default:
		return result.Wrap(result.CallBadRequest, err, "reading the request")
	}
}

// isDisconnect reports whether a read error means that the caller disconnected.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, hertzerrors.ErrNothingRead) || errors.Is(err, hertzerrors.ErrConnectionClosed) || isConnectionError(err)
}

// isConnectionError reports whether err is a network error other than a timeout.
func isConnectionError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && !operation.Timeout()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
