package origin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func responseHead(response *http.Response) *lapisv1.CallHead {
	head := &lapisv1.CallHead{Status: uint32(response.StatusCode), ContentLength: response.ContentLength}
	head.Headers = headerFields(response.Header)
	for name := range response.Trailer {
		head.Headers = append(head.Headers, &lapisv1.HeaderField{Name: "Trailer", Value: name})
	}
	return head
}

func headerFields(header http.Header) []*lapisv1.HeaderField {
	fields := make([]*lapisv1.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &lapisv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// hopByHopHeaders names the fields of one connection only (RFC 9110, section 7.6.1), in canonical form.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// keepAliveOf returns how long the back end keeps a connection after this answer, less
// keepAliveMargin; ok is false when it does not say, or not in seconds.
func keepAliveOf(header http.Header) (keep time.Duration, ok bool) {
	for _, value := range header.Values("Keep-Alive") {
		for _, part := range strings.Split(value, ",") {
			name, seconds, found := strings.Cut(strings.TrimSpace(part), "=")
			if !found || !strings.EqualFold(name, "timeout") {
				continue
			}
			if count, err := strconv.Atoi(seconds); err == nil {
				return max(time.Duration(count)*time.Second-keepAliveMargin, time.Duration(count)*time.Second/2), true
			}
		}
	}
	return 0, false
}

// retryAfterOf returns the time of a Retry-After field in seconds; 0 where there is none, or one
// that is no number (a date), which counts as not known.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return seconds
}

// responseBody gives the slot back when the answer has been read or closed.
type responseBody struct {
	body io.ReadCloser
	slot *admission.Slot
	// onError is called when the answer breaks off.
	onError func(error)
}

func (a *responseBody) Read(buffer []byte) (int, error) {
	count, err := a.body.Read(buffer)
	if err != nil {
		a.slot.Release(false)
	}
	if err != nil && err != io.EOF {
		err = result.Wrap(result.CallTruncated, err, "the answer broke off")
		a.onError(err)
	}
	return count, err
}

func (a *responseBody) Close() error {
	err := a.body.Close()
	a.slot.Release(false)
	return err
}
