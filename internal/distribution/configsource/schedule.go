package configsource

import (
	"math"
	"time"
)

// The rule of when a daemon polls the source.
//
// Inputs: the time of the newest confirmation that is known here (of this daemon's own polls
// or from others' heartbeats), whether the newest one is this daemon's own, the time of its
// start, the number of daemons known, whether a call waits for the first configuration, and
// the time of the last poll without an answer. All times are in parts of the bound within
// which an accepted configuration must be in force everywhere.
//
// Order: the active poller, whose own confirmation is the newest, polls LeadPart after it; any
// other daemon polls at a random time between EarliestPart and latestPart after the newest
// confirmation that it knows; one that knows none polls at a random time up to startPart after
// its start, or awaitedPart once a call waits. The last two never poll before the wait after
// their last failed poll is over; after a failure a daemon is not the active poller.
//
// Reason: answers are nearly always the same for all daemons, and each costs the source.
// No daemon needs another one: one that learns of no confirmation polls itself.
//
// TestParts and TestTimesBesideTheBound check the relations of the parts. They leave two fifths
// of the bound for the answer and for a slow daemon.
const (
	// LeadPart is the time after which the active poller polls again. It must be smaller
	// than EarliestPart.
	LeadPart = 0.2
	// EarliestPart and latestPart bound the time after a confirmation in which any other daemon
	// polls, unless a newer confirmation comes. The earliest leaves the active poller time for a
	// late answer; the latest must leave time for an answer within the bound.
	EarliestPart, latestPart = 0.4, 0.6
	// startPart bounds the time after its start in which a daemon polls unless
	// another brings the configuration first.
	startPart = 0.15
	// awaitedPart is that bound once a call waits for the configuration. With it for all
	// daemons, 24 to 27 more requests were made when a whole site started.
	awaitedPart = 0.06
	// retryMinPart and retryMaxPart bound the time between a poll without an answer and
	// the next one. The least must not be smaller than AnswerPart.
	retryMinPart, retryMaxPart = 0.5, 1.0
	// startRetryPart is how much of that a daemon without a configuration waits.
	startRetryPart = 0.5
	// AnswerPart bounds the time that an answer may take while the source answers. After a
	// poll without an answer it is the whole bound: a source that is always slow is followed
	// late rather than not at all.
	AnswerPart = 0.25
	// ordersPart is the part of the bound for orders after which the active poller reads
	// the orders whatever the source's position says. It leaves two thirds for a source
	// whose positions turn out not to move with orders.
	ordersPart = 0.3
)

// assumedDaemons is the least number of daemons that is assumed, because a daemon that has just
// started knows few of them.
const assumedDaemons = 64

// awaitedCheck is how often a starting daemon checks whether a call waits for it. It must be small
// beside awaitedPart of the bound (120 ms of 2 s).
const awaitedCheck = 20 * time.Millisecond

// part returns a part of a bound.
func part(of time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(of))
}

// answerTimeout bounds the wait for an answer; failing is true after a poll without one.
func answerTimeout(bound time.Duration, failing bool) time.Duration {
	if failing {
		return bound
	}
	return part(bound, AnswerPart)
}

// ordersRead is when a daemon last read the orders itself, and at which position; zero before
// the first time.
type ordersRead struct {
	at       time.Time
	position Position
}

// overdue reports whether the orders are to be read whatever the source's position is: before
// the first time, and once ordersPart of their bound is over.
func (o ordersRead) overdue(now time.Time, bound time.Duration) bool {
	return o.at.IsZero() || now.Sub(o.at) >= part(bound, ordersPart)
}

// schedule is the state of the rule for one daemon. It reads no clock.
type schedule struct {
	bound  time.Duration
	random func() float64

	// activePoller is true while the newest confirmation, of a poll that began at
	// polledAt, is this daemon's own.
	activePoller bool
	polledAt     time.Time
	// confirmed is the confirmation from which delay counts; while it is zero, delay counts
	// from started.
	confirmed time.Time
	started   time.Time
	delay     time.Duration
	// hurried is true once delay was shortened because a call waits.
	hurried bool
	// notBefore is when a failed poll may be repeated.
	notBefore time.Time
}

func newSchedule(bound time.Duration, random func() float64, now time.Time) *schedule {
	plan := &schedule{bound: bound, random: random, started: now}
	plan.delay = plan.draw(0, startPart, assumedDaemons)
	return plan
}

// draw returns a random time between two parts of the bound. The density grows exponentially
// with the time, so that about one of any number of daemons draws an early time
// (Nonnenmacher and Biersack, "Optimal multicast feedback", 1998).
func (s *schedule) draw(earliest, latest float64, daemons int) time.Duration {
	steepness := math.Log(float64(max(daemons, 2))) + 1
	position := math.Log(1+s.random()*(math.Exp(steepness)-1)) / steepness
	return part(s.bound, earliest+(latest-earliest)*position)
}

// due returns when the daemon is to poll, given the newest confirmation known and
// the number of daemons.
func (s *schedule) due(confirmed time.Time, daemons int) time.Time {
	if s.activePoller && !confirmed.After(s.polledAt) {
		return s.polledAt.Add(part(s.bound, LeadPart))
	}
	s.activePoller = false
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
		s.delay = s.draw(EarliestPart, latestPart, max(daemons, assumedDaemons))
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

// hurry shortens the wait for the first poll, because a call waits for the configuration.
func (s *schedule) hurry() {
	if s.hurried || !s.confirmed.IsZero() {
		return
	}
	s.hurried = true
	s.delay = time.Duration(awaitedPart / startPart * float64(s.delay))
}

// answered records that a poll that began at a time was answered.
func (s *schedule) answered(began time.Time) {
	s.activePoller = true
	s.polledAt = began
	s.confirmed = began
	s.notBefore = time.Time{}
}

// failed records that a poll got no answer. least is the shortest time to the
// next one; a daemon without a configuration waits less than others.
func (s *schedule) failed(now time.Time, least time.Duration, without bool) {
	s.activePoller = false
	wait := part(s.bound, retryMinPart+(retryMaxPart-retryMinPart)*s.random())
	if without {
		wait = part(wait, startRetryPart)
	}
	s.notBefore = now.Add(max(wait, least))
}

const (
	// plannedReadsPart is the part of the source's read limit that all daemons together use while
	// it fails. The other half is for daemons that start.
	plannedReadsPart = 0.5
	// intervalsPerBound is how many times the least interval fits into the bound for a
	// configuration. A daemon whose polls fail must get several of them into the bound.
	intervalsPerBound = 5
)

// MinInterval returns the least time between a failed poll and the next one, for so many
// daemons at a source that allows all of them readsPerSecond together (0: no limit), where a
// configuration must be in force within bound.
func MinInterval(daemons int, readsPerSecond float64, bound time.Duration) time.Duration {
	interval := bound / intervalsPerBound
	if readsPerSecond > 0 {
		interval = max(interval, time.Duration(float64(daemons)/(readsPerSecond*plannedReadsPart)*float64(time.Second)))
	}
	return interval
}
