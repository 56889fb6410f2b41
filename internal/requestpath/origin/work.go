package origin

import (
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// statedWork is the newest statement of an instance of how long work takes there. It is safe for
// concurrent use.
type statedWork struct{ newest atomic.Pointer[workStatement] }

// workStatement is one statement; percent is 100 while work takes as long as usual.
type workStatement struct {
	percent uint32
	at      time.Time
}

// note records a statement; 0 percent stands for none.
func (s *statedWork) note(percent uint32, now time.Time) {
	if percent > 0 {
		s.newest.Store(&workStatement{percent: percent, at: now})
	}
}

// tell adds the newest statement to the error of a call, whose sender may see no answer of the
// instance for long.
func (s *statedWork) tell(err error, now time.Time) error {
	coded, ok := err.(*result.Error)
	newest := s.newest.Load()
	if !ok || newest == nil {
		return err
	}
	telling := *coded
	telling.WorkPercent = newest.percent
	telling.WorkAge = now.Sub(newest.at)
	return &telling
}
