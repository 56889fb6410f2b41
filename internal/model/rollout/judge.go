package rollout

import (
	"math"
)

// Error rates and effects of the test. The test is a cumulative sum of
// log likelihood ratios that does not fall below zero.
const (
	// FalseConviction bounds the chance that a version as good as the old one is
	// convicted in one roll-out, and MissedConviction the chance that one that is worse
	// by the effects below is called good.
	FalseConviction  = 0.002
	MissedConviction = 0.01
	// shortestTest is the number of answers up to which the sum at which a version is convicted
	// stays the same; beyond, it grows with the logarithm of their number, as the chance does
	// that a good version reaches it.
	shortestTest = 200
	// slowClasses is from how many classes above the median of the old version an answer
	// is slow: 2 to 2.8 times. verySlowClasses is the same for very slow ones, which are so
	// rare in a good version that few of them tell: 4 to 5.6 times.
	slowClasses     = 3
	verySlowClasses = 5
	// certain keeps the shares of the test away from 0 and 1.
	certain = 0.97
	// priorAnswers is what the old version's share of the whole route, or before any
	// answer priorShare, counts for beside its share in a zone.
	priorAnswers = 20
	priorShare   = 0.01
	// baselineAnswers is how many of the old version's newest answers a comparison
	// rests on, for a route and zone; it makes it one of the same time.
	baselineAnswers = 200
)

// allRoutes is the name under which all routes are tested together.
const allRoutes = "*"

// effects are by how much the share of failures of a bad version is above the old one's, and that
// of slow answers. The first of each is what must not be missed, the second makes a plain fault be
// found after fewer answers.
var effects = map[Symptom][]float64{SymptomFailures: {0.1, 0.4}, SymptomSlow: {0.2, 0.5}, SymptomVerySlow: {0.1, 0.4}}

// weights are how much an answer counts. Slow answers come in runs, since what an instance calls
// in turn is slow for all its calls at a time: each of them says less than one of its own.
var weights = map[Symptom]float64{SymptomFailures: 1, SymptomSlow: 0.5, SymptomVerySlow: 0.7}

// acquitAt is the sum at which a version is called good.
var acquitAt = math.Log(MissedConviction)

// suspectPart is the part of the way to a conviction from which steps are put off that can
// wait.
const suspectPart = 0.25

// convictAt returns the sum at which a version is convicted after a number of answers.
func convictAt(answers uint64) float64 {
	return math.Log(float64(max(answers, shortestTest)) / FalseConviction)
}

// Symptom is what a version does worse than the old one.
type Symptom string

// Symptoms.
const (
	SymptomNone     Symptom = ""
	SymptomFailures Symptom = "failures"
	SymptomSlow     Symptom = "slow"
	SymptomVerySlow Symptom = "very_slow"
)

// Opinion is what the evidence says of a version.
type Opinion string

// Opinions.
const (
	OpinionUndecided Opinion = "undecided"
	OpinionGood      Opinion = "good"
	OpinionBad       Opinion = "bad"
)

// Verdict is an opinion with the figures that it rests on.
type Verdict struct {
	Opinion Opinion
	// Symptom and Route are those that speak most against the version.
	Symptom Symptom
	Route   string
	// Sum is the sum against it at which it is convicted (convictAt), without the
	// instance that speaks most against it.
	Sum float64
	// Leaning is the sum over all answers since the start, again without the instance that
	// speaks most against the version; below zero for one that does rather as well as the
	// old one.
	Leaning float64
	// Answers counts the new version's answers, Bad those that failed or were slow.
	Answers, Bad uint64
}

// suspicious reports whether the test is part of the way to a conviction.
func (v Verdict) suspicious() bool { return v.Sum >= suspectPart*convictAt(v.Answers) }

// speaksAgainst reports whether the answers so far are rather those of a version that is worse.
func (v Verdict) speaksAgainst() bool { return v.suspicious() || v.Leaning > 0 }

// stream is one test: of one symptom on one route.
type stream struct {
	// sum is the cumulative sum over all instances, without that over all but one.
	sum     float64
	without map[string]float64
}

