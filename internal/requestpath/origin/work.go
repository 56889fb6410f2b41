package origin

import (
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// reportedWork is the newest statement of an instance of how long work takes there. It is safe for
// concurrent use.
type reportedWork struct{ latest atomic.Pointer[workReport] }

// workReport is one statement; percent is 100 while work takes as long as usual.
type workReport struct {
	percent    uint32
	receivedAt time.Time
}

// record records a statement; 0 percent stands for none.
func (s *reportedWork) record(percent uint32, now time.Time) {
	if percent > 0 {
		s.latest.Store(&workReport{percent: percent, receivedAt: now})
	}
}

// annotate adds the newest statement to the error of a call, whose sender may see no answer of the
// instance for long.
func (s *reportedWork) annotate(err error, now time.Time) error {
	coded, ok := err.(*result.Error)
	latest := s.latest.Load()
	if !ok || latest == nil {
		return err
	}
	annotated := *coded
	annotated.WorkPercent = latest.percent
	annotated.WorkAge = now.Sub(latest.receivedAt)
	return &annotated
}
