package operator

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// minPlatformCode is the lowest result code of a platform failure.
const minPlatformCode result.Code = 7000

// writeFailure answers a request with all faults of err.
func writeFailure(rc *app.RequestContext, err error) {
	failure := opapi.Failure{}
	var list *result.List
	if errors.As(err, &list) {
		for _, fault := range list.Faults {
			failure.Faults = append(failure.Faults, opapi.Fault{Code: uint32(fault.Code), Name: fault.Code.String(), Detail: fault.Detail})
		}
	} else {
		code, coded := result.CodeOf(err)
		if !coded {
			// Errors without a code are not expected. Code 0 would mean success;
			// OperatorOutcomeUnknown makes the client repeat the request, which is safe.
			code = result.OperatorOutcomeUnknown
		}
		failure.Faults = append(failure.Faults, opapi.Fault{Code: uint32(code), Name: code.String(), Detail: err.Error()})
	}
	rc.JSON(statusOf(result.Code(failure.Faults[0].Code)), failure)
}

// statusOf returns the HTTP status of a result code. Requests that may be repeated unchanged get 503.
func statusOf(code result.Code) int {
	switch {
	case code == result.OperatorUnauthenticated:
		return http.StatusUnauthorized
	case code == result.OperatorForbidden:
		return http.StatusForbidden
	case code == result.OperatorConflict || code == result.OperatorOperationReused:
		return http.StatusConflict
	case code >= minPlatformCode || code == result.OperatorBusy || code == result.OperatorOutcomeUnknown:
		return http.StatusServiceUnavailable
	case code == result.OperatorWaitExpired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusUnprocessableEntity
	}
}