// add adds the ratios that each instance's newest answers gave.
func (s *stream) add(ratios map[string]float64) {
	for instance := range ratios {
		if _, known := s.without[instance]; !known {
			s.without[instance] = s.sum
		}
	}
	total := 0.0
	for _, ratio := range ratios {
		total += ratio
	}
	s.sum = max(0, s.sum+total)
	for instance, sum := range s.without {
		s.without[instance] = max(0, sum+total-ratios[instance])
	}
}

// against returns the sum that still stands without the instance that speaks most
// against the version; where there is only one instance, that is all there is.
func (s *stream) against() float64 {
	if len(s.without) < 2 {
		return s.sum
	}
	least := math.Inf(1)
	for _, sum := range s.without {
		least = min(least, sum)
	}
	return least
}

// streamKey names a test.
type streamKey struct {
	symptom Symptom
	route   string
	effect  float64
}

// place names a baseline; an empty zone stands for the whole route.
type place struct{ route, zone string }

// baseline is what the old version did lately at one place.
type baseline struct {
	answers, failures float64
	times             [timeClasses]float64
}

// add adds newer answers and forgets older ones.
func (b *baseline) add(counts Counts) {
	b.answers += float64(counts.Answers)
	b.failures += float64(counts.Failures)
	for class, count := range counts.Times {
		b.times[class] += float64(count)
	}
	if b.answers <= baselineAnswers {
		return
	}
	kept := baselineAnswers / b.answers
	b.answers *= kept
	b.failures *= kept
	for class := range b.times {
		b.times[class] *= kept
	}
}

// median returns the class in which the median of the service times lies, -1 before any.
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

// slowFrom returns the number of answers in a class or above.
func (b *baseline) slowFrom(class int) float64 {
	slow := 0.0
	for _, count := range b.times[min(class, timeClasses):] {
		slow += count
	}
	return slow
}

// Judge tests a version against the old one. It is not safe for concurrent use.
type Judge struct {
	last      Evidence
	baselines map[place]*baseline
	streams   map[streamKey]*stream
	leaning   map[Symptom]map[string]float64
	answers   uint64
	bad       uint64
	convicted *Verdict
}

// NewJudge returns a judge who has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		last: Evidence{}, baselines: map[place]*baseline{},
		streams: map[streamKey]*stream{},
		leaning: map[Symptom]map[string]float64{SymptomFailures: {}, SymptomSlow: {}, SymptomVerySlow: {}},
	}
}

// Review takes in all evidence so far, of which every counter is at least what it was
// before, and says what it amounts to. A conviction stands.
func (j *Judge) Review(evidence Evidence) Verdict {
	fresh := j.fresh(evidence)
	j.learn(fresh)
	j.test(fresh)
	if j.convicted != nil {
		return *j.convicted
	}
	verdict := j.verdict()
	if verdict.Opinion == OpinionBad {
		j.convicted = &verdict
	}
	return verdict
}

// fresh returns what came since the last review.
func (j *Judge) fresh(evidence Evidence) Evidence {
	fresh := Evidence{}
	for key, counts := range evidence {
		since := counts.Since(j.last[key])
		if since.Answers > 0 {
			fresh[key] = since
			j.last[key] = counts
		}
	}
	return fresh
}

// learn takes the old version's answers into the baselines.
func (j *Judge) learn(fresh Evidence) {
	for key, counts := range fresh {
		if key.New {
			continue
		}
		j.baseline(place{key.Route, key.Zone}).add(counts)
		j.baseline(place{key.Route, ""}).add(counts)
	}
}

func (j *Judge) baseline(at place) *baseline {
	known, ok := j.baselines[at]
	if !ok {
		known = &baseline{}
		j.baselines[at] = known
	}
	return known
}

