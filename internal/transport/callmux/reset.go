package callmux

import (
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// errorOf converts a reset frame to an error. A code that means not run is honored only if the reset
// also states NotRun. A code that is not one of calls says why the peer could not pass the answer on, not
// what became of the call.
func errorOf(reset *lapisv1.CallReset) error {
	code := result.Code(reset.GetCode())
	if !code.Call() || code.NotRun() && !reset.GetNotRun() {
		code = result.CallUnknownOutcome
	}
	converted := result.Errorf(code, "%s", reset.GetReason())
	converted.RetryAfter = time.Duration(reset.GetRetryAfterMillis()) * time.Millisecond
	converted.Crashes = int(reset.GetCrashes())
	converted.WorkPercent = reset.GetWorkPercent()
	converted.WorkAge = time.Duration(reset.GetWorkAgeMillis()) * time.Millisecond
	return converted
}

// resetOf converts an error to a reset frame for the call id.
func resetOf(id uint64, err error) *lapisv1.CallFrame {
	code, ok := result.CodeOf(err)
	if !ok {
		code = result.CallUnknownOutcome
	}
	reset := &lapisv1.CallReset{Code: uint32(code), Reason: err.Error(), NotRun: code.NotRun()}
	if coded, ok := err.(*result.Error); ok {
		reset.Reason = coded.Detail
		reset.RetryAfterMillis = uint32(coded.RetryAfter.Milliseconds())
		reset.Crashes = uint32(coded.Crashes)
		reset.WorkPercent = coded.WorkPercent
		reset.WorkAgeMillis = uint32(coded.WorkAge.Milliseconds())
	}
	// The text may quote or cut what an instance sent.
	reset.Reason = strings.ToValidUTF8(reset.GetReason(), "?")
	return &lapisv1.CallFrame{Call: id, Body: &lapisv1.CallFrame_Reset_{Reset_: reset}}
}
