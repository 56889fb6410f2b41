package configsource

import (
	"math"
	"time"
)

// Parts of the bound within which a configuration must be in force. They leave
// two fifths of it for the question, its answer and what a slow daemon adds.
const (
	// leadPart is the time after which the daemon that asked last asks again.
	leadPart = 0.2
	// earliestPart and latestPart bound the time after a confirmation in which
	// any other daemon asks, unless a newer confirmation comes. The earliest
	// leaves the leading daemon time for a late answer.
	earliestPart, latestPart = 0.4, 0.6
	// startPart bounds the time after its start in which a daemon asks unless
	// another brings the configuration first.
	startPart = 0.15
	// awaitedPart is that bound once a call waits for the configuration. The daemons of
	// a site that starts for the first time leave each other more time: none waits.
	awaitedPart = 0.06
	// retryMinPart and retryMaxPart bound the time between a question that got
	// no answer and the next one.
	retryMinPart, retryMaxPart = 0.5, 1.0
	// startRetryPart is how much of that a daemon without a configuration waits.
	startRetryPart = 0.5
	// answerPart bounds the time that an answer may take while the source answers.
	answerPart = 0.25
)

// assumedDaemons is the number of daemons assumed at the least, because a daemon
// that has just started knows few of them.
const assumedDaemons = 64

// schedule decides when a daemon asks the source. All daemons together ask about as
// often as one: the daemon that asked last goes on, and each of the others waits a
// random time after every confirmation that reaches it. Only when none comes in that
// time does it ask for itself, so that no daemon depends on another one to be alive,
// reachable or right about who asks.
type schedule struct {
	bound  time.Duration
	random func() float64

	// leading is true while the newest confirmation, at led, is this daemon's own.
	leading bool
	led     time.Time
	// confirmed is the confirmation that delay was drawn for, zero before the first;
	// until then delay counts from started.
	confirmed time.Time
	started   time.Time
	delay     time.Duration
	// awaited is true once delay was shortened because a call waits.
	awaited bool
	// notBefore is when a question may be repeated that got no answer.
	notBefore time.Time
}

func newSchedule(bound time.Duration, random func() float64, now time.Time) *schedule {
	plan := &schedule{bound: bound, random: random, started: now}
	plan.delay = plan.draw(0, startPart, assumedDaemons)
	return plan
}

// part returns a part of the bound.
func (s *schedule) part(part float64) time.Duration {
	return time.Duration(part * float64(s.bound))
}

// draw returns a random time between two parts of the bound. The density grows
// exponentially with the time, so that of any number of daemons about one draws an
// early time and few others one that is as early (Nonnenmacher and Biersack,
// "Optimal multicast feedback", 1998).
func (s *schedule) draw(earliest, latest float64, daemons int) time.Duration {
	steepness := math.Log(float64(max(daemons, 2))) + 1
	position := math.Log(1+s.random()*(math.Exp(steepness)-1)) / steepness
	return s.part(earliest + (latest-earliest)*position)
}

// due returns when the daemon is to ask, given the newest confirmation known and
// the number of daemons.
func (s *schedule) due(confirmed time.Time, daemons int) time.Time {
	if s.leading && !confirmed.After(s.led) {
		return s.led.Add(s.part(leadPart))
	}
	s.leading = false
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
		s.delay = s.draw(earliestPart, latestPart, max(daemons, assumedDaemons))
	}
	base := s.confirmed
	if base.IsZero() {
		base = s.started
	}
	due := base.Add(s.delay)
	if due.Before(s.notBefore) {
		return s.notBefore
	}
	return due
}

// hurry shortens the time until the first question, because a call waits for the
// configuration.
func (s *schedule) hurry() {
	if s.awaited || !s.confirmed.IsZero() {
		return
	}
	s.awaited = true
	s.delay = time.Duration(awaitedPart / startPart * float64(s.delay))
}

// answered notes that a question asked at a time was answered.
func (s *schedule) answered(asked time.Time) {
	s.leading = true
	s.led = asked
	s.confirmed = asked
	s.notBefore = time.Time{}
}

// failed notes that a question got no answer. least is the shortest time to the
// next one; a daemon without a configuration waits less than others.
func (s *schedule) failed(now time.Time, least time.Duration, without bool) {
	s.leading = false
	wait := s.part(retryMinPart + (retryMaxPart-retryMinPart)*s.random())
	if without {
		wait = time.Duration(startRetryPart * float64(wait))
	}
	s.notBefore = now.Add(max(wait, least))
}
