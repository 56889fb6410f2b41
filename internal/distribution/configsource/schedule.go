package configsource

import (
	"math"
	"time"
)

// This file decides when a daemon polls the source.
//
// Inputs: the time of the latest confirmation known to this daemon (from its own polls or from
// heartbeats of others), whether that confirmation is its own, the time of its start, the number of
// known daemons, whether a call waits for the first configuration, and the time of the last
// unanswered poll. All times are fractions of the bound within which an accepted configuration must
// be in force everywhere.
//
// Rules: the active poller, which is the daemon whose own confirmation is the latest, polls
// ActivePollFraction after it. Any other daemon polls at a random time between
// StandbyPollMinFraction and standbyPollMaxFraction after the latest confirmation known to it. A
// daemon without any confirmation polls at a random time up to startupPollMaxFraction after its
// start, or awaitedPollMaxFraction once a call waits. Daemons other than the active poller never
// poll before the retry delay of their last failed poll has passed. After a failure a daemon is not
// the active poller.
//
// Reason: the answers are nearly always the same for all daemons, and each one loads the source. No
// daemon depends on another one, because a daemon that receives no confirmation polls itself.
//
// TestParts and TestTimesBesideTheBound check the relations between the fractions. They leave two
// fifths of the bound for the answer and for a slow daemon.
const (
	// ActivePollFraction is the time after which the active poller polls again. It must be smaller
	// than StandbyPollMinFraction.
	ActivePollFraction = 0.2
	// StandbyPollMinFraction and standbyPollMaxFraction limit the time after a confirmation at
	// which any other daemon polls, unless it receives a newer confirmation. The minimum leaves the
	// active poller time for a late answer; the maximum must leave time for an answer within the
	// bound.
	StandbyPollMinFraction, standbyPollMaxFraction = 0.4, 0.6
	// startupPollMaxFraction is the latest time after its start at which a daemon polls, unless it
	// receives the configuration from another daemon first.
	startupPollMaxFraction = 0.15
	// awaitedPollMaxFraction replaces startupPollMaxFraction once a call waits for the
	// configuration. When all daemons used it, the start of a whole site caused 24 to 27 more
	// requests to the source.
	awaitedPollMaxFraction = 0.06
	// retryMinFraction and retryMaxFraction limit the time between the beginning of an unanswered poll
	// and that of the next one. The minimum must not be smaller than AnswerTimeoutFraction. The maximum
	// leaves time for the answer within the contact time, which is 1.2 times the bound or longer: a
	// daemon that no other daemon can tell must itself have the newest version by then.
	retryMinFraction, retryMaxFraction = 0.5, 0.9
	// startupRetryFactor scales the retry delay of a daemon without a configuration.
	startupRetryFactor = 0.5
	// AnswerTimeoutFraction is the timeout of a request while the source answers. After an
	// unanswered poll the timeout is the whole bound, so that a source that is always slow is
	// followed with a delay instead of not at all.
	AnswerTimeoutFraction = 0.25
	// ordersPollFraction is the fraction of the bound for orders after which the active poller
	// reads the orders regardless of the source's position. It leaves two thirds of the bound for a
	// source whose positions turn out not to change with orders.
	ordersPollFraction = 0.3
)

// minAssumedDaemons is the minimum number of daemons that the schedule assumes, because a daemon
// that has just started knows few of them.
const minAssumedDaemons = 64

// awaitedCheckInterval is the interval at which a starting daemon checks whether a call waits for
// the configuration. It must be small compared with awaitedPollMaxFraction of the bound (120 ms of
// 2 s).
const awaitedCheckInterval = 20 * time.Millisecond

// fractionOf returns a fraction of a duration.
func fractionOf(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}

// answerTimeout returns the timeout of a request; failing is true after an unanswered poll.
func answerTimeout(bound time.Duration, failing bool) time.Duration {
	if failing {
		return bound
	}
	return fractionOf(bound, AnswerTimeoutFraction)
}

// lastOrdersRead is the time at which a daemon last read the orders itself, and their position;
// zero before the first read.
type lastOrdersRead struct {
	at       time.Time
	position Position
}

