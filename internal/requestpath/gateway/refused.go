package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// withRetryAfter returns err with the time after which the caller may retry, according to package refusal. It
// changes a copy, because err may be shared between calls.
func withRetryAfter(err error, route *lapisv1.Route) error {
	coded, ok := err.(*result.Error)
	if !ok {
		return err
	}
	refused := refusal.Refusal{Code: coded.Code, RetryAfter: coded.RetryAfter, Constrained: constraintOf(err) != ""}
	target := time.Duration(route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
	after := refusal.RetryAfter(refused, target, rand.Float64())
	if after == coded.RetryAfter {
		return err
	}
	adjusted := *coded
	adjusted.RetryAfter = after
	return &adjusted
}

// statusOf maps a result code to an HTTP status. Status 503 promises that the call did not run, so a code that
// does not prove it gets 502, whatever failed.
func statusOf(code result.Code) int {
	switch code {
	case result.CallNoRoute:
		return http.StatusNotFound
	case result.CallUnknownKey:
		return http.StatusUnauthorized
	case result.CallRateLimited:
		return http.StatusTooManyRequests
	case result.CallBadRequest:
		return http.StatusBadRequest
	case result.CallHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case result.CallBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.CallRequestTimeout:
		return http.StatusRequestTimeout
	case result.CallNotRunDuplicate:
		return http.StatusConflict
	case result.CallDeadline:
		return http.StatusGatewayTimeout
	}
	if code.NotRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// failureBody is the JSON body of an error answer that the gateway generates.
type failureBody struct {
	Result  uint32 `json:"result"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// writeFailure replaces the answer by an error answer with the result code of err.
func (g *Gateway) writeFailure(rc *app.RequestContext, err error) {
	code, ok := result.CodeOf(err)
	if !ok {
		code = result.CallUnknownOutcome
	}
	status := statusOf(code)
	outcome := callapi.OutcomeOf(err)
	rc.Response.Reset()
	rc.SetStatusCode(status)
	g.writeOutcome(rc, code, outcome)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		rc.Response.Header.Set("Retry-After", g.retryAfter(err))
	}
	// Marshal cannot fail for numbers and strings.
	body, _ := json.Marshal(failureBody{Result: uint32(code), Name: code.String(), Outcome: outcome, Detail: detailOf(err)})
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBodyRaw(body)
}

// detailOf returns the text for a caller: the meaning of the result code, without internal addresses.
func detailOf(err error) string {
	if coded, ok := err.(*result.Error); ok {
		if entry, known := result.Lookup(coded.Code); known {
			return entry.Meaning
		}
	}
	return "The call failed."
}

// retryAfter formats the value of the Retry-After header field in seconds. Unless callers understand
// fractions, it is rounded up, so that they do not return too early.
func (g *Gateway) retryAfter(err error) string {
	wait := retryAfterOf(err)
	if wait <= 0 {
		wait = refusal.DefaultRetryAfter
	}
	if g.config.Envelope.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// retryAfterOf returns the retry time of an error; 0 if it has none.
func retryAfterOf(err error) time.Duration {
	var refused *result.Error
	if !errors.As(err, &refused) {
		return 0
	}
	return refused.RetryAfter
}
