package origin

import (
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// reportedWork holds the latest slowdown that an instance reported (package worktime). It is safe
// for concurrent use.
type reportedWork struct{ latest atomic.Pointer[workReport] }

// workReport is one report. percent is the current service time as a percentage of the usual one.
type workReport struct {
	percent    uint32
	receivedAt time.Time
}

// record records a report; 0 percent means that there is none.
func (r *reportedWork) record(percent uint32, now time.Time) {
	if percent > 0 {
		r.latest.Store(&workReport{percent: percent, receivedAt: now})
	}
}

// annotate adds the latest report to the error of a call, because its sender may get no response of
// the instance for a long time.
func (r *reportedWork) annotate(err error, now time.Time) error {
	coded, ok := err.(*result.Error)
	latest := r.latest.Load()
	if !ok || latest == nil {
		return err
	}
	annotated := *coded
	annotated.WorkPercent = latest.percent
	annotated.WorkAge = now.Sub(latest.receivedAt)
	return &annotated
}
