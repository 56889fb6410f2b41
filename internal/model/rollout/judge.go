package rollout

import (
	"math"
)

// Error rates and parameters of the test. The test is a cumulative sum (CUSUM) of log likelihood
// ratios with a lower bound of zero.
const (
	// FalsePositiveRate limits the probability that a version as good as the old one is rejected
	// during one roll-out. FalseNegativeRate limits the probability that a version that is worse by
	// the effects below is accepted.
	FalsePositiveRate = 0.002
	FalseNegativeRate = 0.01
	// minTestAnswers is the number of answers up to which the rejection threshold is constant.
	// Beyond it, the threshold grows with the logarithm of the number of answers, as does the
	// probability that a good version reaches a given sum.
	minTestAnswers = 200
	// slowClassOffset is the number of classes above the old version's median from which an answer
	// is slow: 2 to 2.8 times the median. verySlowClassOffset is the same for very slow answers, 4
	// to 5.6 times the median. These are so rare in a good version that a few of them are
	// significant.
	slowClassOffset     = 3
	verySlowClassOffset = 5
	// maxShare limits the shares used in the test; a share of 1 makes the ratio infinite.
	maxShare = 0.97
	// priorAnswers is the weight, in answers, of the prior in the estimate of the old version's share
	// of a symptom. The prior of a zone is the share of the whole route, whose own prior is priorShare.
	priorAnswers = 20
	priorShare   = 0.01
	// baselineWindow is the number of the old version's newest answers on which a baseline rests,
	// so that both versions are compared over the same period.
	baselineWindow = 200
)

// allRoutes is the route name of the tests over all routes.
const allRoutes = "*"

// effects holds, for each symptom, the increases of its share of the answers (0 to 1) over that of the
// old version that the tests are set up to detect. The first one is the smallest that must not be
// missed; the second one detects a severe fault after fewer answers.
var effects = map[Symptom][]float64{SymptomFailures: {0.1, 0.4}, SymptomSlow: {0.2, 0.5}, SymptomVerySlow: {0.1, 0.4}}

// weights holds the weight of an answer for each symptom. Slow answers are correlated, because a
// slow dependency of an instance affects all its calls at that time, so each of them carries less
// weight.
var weights = map[Symptom]float64{SymptomFailures: 1, SymptomSlow: 0.5, SymptomVerySlow: 0.7}

// acceptanceThreshold is the total log likelihood ratio at or below which a version is good.
var acceptanceThreshold = math.Log(FalseNegativeRate)

// suspicionFraction is the fraction of the rejection threshold from which steps that can wait are
// postponed.
const suspicionFraction = 0.25

// rejectionThreshold returns the sum at which a version is rejected after a number of answers.
func rejectionThreshold(answers uint64) float64 {
	return math.Log(float64(max(answers, minTestAnswers)) / FalsePositiveRate)
}

// Symptom is a respect in which a version is worse than the old one.
type Symptom string

// Symptoms.
const (
	SymptomNone     Symptom = ""
	SymptomFailures Symptom = "failures"
	SymptomSlow     Symptom = "slow"
	SymptomVerySlow Symptom = "very_slow"
)

// Opinion is the conclusion that the evidence supports.
type Opinion string

// Opinions.
const (
	OpinionUndecided Opinion = "undecided"
	OpinionGood      Opinion = "good"
	OpinionBad       Opinion = "bad"
)

// Verdict is an opinion with the figures that it is based on.
type Verdict struct {
	Opinion Opinion
	// Symptom and Route are those with the strongest evidence against the version.
	Symptom Symptom
	Route   string
	// Sum is the CUSUM that is compared with rejectionThreshold. It leaves out the instance with
	// the strongest evidence against the version, so that one faulty instance cannot cause a
	// rejection.
	Sum float64
	// TotalLogRatio is the log likelihood ratio of all answers since the start, also without the
	// instance with the strongest evidence against the version. It is below zero if the version
	// does about as well as the old one.
	TotalLogRatio float64
	// Answers is the number of the new version's answers, and Bad the number of those that failed
	// or were slow.
	Answers, Bad uint64
}

// suspicious reports whether Sum, the evidence against the version, has reached suspicionFraction of the
// rejection threshold.
func (v Verdict) suspicious() bool { return v.Sum >= suspicionFraction*rejectionThreshold(v.Answers) }

// unfavorable reports whether the answers are more likely those of a worse version.
func (v Verdict) unfavorable() bool { return v.suspicious() || v.TotalLogRatio > 0 }

// cusum is the test for one symptom, effect and route.
type cusum struct {
	// sum is the cumulative sum over all instances; sumsWithout holds, for each instance, the
	// cumulative sum without that instance.
	sum         float64
	sumsWithout map[string]float64
}

