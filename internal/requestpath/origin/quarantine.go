package origin

import (
	"bytes"
	"io"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxShortBodyBytes is the length in bytes up to which a body counts as short: it is read whole here,
// right before the call would run, to know the request's keys. It must be below the bound of the
// caller's daemon (4 MiB), which checks longer ones too; here they would keep the slot until they
// have arrived.
const maxShortBodyBytes = 64 << 10

// checkQuarantine refuses a call under which instances crashed. The caller's daemon checks too;
// this one may know more by the time when the call would run. The conditions, in this order:
// a trial passes; so does a call whose head nobody suspects, which costs no hashing; so does one
// with a body that is not short, which only the caller's daemon checks; the rest is decided by
// the registry. Errors: CallNotRunQuarantined, CallNotRunExpired when the body does not arrive.
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
		return result.Wrap(result.CallNotRunExpired, err, "reading the request")
	}
	return o.config.Crashes.Evaluate(fingerprint.Of(line, content).Whole(), call.Open.GetCallerService()).Refusal()
}

// bufferBody returns a short body and leaves it to be read again.
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

// clearSuspicion records that an instance answered a suspected call with the given HTTP status: the
// crashes under such calls were not because of them. An answer that came before the whole body
// went there says nothing, since the call may not have run; neither does a server error.
func (o *Origin) clearSuspicion(tracked *inFlightCall, status int) {
	if status >= callapi.FirstServerError || !tracked.isBodyComplete() || !o.config.Crashes.Suspected(fingerprint.LineOf(tracked.open)) {
		return
	}
	o.config.Crashes.Answered(tracked.keysWithPartial())
}
