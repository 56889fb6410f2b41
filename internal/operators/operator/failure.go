package operator

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// firstPlatformCode is the lowest code of a failure of the platform.
const firstPlatformCode result.Code = 7000

// writeFailure answers with every fault of err.
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
			// No error without a code is known to occur. Code 0 would mean success; this one
			// tells the operator to repeat, which is safe.
			code = result.OperatorOutcomeUnknown
		}
		failure.Faults = append(failure.Faults, opapi.Fault{Code: uint32(code), Name: code.String(), Detail: err.Error()})
	}
	rc.JSON(statusOf(result.Code(failure.Faults[0].Code)), failure)
}

// statusOf returns the HTTP status of a result code. What may be repeated as it is has 503.
func statusOf(code result.Code) int {
	switch {
	case code == result.OperatorUnauthenticated:
		return http.StatusUnauthorized
	case code == result.OperatorForbidden:
		return http.StatusForbidden
	case code == result.OperatorConflict || code == result.OperatorOperationReused:
		return http.StatusConflict
	case code >= firstPlatformCode || code == result.OperatorBusy || code == result.OperatorOutcomeUnknown:
		return http.StatusServiceUnavailable
	case code == result.OperatorWaitExpired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusUnprocessableEntity
	}
}
