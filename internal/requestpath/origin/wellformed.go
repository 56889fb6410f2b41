package origin

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// net/http accepts responses that are not HTTP/1.x. If these were passed on, the caller would get an answer that the
// back end has not given: net/http does not recognize a malformed field that states the length of the body.

// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error if the head of a response is not well-formed.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Errorf("malformed response: version %d.%d", response.ProtoMajor, response.ProtoMinor)
	}
	// Status 101 would end HTTP on the connection, and requests never ask for that.
	if status := response.StatusCode; status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Errorf("malformed response: status %d", status)
	}
	return checkFieldNames(response.Header)
}

// checkFieldNames returns an error if the name of a field is not a token (RFC 9110, section 5.1). net/http accepts
// names with blanks.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !callapi.IsToken(name) {
			return errors.Errorf("malformed response: field name %.40q", name)
		}
	}
	return nil
}