// add adds the log likelihood ratios of new answers, by instance.
func (s *cusum) add(ratios map[string]float64) {
	for instance := range ratios {
		if _, known := s.sumsWithout[instance]; !known {
			s.sumsWithout[instance] = s.sum
		}
	}
	total := 0.0
	for _, ratio := range ratios {
		total += ratio
	}
	s.sum = max(0, s.sum+total)
	for instance, sum := range s.sumsWithout {
		s.sumsWithout[instance] = max(0, sum+total-ratios[instance])
	}
}

// robustSum returns the sum without the instance with the strongest evidence against the version,
// or the sum over all instances if there is only one.
func (s *cusum) robustSum() float64 {
	if len(s.sumsWithout) < 2 {
		return s.sum
	}
	least := math.Inf(1)
	for _, sum := range s.sumsWithout {
		least = min(least, sum)
	}
	return least
}

// cusumKey identifies a test.
type cusumKey struct {
	symptom Symptom
	route   string
	effect  float64
}

// baselineKey identifies a baseline; an empty zone selects the whole route.
type baselineKey struct{ route, zone string }

// baseline holds the recent answers of the old version on one route, in one zone or in all.
type baseline struct {
	answers, failures float64
	times             [timeClasses]float64
}

// add adds new answers, and scales all down to baselineWindow, so that older ones lose weight.
func (b *baseline) add(counts Counts) {
	b.answers += float64(counts.Answers)
	b.failures += float64(counts.Failures)
	for class, count := range counts.Times {
		b.times[class] += float64(count)
	}
	if b.answers <= baselineWindow {
		return
	}
	kept := baselineWindow / b.answers
	b.answers *= kept
	b.failures *= kept
	for class := range b.times {
		b.times[class] *= kept
	}
}

// median returns the class that contains the median service time, or -1 without answers.
func (b *baseline) median() int {
	total := b.answers - b.failures
	if total <= 0 {
		return -1
	}
	passed := 0.0
	for class, count := range b.times {
		passed += count
		if passed >= total/2 {
			return class
		}
	}
	return timeClasses - 1
}

// countFromClass returns the number of answers in or above a class.
func (b *baseline) countFromClass(class int) float64 {
	slow := 0.0
	for _, count := range b.times[min(class, timeClasses):] {
		slow += count
	}
	return slow
}

// Analyzer tests the new version against the old one. It is not safe for concurrent use.
type Analyzer struct {
	// last is the evidence of the previous review.
	last      Evidence
	baselines map[baselineKey]*baseline
	cusums    map[cusumKey]*cusum
	// logRatios holds, by symptom and instance, the log likelihood ratio of all answers for the first
	// effect of the symptom.
	logRatios map[Symptom]map[string]float64
	answers   uint64
	bad       uint64
	// rejected is the verdict that rejected the version, nil before that.
	rejected *Verdict
}

// NewAnalyzer returns an analyzer without evidence.
func NewAnalyzer() *Analyzer {
	return &Analyzer{
		last: Evidence{}, baselines: map[baselineKey]*baseline{},
		cusums:    map[cusumKey]*cusum{},
		logRatios: map[Symptom]map[string]float64{SymptomFailures: {}, SymptomSlow: {}, SymptomVerySlow: {}},
	}
}

// Review evaluates all evidence collected so far and returns the verdict. Every counter must be at
// least as high as in the previous call. A rejection is final.
func (a *Analyzer) Review(evidence Evidence) Verdict {
	delta := a.delta(evidence)
	a.updateBaselines(delta)
	a.runTests(delta)
	if a.rejected != nil {
		return *a.rejected
	}
	verdict := a.verdict()
	if verdict.Opinion == OpinionBad {
		a.rejected = &verdict
	}
	return verdict
}

// delta returns the answers since the previous review.
func (a *Analyzer) delta(evidence Evidence) Evidence {
	delta := Evidence{}
	for key, counts := range evidence {
		since := counts.Since(a.last[key])
		if since.Answers > 0 {
			delta[key] = since
			a.last[key] = counts
		}
	}
	return delta
}

// updateBaselines adds the old version's answers to the baselines.
func (a *Analyzer) updateBaselines(delta Evidence) {
	for key, counts := range delta {
		if key.New {
			continue
		}
		a.baseline(baselineKey{key.Route, key.Zone}).add(counts)
		a.baseline(baselineKey{key.Route, ""}).add(counts)
	}
}

func (a *Analyzer) baseline(at baselineKey) *baseline {
	known, ok := a.baselines[at]
	if !ok {
		known = &baseline{}
		a.baselines[at] = known
	}
	return known
}

