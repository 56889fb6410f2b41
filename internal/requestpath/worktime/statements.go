package worktime

import (
	"math"
	"time"
)

const (
	// AsUsual is what an instance states, in percent, while work takes as long there as it usually
	// does in its service.
	AsUsual = 100
	// leastPercent and mostPercent bound what is believed of a statement.
	leastPercent = 10
	mostPercent  = 10_000
	// lastingStep is the factor by which a statement moves at most what counts as lasting: what
	// passes hardly moves it, and what is always stated becomes it.
	lastingStep = 1.05
	// lastingMemory is the time constant in which an instance that is not heard of counts as any
	// other again, so that it is tried.
	lastingMemory = 30 * time.Second
	// changeSmoothing is the weight of the newest statement in what is known of how fast they
	// change.
	changeSmoothing = 0.1
	// trustSmoothing is the weight of the newest answer in what is known of how well statements
	// explain service times. These vary more by themselves, so that it takes many of them.
	trustSmoothing = 0.02
	// mistrustAbove is how many times as large the error with the statements must be as that
	// without them for an instance not to be believed; above 1, since chance makes either larger.
	mistrustAbove = 1.2
	// errorAssumed is both errors before the first answers, as if it had been found with
	// answersAssumed of them: service times of one route vary by about as much, and a few answers by
	// chance must not decide.
	errorAssumed   = 0.5
	answersAssumed = 10
	// answersNeeded is the number of answers from which statements count: by the first few an instance
	// that states anything could look so slow that it gets no further call to be judged by.
	answersNeeded = 16
)

// statementMemories are the times in which a statement may lose what it says, of which the one
// that foretells the next statement best is used. The rate of change is that of the machines'
// other work, which nobody states.
var statementMemories = [...]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}

// Statements is what an instance states of how long work takes there, with what shows whether
// that is so. The zero value is of an instance that states nothing. It is not safe for concurrent use.
type Statements struct {
	// lasting is what is mostly stated, and latest the newest statement, in percent, at its time;
	// that is zero before the first.
	lasting, latest float64
	at              time.Time
	// missed are the smoothed squared errors, in parts of lasting, with which each of
	// statementMemories foretold the next statement.
	missed [len(statementMemories)]float64
	// believing and doubting are the smoothed squared errors of the logarithm of service times
	// that were expected with the statements and without.
	believing, doubting float64
	// judged is the number of answers in these errors, up to where older ones are forgotten.
	judged float64
}

// Add counts a statement made at the given time; 0 percent stands for none, and one older than the
// newest is passed over.
func (s *Statements) Add(percent uint32, at time.Time) {
	if percent == 0 || !at.After(s.at) {
		return
	}
	stated := min(max(float64(percent), leastPercent), mostPercent)
	if s.at.IsZero() {
		s.lasting = stated
		s.believing, s.doubting, s.judged = errorAssumed, errorAssumed, answersAssumed
	} else {
		s.noteChange(stated, at)
	}
	s.lasting = min(max(stated, s.lasting/lastingStep), s.lasting*lastingStep)
	s.latest, s.at = stated, at
}

// noteChange counts how well each memory would have foretold a statement.
func (s *Statements) noteChange(stated float64, at time.Time) {
	for index, memory := range statementMemories {
		error := (stated - s.expected(memory, at)) / s.lasting
		s.missed[index] += changeSmoothing * (error*error - s.missed[index])
	}
}

// expected returns what would be stated now, in percent, if statements faded in memory.
func (s *Statements) expected(memory time.Duration, now time.Time) float64 {
	return s.lasting + s.kept(memory, now)*(s.latest-s.lasting)
}

// kept returns the part of the newest statement, 0 to 1, that is left of it at its age.
func (s *Statements) kept(memory time.Duration, now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(s.at), 0)) / float64(memory))
}

// memory returns the time in which statements fade.
func (s *Statements) memory() time.Duration {
	best := 0
	for index, missed := range s.missed {
		if missed < s.missed[best] {
			best = index
		}
	}
	return statementMemories[best]
}

// Believed reports whether there are statements that explained the service times of answersNeeded
// answers no worse than none.
func (s *Statements) Believed() bool {
	return s.judged >= answersAssumed+answersNeeded && s.believing <= mistrustAbove*s.doubting
}

// Newest returns the time of the newest statement; ok is false before the first.
func (s *Statements) Newest() (at time.Time, ok bool) { return s.at, !s.at.IsZero() }

// RatioAt returns how many times as long as usual work took by the statement made at the given time;
// stated is false, and the ratio 1, where that is not the newest one.
func (s *Statements) RatioAt(at time.Time) (ratio float64, stated bool) {
	if s.at.IsZero() || !s.at.Equal(at) {
		return 1, false
	}
	return s.latest / AsUsual, true
}

// RatioNow returns how many times as long as usual work takes now, as far as the statements still
// tell; 1 where they are not believed.
func (s *Statements) RatioNow(now time.Time) float64 {
	if !s.Believed() {
		return 1
	}
	return 1 + s.kept(lastingMemory, now)*(s.expected(s.memory(), now)/AsUsual-1)
}

// LastingRatio returns how many times as long as usual work mostly takes, as the instance states it; 1
// where that is not believed.
func (s *Statements) LastingRatio() float64 {
	if !s.Believed() {
		return 1
	}
	return s.lasting / AsUsual
}

// Deviation returns how many times as long work takes now as the instance mostly states, as far as the
// statements still tell; 1 where they are not believed. Unlike RatioNow it says nothing of an instance
// that always states the same.
func (s *Statements) Deviation(now time.Time) float64 {
	if !s.Believed() {
		return 1
	}
	return s.expected(s.memory(), now) / s.lasting
}

// Judge compares a service time with those that were expected, all in seconds: with the
// statements and without.
func (s *Statements) Judge(took, with, without float64) {
	if s.at.IsZero() || took <= 0 || with <= 0 || without <= 0 {
		return
	}
	s.judged = min(s.judged+1, 1/trustSmoothing)
	s.believing += (square(math.Log(took/with)) - s.believing) / s.judged
	s.doubting += (square(math.Log(took/without)) - s.doubting) / s.judged
}

func square(value float64) float64 { return value * value }