// overdue reports whether the orders must be read regardless of the source's position: before the
// first read, and once ordersPollFraction of their bound has passed.
func (o lastOrdersRead) overdue(now time.Time, bound time.Duration) bool {
	return o.at.IsZero() || now.Sub(o.at) >= fractionOf(bound, ordersPollFraction)
}

// schedule holds the polling state of one daemon. It does not read a clock.
type schedule struct {
	bound  time.Duration
	random func() float64

	// activePoller is true while the latest confirmation is of this daemon's own poll, which began
	// at polledAt.
	activePoller bool
	polledAt     time.Time
	// confirmed is the confirmation to which delay is added; while it is zero, delay is added to
	// started.
	confirmed time.Time
	started   time.Time
	delay     time.Duration
	// delayShortened is true after delay was shortened because a call waits.
	delayShortened bool
	// notBefore is the earliest time of the next poll after a failed one.
	notBefore time.Time
}

func newSchedule(bound time.Duration, random func() float64, now time.Time) *schedule {
	plan := &schedule{bound: bound, random: random, started: now}
	plan.delay = plan.randomDelay(0, startupPollMaxFraction, minAssumedDaemons)
	return plan
}

// randomDelay returns a random time between the fractions earliest and latest of schedule.bound, the
// time within which a configuration must be in force. The density grows exponentially with the time,
// so that about one daemon draws an early time, however many daemons there are (Nonnenmacher and
// Biersack, "Optimal multicast feedback", 1998).
func (s *schedule) randomDelay(earliest, latest float64, daemons int) time.Duration {
	steepness := math.Log(float64(max(daemons, 2))) + 1
	position := math.Log(1+s.random()*(math.Exp(steepness)-1)) / steepness
	return fractionOf(s.bound, earliest+(latest-earliest)*position)
}

// due returns the time of the next poll, given the latest known confirmation and the number of
// daemons.
func (s *schedule) due(confirmed time.Time, daemons int) time.Time {
	if s.activePoller && !confirmed.After(s.polledAt) {
		return s.polledAt.Add(fractionOf(s.bound, ActivePollFraction))
	}
	s.activePoller = false
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
		s.delay = s.randomDelay(StandbyPollMinFraction, standbyPollMaxFraction, max(daemons, minAssumedDaemons))
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

// shortenStartupDelay shortens the delay of the first poll, because a call waits for the
// configuration.
func (s *schedule) shortenStartupDelay() {
	if s.delayShortened || !s.confirmed.IsZero() {
		return
	}
	s.delayShortened = true
	s.delay = time.Duration(awaitedPollMaxFraction / startupPollMaxFraction * float64(s.delay))
}

// answered records that a poll which began at began was answered.
func (s *schedule) answered(began time.Time) {
	s.activePoller = true
	s.polledAt = began
	s.confirmed = began
	s.notBefore = time.Time{}
}

// failed records that a poll which began at began was not answered. The next one may begin minDelay after
// that at the earliest. unconfigured is true for a daemon without a configuration, which uses a shorter
// delay. Delays are counted from the beginning of the poll: a wait after its end would add to the answer
// timeout, and both together exceed the contact time.
func (s *schedule) failed(began time.Time, minDelay time.Duration, unconfigured bool) {
	s.activePoller = false
	wait := fractionOf(s.bound, retryMinFraction+(retryMaxFraction-retryMinFraction)*s.random())
	if unconfigured {
		wait = fractionOf(wait, startupRetryFactor)
	}
	s.notBefore = began.Add(max(wait, minDelay))
}

const (
	// failureReadFraction is the fraction of the source's read limit that all daemons together use
	// while the source fails. The other half is reserved for starting daemons.
	failureReadFraction = 0.5
	// intervalsPerBound is the number of minimum intervals within the bound for a configuration. It
	// must be large enough for several polls of a daemon whose polls fail.
	intervalsPerBound = 5
)

// MinInterval returns the minimum time between a failed poll and the next one, for the given number
// of daemons, a source that permits readsPerSecond in total (0: no limit), and a configuration that
// must be in force within bound.
func MinInterval(daemons int, readsPerSecond float64, bound time.Duration) time.Duration {
	interval := bound / intervalsPerBound
	if readsPerSecond > 0 {
		interval = max(interval, time.Duration(float64(daemons)/(readsPerSecond*failureReadFraction)*float64(time.Second)))
	}
	return interval
}