// runTests adds the new version's answers to the tests.
func (a *Analyzer) runTests(delta Evidence) {
	ratios := map[cusumKey]map[string]float64{}
	note := func(key cusumKey, instance string, ratio float64) {
		if ratios[key] == nil {
			ratios[key] = map[string]float64{}
		}
		ratios[key][instance] += ratio
	}
	for key, counts := range delta {
		if !key.New {
			continue
		}
		for symptom, found := range a.compare(key, counts) {
			for index, effect := range effects[symptom] {
				ratio := weights[symptom] * found.ratio(effect)
				note(cusumKey{symptom, key.Route, effect}, key.Instance, ratio)
				note(cusumKey{symptom, allRoutes, effect}, key.Instance, ratio)
				if index == 0 {
					a.logRatios[symptom][key.Instance] += ratio
				}
			}
		}
	}
	for key, byInstance := range ratios {
		a.cusum(key).add(byInstance)
	}
}

func (a *Analyzer) cusum(key cusumKey) *cusum {
	known, ok := a.cusums[key]
	if !ok {
		known = &cusum{sumsWithout: map[string]float64{}}
		a.cusums[key] = known
	}
	return known
}

// finding is the number of answers that show a symptom in a sample, and the share that is expected
// from the old version.
type finding struct {
	expected      float64
	found, sample uint32
}

// compare returns the findings of a counter's new answers relative to the old version. Slow answers
// are evaluated only once minBaselineAnswers answers of the old version are known, because the
// first answers to arrive are the fastest ones.
func (a *Analyzer) compare(key Key, counts Counts) map[Symptom]finding {
	zone, route := a.baseline(baselineKey{key.Route, key.Zone}), a.baseline(baselineKey{key.Route, ""})
	a.answers += uint64(counts.Answers)
	a.bad += uint64(counts.Failures)
	expected := expectedShare(zone.failures, zone.answers, expectedShare(route.failures, route.answers, priorShare))
	findings := map[Symptom]finding{SymptomFailures: {expected, counts.Failures, counts.Answers}}
	median := route.median()
	if median < 0 || route.answers < minBaselineAnswers {
		return findings
	}
	findings[SymptomSlow] = slowFinding(zone, route, counts, median+slowClassOffset)
	findings[SymptomVerySlow] = slowFinding(zone, route, counts, median+verySlowClassOffset)
	a.bad += uint64(findings[SymptomSlow].found)
	return findings
}

// slowFinding returns the finding on the answers in or above a class.
func slowFinding(zone, route *baseline, counts Counts, from int) finding {
	found := uint32(0)
	for _, count := range counts.Times[min(from, timeClasses):] {
		found += count
	}
	routeExpected := expectedShare(route.countFromClass(from), route.answers-route.failures, priorShare)
	expected := expectedShare(zone.countFromClass(from), zone.answers-zone.failures, routeExpected)
	return finding{expected, found, counts.Answers - counts.Failures}
}

// expectedShare returns the expected share of a symptom: the observed share, shrunk towards a prior
// share, plus one standard deviation, because the share is itself an estimate.
func expectedShare(found, sample, prior float64) float64 {
	mean := (found + priorAnswers*prior) / (sample + priorAnswers)
	return mean + math.Sqrt(mean*(1-mean)/(sample+priorAnswers))
}

// ratio returns the log likelihood ratio of the finding between a worse share and the expected one. The
// worse share is the expected one plus effect, or twice the expected one if that is higher.
func (f finding) ratio(effect float64) float64 {
	expected := min(f.expected, maxShare-effect/2)
	worse := min(max(expected+effect, min(2*expected, maxShare)), maxShare)
	hits, misses := float64(f.found), float64(f.sample-f.found)
	return hits*math.Log(worse/expected) + misses*math.Log((1-worse)/(1-expected))
}

// verdict combines the results of all tests.
func (a *Analyzer) verdict() Verdict {
	verdict := Verdict{Opinion: OpinionUndecided, Answers: a.answers, Bad: a.bad}
	for key, test := range a.cusums {
		robustSum := test.robustSum()
		if robustSum > verdict.Sum || (robustSum == verdict.Sum && robustSum > 0 && key.route < verdict.Route) {
			verdict.Sum, verdict.Symptom, verdict.Route = robustSum, key.symptom, key.route
		}
	}
	verdict.TotalLogRatio = max(totalLogRatio(a.logRatios[SymptomFailures]), totalLogRatio(a.logRatios[SymptomSlow]), totalLogRatio(a.logRatios[SymptomVerySlow]))
	switch {
	case verdict.Sum >= rejectionThreshold(verdict.Answers):
		verdict.Opinion = OpinionBad
	case verdict.TotalLogRatio <= acceptanceThreshold && !verdict.suspicious():
		verdict.Opinion = OpinionGood
	}
	return verdict
}

// totalLogRatio returns the sum over all instances without the one with the strongest evidence
// against the version, or the sum itself if there is only one instance.
func totalLogRatio(byInstance map[string]float64) float64 {
	sum, most := 0.0, math.Inf(-1)
	for _, ratio := range byInstance {
		sum += ratio
		most = max(most, ratio)
	}
	if len(byInstance) < 2 {
		return sum
	}
	return sum - most
}
