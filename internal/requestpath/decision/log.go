package decision

import (
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// successLevel is the level of successes above that of failures: one of 2^successLevel (256) is
	// written where all failures are. It is below maxLevel.
	successLevel = 8
	// maxLevel bounds the sampling: at least one failure of 2^maxLevel is written. maxLevel +
	// successLevel must stay below the 64 bits of a hash.
	maxLevel = 20
	// window is the time after which the volume is compared with its bound. Short, to follow a
	// flood of failures within seconds.
	window = time.Second
	// sparePart is the part of the bound below which the sampling gets denser again: 1 of 3. Less
	// than half, since a level more doubles the lines.
	sparePart = 3
)

// Log writes lines of decisions; a nil one writes nothing. It is safe for
// concurrent use.
type Log struct {
	logger logr.Logger
	now    func() time.Time
	// perSecond is the volume from which requests are sampled more sparsely; 0
	// for no lines.
	perSecond int

	// mutex protects everything below.
	mutex sync.Mutex
	// level is the number of low bits of a request's hash that must be zero for its failures
	// to be written.
	level       uint
	windowStart time.Time
	// written and leftOut count the lines of the window that were written, and those that were
	// not although they tell of a failure.
	written, leftOut int
}

// New returns a log in front of logger that writes about perSecond lines a second under load,
// none at all if that is 0. now is the clock of the sampling.
func New(logger logr.Logger, perSecond int, now func() time.Time) *Log {
	return &Log{logger: logger, perSecond: perSecond, now: now, windowStart: now()}
}

// Failure writes a line about a request that was refused, repeated or failed. pairs are keys
// and values, alternating, as for logr.
func (l *Log) Failure(event, request string, pairs ...any) {
	if l.admits(request, 0) {
		l.write(event, request, pairs)
	}
}

// Success writes a line about a request that went well, for a sample of them;
// pairs is called only for those.
func (l *Log) Success(event, request string, pairs func() []any) {
	if l.admits(request, successLevel) {
		l.write(event, request, pairs())
	}
}

func (l *Log) write(event, request string, pairs []any) {
	l.logger.Info(event, append([]any{"request", request}, pairs...)...)
}

// Rank returns the sparsest sampling that a request's lines are in: one of rank n is among
// those of one request of 2^n.
func Rank(request string) uint {
	return uint(bits.TrailingZeros64(xxhash.Sum64String(request)))
}

// admits reports whether a line of a request is written. levels is added to the level of failures:
// 0 for a failure, successLevel for a success.
func (l *Log) admits(request string, levels uint) bool {
	if l == nil || l.perSecond == 0 {
		return false
	}
	rank := Rank(request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.review()
	if rank < l.level+levels {
		if levels == 0 {
			l.leftOut++
		}
		return false
	}
	l.written++
	return true
}

// review makes the sampling sparser by one level after a window with too many lines, and
// denser after one with few; the caller holds mutex.
func (l *Log) review() {
	now := l.now()
	elapsed := now.Sub(l.windowStart)
	if elapsed < window {
		return
	}
	if l.leftOut > 0 {
		l.logger.Info("decisions.sampled", "one_of", 1<<l.level, "not_written", l.leftOut, "written", l.written)
	}
	limit := int(float64(l.perSecond) * elapsed.Seconds())
	switch {
	case l.written > limit && l.level < maxLevel:
		l.level++
	case l.written < limit/sparePart && l.level > 0:
		l.level--
	}
	l.windowStart = now
	l.written, l.leftOut = 0, 0
}