// test adds the new version's answers to the tests.
func (j *Judge) test(fresh Evidence) {
	ratios := map[streamKey]map[string]float64{}
	note := func(key streamKey, instance string, ratio float64) {
		if ratios[key] == nil {
			ratios[key] = map[string]float64{}
		}
		ratios[key][instance] += ratio
	}
	for key, counts := range fresh {
		if !key.New {
			continue
		}
		for symptom, found := range j.compare(key, counts) {
			for index, effect := range effects[symptom] {
				ratio := weights[symptom] * found.ratio(effect)
				note(streamKey{symptom, key.Route, effect}, key.Instance, ratio)
				note(streamKey{symptom, allRoutes, effect}, key.Instance, ratio)
				if index == 0 {
					j.leaning[symptom][key.Instance] += ratio
				}
			}
		}
	}
	for key, byInstance := range ratios {
		j.stream(key).add(byInstance)
	}
}

func (j *Judge) stream(key streamKey) *stream {
	known, ok := j.streams[key]
	if !ok {
		known = &stream{without: map[string]float64{}}
		j.streams[key] = known
	}
	return known
}

// finding is how many answers of some showed a symptom, and the share of them that would with the
// old version.
type finding struct {
	expected  float64
	found, of uint32
}

// compare returns what a counter's newest answers show beside the old version. Slow answers are
// told once enough answers of that version are known: the first ones to come are the quickest.
func (j *Judge) compare(key Key, counts Counts) map[Symptom]finding {
	zone, route := j.baseline(place{key.Route, key.Zone}), j.baseline(place{key.Route, ""})
	j.answers += uint64(counts.Answers)
	j.bad += uint64(counts.Failures)
	expected := share(zone.failures, zone.answers, share(route.failures, route.answers, priorShare))
	findings := map[Symptom]finding{SymptomFailures: {expected, counts.Failures, counts.Answers}}
	median := route.median()
	if median < 0 || route.answers < leastUsual {
		return findings
	}
	findings[SymptomSlow] = slower(zone, route, counts, median+slowClasses)
	findings[SymptomVerySlow] = slower(zone, route, counts, median+verySlowClasses)
	j.bad += uint64(findings[SymptomSlow].found)
	return findings
}

// slower returns how many answers took a time of a class or above.
func slower(zone, route *baseline, counts Counts, from int) finding {
	found := uint32(0)
	for _, count := range counts.Times[min(from, timeClasses):] {
		found += count
	}
	usual := share(route.slowFrom(from), route.answers-route.failures, priorShare)
	expected := share(zone.slowFrom(from), zone.answers-zone.failures, usual)
	return finding{expected, found, counts.Answers - counts.Failures}
}

// share returns the share that is expected: what was found, drawn to a prior share, and
// one standard deviation more, since it is itself an estimate.
func share(found, of, prior float64) float64 {
	mean := (found + priorAnswers*prior) / (of + priorAnswers)
	return mean + math.Sqrt(mean*(1-mean)/(of+priorAnswers))
}

// ratio returns the log likelihood ratio of a share that is above the expected one by an
// effect to the expected one.
func (f finding) ratio(effect float64) float64 {
	expected := min(f.expected, certain-effect/2)
	worse := min(max(expected+effect, min(2*expected, certain)), certain)
	hits, misses := float64(f.found), float64(f.of-f.found)
	return hits*math.Log(worse/expected) + misses*math.Log((1-worse)/(1-expected))
}

// verdict sums up the tests.
func (j *Judge) verdict() Verdict {
	verdict := Verdict{Opinion: OpinionUndecided, Answers: j.answers, Bad: j.bad}
	for key, test := range j.streams {
		against := test.against()
		if against > verdict.Sum || (against == verdict.Sum && against > 0 && key.route < verdict.Route) {
			verdict.Sum, verdict.Symptom, verdict.Route = against, key.symptom, key.route
		}
	}
	verdict.Leaning = max(leaningOf(j.leaning[SymptomFailures]), leaningOf(j.leaning[SymptomSlow]), leaningOf(j.leaning[SymptomVerySlow]))
	switch {
	case verdict.Sum >= convictAt(verdict.Answers):
		verdict.Opinion = OpinionBad
	case verdict.Leaning <= acquitAt && !verdict.suspicious():
		verdict.Opinion = OpinionGood
	}
	return verdict
}

// leaningOf sums up over instances without the one that speaks most against the version;
// where there is only one, that is all there is.
func leaningOf(byInstance map[string]float64) float64 {
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
