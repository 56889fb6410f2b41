package decision

import (
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// successLevel is the additional sampling level of successes: one of 2^successLevel (256) is
	// written while all failures are. It is below maxLevel.
	successLevel = 8
	// maxLevel bounds the sampling: at least one failure of 2^maxLevel is written. maxLevel +
	// successLevel must stay below the 64 bits of a hash.
	maxLevel = 20
	// window is the interval at which the number of lines is compared with its limit. It is short, so
	// that the sampling follows a burst of failures within seconds.
	window = time.Second
	// relaxDivisor determines when the sampling gets denser again: if the volume is below the limit
	// divided by relaxDivisor. It is above 2, because a denser level doubles the volume.
	relaxDivisor = 3
)

// Log writes log lines about decisions. A nil Log writes nothing. It is safe for concurrent use.
type Log struct {
	logger logr.Logger
	now    func() time.Time
	// perSecond is the number of lines per second above which the sampling gets sparser; 0 disables
	// the log.
	perSecond int

	// mutex protects everything below.
	mutex sync.Mutex
	// level is the number of low bits of the hash of a request that must be zero for its failures
	// to be written.
	level       uint
	windowStart time.Time
	// written counts the lines that were written in the current window, and dropped the lines about
	// failures that were not.
	written, dropped int
}

// New returns a log that writes to logger, about perSecond lines per second under load, or nothing
// if that is 0. now is the clock of the sampling.
func New(logger logr.Logger, perSecond int, now func() time.Time) *Log {
	return &Log{logger: logger, perSecond: perSecond, now: now, windowStart: now()}
}

// Failure writes a line about a request that was refused, retried or failed. pairs are alternating
// keys and values, as in logr.
func (l *Log) Failure(event, request string, pairs ...any) {
	if l.admits(request, 0) {
		l.write(event, request, pairs)
	}
}

// Success writes a line about a successful request if it is in the sample; only then is pairs
// called.
func (l *Log) Success(event, request string, pairs func() []any) {
	if l.admits(request, successLevel) {
		l.write(event, request, pairs())
	}
}

func (l *Log) write(event, request string, pairs []any) {
	l.logger.Info(event, append([]any{"request", request}, pairs...)...)
}

// SamplingLevel returns the sparsest sampling level at which the lines of a request are written. A
// level of n selects one of 2^n requests.
func SamplingLevel(request string) uint {
	return uint(bits.TrailingZeros64(xxhash.Sum64String(request)))
}

// admits reports whether a line about a request is written. levels is added to the level of
// failures: 0 for a failure, successLevel for a success.
func (l *Log) admits(request string, levels uint) bool {
	if l == nil || l.perSecond == 0 {
		return false
	}
	rank := SamplingLevel(request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.adjustLevel()
	if rank < l.level+levels {
		if levels == 0 {
			l.dropped++
		}
		return false
	}
	l.written++
	return true
}

// adjustLevel makes the sampling sparser by one level after a window with too many lines, and
// denser after one with few. The caller must hold mutex.
func (l *Log) adjustLevel() {
	now := l.now()
	elapsed := now.Sub(l.windowStart)
	if elapsed < window {
		return
	}
	if l.dropped > 0 {
		l.logger.Info("decisions.sampled", "one_of", 1<<l.level, "not_written", l.dropped, "written", l.written)
	}
	limit := int(float64(l.perSecond) * elapsed.Seconds())
	switch {
	case l.written > limit && l.level < maxLevel:
		l.level++
	case l.written < limit/relaxDivisor && l.level > 0:
		l.level--
	}
	l.windowStart = now
	l.written, l.dropped = 0, 0
}
