package origin

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// errResponseReset is the error of a response that would end with its connection, and whose connection was reset.
var errResponseReset = errors.New("the connection was reset within the response")

// checkEnd returns an error if the end of a response's body, as net/http reports it, is not the end of a whole
// response.
func (e *exchange) checkEnd(response *http.Response) error {
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if endsWithConnection && !e.endedOrderly() {
		return errResponseReset
	}
	return checkFieldNames(response.Trailer)
}

// endedOrderly reports whether the back end has closed the connection and not reset it. The read that returned
// the end does not tell: the kernel reports a reset once, to the write of the request if that comes first, and
// later reads return the end of the connection.
func (e *exchange) endedOrderly() bool {
	switch socket.EndOf(e.conn.Conn) {
	case socket.EndClosed:
		return true
	case socket.EndReset:
		return false
	}
	select {
	case <-e.writeDone:
		return e.writeErr == nil
	default:
		return false
	}
}
