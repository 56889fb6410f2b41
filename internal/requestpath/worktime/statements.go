package worktime

import (
	"math"
	"time"
)

const (
	// UsualPercent is the report of an instance whose service times are as usual in its service.
	UsualPercent = 100
	// minPercent and maxPercent are the bounds to which a report is clamped.
	minPercent = 10
	maxPercent = 10_000
	// maxBaselineStep is the maximum factor by which one report changes the baseline. Transient
	// slowdowns hardly change it, and a value that is always reported becomes the baseline.
	maxBaselineStep = 1.05
	// stalenessDecay is the time constant with which an instance without new reports returns to the
	// usual slowdown, so that it is tried again.
	stalenessDecay = 30 * time.Second
	// predictionSmoothing is the weight of the newest report in the prediction errors.
	predictionSmoothing = 0.1
	// trustSmoothing is the minimum weight, 0 to 1, of the newest answer in the errors that decide on
	// trust; it applies once the number of answers, including priorAnswers, is 1/trustSmoothing.
	// Service times vary for other reasons too, so it takes many answers.
	trustSmoothing = 0.02
	// maxErrorRatio is the maximum ratio of the error with the reports to the error without them
	// for an instance to be trusted. It is above 1, because either error may be larger by chance.
	maxErrorRatio = 1.2
	// priorError is the initial value of both errors, with the weight of priorAnswers answers.
	// Service times of one route vary by about that much, and a few answers must not decide by
	// chance.
	priorError   = 0.5
	priorAnswers = 10
	// minAnswers is the number of answers after which reports are used. Otherwise the first few
	// answers of an instance with arbitrary reports could make it look so slow that it receives no
	// further call to be judged by.
	minAnswers = 16
)

// decayCandidates are the possible time constants with which the newest report decays. The one that
// predicts the next report best is used. The best value depends on how fast the other load of the
// machines changes, which no instance reports.
var decayCandidates = [...]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}

// Tracker holds the slowdown that an instance reports and the errors that show whether the reports
// are accurate. The zero value is an instance that reports nothing. It is not safe for concurrent
// use.
type Tracker struct {
	// baseline is the slowdown that is usually reported, and latest the newest report, both in
	// percent. at is the time of the newest report, zero before the first.
	baseline, latest float64
	at               time.Time
	// predictionErrors are the smoothed squared errors, relative to baseline, with which each of
	// decayCandidates predicted the next report.
	predictionErrors [len(decayCandidates)]float64
	// errorWith and errorWithout are the smoothed squared errors of the logarithm of the service
	// times that were predicted with and without the reports.
	errorWith, errorWithout float64
	// answers is the number of answers in these errors, including priorAnswers, at most
	// 1/trustSmoothing. From then on the weight of old answers decays.
	answers float64
}

// Add records a report made at the given time. It ignores 0 percent, which means no report, and a
// report that is not newer than the latest one.
func (s *Tracker) Add(percent uint32, at time.Time) {
	if percent == 0 || !at.After(s.at) {
		return
	}
	reported := min(max(float64(percent), minPercent), maxPercent)
	if s.at.IsZero() {
		s.baseline = reported
		s.errorWith, s.errorWithout, s.answers = priorError, priorError, priorAnswers
	} else {
		s.recordPredictionErrors(reported, at)
	}
	s.baseline = min(max(reported, s.baseline/maxBaselineStep), s.baseline*maxBaselineStep)
	s.latest, s.at = reported, at
}

// recordPredictionErrors records how well each of decayCandidates predicted a report.
func (s *Tracker) recordPredictionErrors(reported float64, at time.Time) {
	for index, timeConstant := range decayCandidates {
		relativeError := (reported - s.predicted(timeConstant, at)) / s.baseline
		s.predictionErrors[index] += predictionSmoothing * (relativeError*relativeError - s.predictionErrors[index])
	}
}

// predicted returns the predicted report at now, in percent, if reports decay with timeConstant.
func (s *Tracker) predicted(timeConstant time.Duration, now time.Time) float64 {
	return s.baseline + s.remainingWeight(timeConstant, now)*(s.latest-s.baseline)
}

// remainingWeight returns the weight, 0 to 1, of the newest report at its age.
func (s *Tracker) remainingWeight(timeConstant time.Duration, now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(s.at), 0)) / float64(timeConstant))
}

// timeConstant returns the one of decayCandidates with the smallest prediction error.
func (s *Tracker) timeConstant() time.Duration {
	best := 0
	for index, squaredError := range s.predictionErrors {
		if squaredError < s.predictionErrors[best] {
			best = index
		}
	}
	return decayCandidates[best]
}

// Trusted reports whether there were at least minAnswers answers and the reports predicted their
// service times about as well as, or better than, no reports would.
func (s *Tracker) Trusted() bool {
	return s.answers >= priorAnswers+minAnswers && s.errorWith <= maxErrorRatio*s.errorWithout
}

// LatestTime returns the time of the newest report; ok is false before the first.
func (s *Tracker) LatestTime() (at time.Time, ok bool) { return s.at, !s.at.IsZero() }

// ReportedRatio returns the slowdown that was reported at the given time, as a factor of the usual
// service time. If that is not the newest report, the ratio is 1 and reported is false.
func (s *Tracker) ReportedRatio(at time.Time) (ratio float64, reported bool) {
	if s.at.IsZero() || !s.at.Equal(at) {
		return 1, false
	}
	return s.latest / UsualPercent, true
}

// CurrentRatio returns the predicted current slowdown as a factor of the usual service time; 1 if
// the reports are not trusted.
func (s *Tracker) CurrentRatio(now time.Time) float64 {
	if !s.Trusted() {
		return 1
	}
	return 1 + s.remainingWeight(stalenessDecay, now)*(s.predicted(s.timeConstant(), now)/UsualPercent-1)
}

// BaselineRatio returns the baseline slowdown as a factor of the usual service time; 1 if the
// reports are not trusted.
func (s *Tracker) BaselineRatio() float64 {
	if !s.Trusted() {
		return 1
	}
	return s.baseline / UsualPercent
}

// TransientRatio returns the predicted current service time as a factor of the baseline; 1 if the
// reports are not trusted. Unlike CurrentRatio it is 1 for an instance that always reports the
// same.
func (s *Tracker) TransientRatio(now time.Time) float64 {
	if !s.Trusted() {
		return 1
	}
	return s.predicted(s.timeConstant(), now) / s.baseline
}

// RecordServiceTime compares an observed service time with the predictions with and without the
// reports, all in seconds.
func (s *Tracker) RecordServiceTime(observed, withReports, withoutReports float64) {
	if s.at.IsZero() || observed <= 0 || withReports <= 0 || withoutReports <= 0 {
		return
	}
	s.answers = min(s.answers+1, 1/trustSmoothing)
	s.errorWith += (square(math.Log(observed/withReports)) - s.errorWith) / s.answers
	s.errorWithout += (square(math.Log(observed/withoutReports)) - s.errorWithout) / s.answers
}

func square(value float64) float64 { return value * value }
