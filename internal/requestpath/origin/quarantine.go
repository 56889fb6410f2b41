package origin

import (
	"bytes"
	"io"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxShortBodyBytes is the maximum length of a body that counts as short: it is buffered here,
// right before the call would run, to compute the keys of the request. It must be below the limit
// of the caller's daemon (4 MiB), which also checks longer bodies; here they would occupy the slot
// until they have arrived.
const maxShortBodyBytes = 64 << 10

// checkQuarantine refuses a call if instances crashed during such calls. The caller's daemon checks
// too, but this one may know of more crashes when the call is about to run. The conditions apply in
// this order: a trial passes; a call whose head is not suspected passes, without hashing; a call
// whose body is not short passes, because only the caller's daemon checks it; the registry decides
// the rest. Errors: CallNotRunQuarantined, CallNotRunExpired if the body does not arrive.
func (o *Origin) checkQuarantine(call *callapi.Call) error {
	line := fingerprint.LineOf(call.Open)
	if call.Open.GetTrial() || !o.config.Crashes.Suspected(line) {
		return nil
	}
	if length := call.Open.GetContentLength(); call.Body != nil && (length < 0 || length > maxShortBodyBytes) {
		return nil
	}
	content, err := bufferBody(call)
	if err != nil {
		return result.Wrap(result.CallNotRunExpired, err, "reading the request body")
	}
	return o.config.Crashes.Evaluate(fingerprint.Of(line, content).Whole(), call.Open.GetCallerService()).Err()
}

// bufferBody returns a short body and replaces it by a copy, so that it can be read again.
func bufferBody(call *callapi.Call) ([]byte, error) {
	if call.Body == nil {
		return nil, nil
	}
	content, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, err
	}
	call.Body = bytes.NewReader(content)
	return content, nil
}

// clearSuspicion records that an instance answered a suspected call with the given HTTP status, so
// that such calls did not cause the crashes. A response that came before the whole body was sent
// proves nothing, because the call may not have run; neither does a server error.
func (o *Origin) clearSuspicion(tracked *inFlightCall, status int) {
	if status >= callapi.FirstServerError || !tracked.isBodyComplete() || !o.config.Crashes.Suspected(fingerprint.LineOf(tracked.open)) {
		return
	}
	o.config.Crashes.Answered(tracked.keysWithPartial())
}
