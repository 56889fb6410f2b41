package origin

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// An instance is given no more time than the caller of its call has, whose deadline is rounded on its way
// between daemons.
func TestInstanceIsGivenNoMoreTimeThanTheCaller(t *testing.T) {
	for name, row := range map[string]struct {
		deadline, rounding time.Duration
		want               string
	}{
		"from this daemon":         {3 * time.Second, 0, "3000"},
		"from another daemon":      {3*time.Second + time.Millisecond, time.Millisecond, "3000"},
		"less than a unit is left": {time.Millisecond, time.Millisecond, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), row.deadline)
				defer cancel()
				beside := &backend{envelope: &callapi.Envelope{Deadline: "Deadline-Ms"}}
				request := &http.Request{Header: http.Header{}}
				beside.setEnvelopeHeaders(ctx, request, &callapi.Call{Open: &lapisv1.CallOpen{}, DeadlineRounding: row.rounding})
				assert.Equal(t, request.Header.Get("Deadline-Ms"), row.want)
			})
		})
	}
}
