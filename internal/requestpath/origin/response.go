package origin

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
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

// setStatement sets what the instance states about itself.
func setStatement(head *lapisv1.CallHead, stated callapi.Statement) {
	if stated.Limit.Stated {
		head.StatedLimit = &stated.Limit.PerSecond
	}
	head.Leaving = stated.Leaving
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

// hopByHopHeaders are the fields that apply to one connection only (RFC 9110, section 7.6.1), in
// canonical form.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// keepAliveOf returns how long a connection may stay idle after this response: the timeout of its
// Keep-Alive field less keepAliveMargin, but at least half of the timeout. ok is false if the field
// states no timeout in whole seconds.
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

// maxStatedRetryAfter bounds the delay that an instance may state. It is the longest that the protocol
// between daemons can carry.
const maxStatedRetryAfter = math.MaxUint32 * time.Millisecond

// retryAfterOf returns the delay of a Retry-After field in seconds, at most maxStatedRetryAfter; 0, which
// means unknown, if the field is missing, negative or not a number, such as a date.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(max(seconds, 0), maxStatedRetryAfter)
}

// responseBody is a response body that releases the slot when it has been read or closed.
type responseBody struct {
	body io.ReadCloser
	slot *admission.Slot
	// onError is called if the response ends before it is complete.
	onError func(error)
}

func (b *responseBody) Read(buffer []byte) (int, error) {
	count, err := b.body.Read(buffer)
	if err != nil {
		b.slot.Release(false)
	}
	if err != nil && err != io.EOF {
		err = result.Wrap(result.CallTruncated, err, "the response ended before it was complete")
		b.onError(err)
	}
	return count, err
}

func (b *responseBody) Close() error {
	err := b.body.Close()
	b.slot.Release(false)
	return err
}
