package rollout

import (
	"math"
	"time"
)

// Classes of service times. The upper bounds of the classes grow by a factor of the square root of
// two, from 8 ms to 8 s.
const (
	timeClasses        = 21
	minClassTime       = 8 * time.Millisecond
	classesPerDoubling = 2
)

// highestClassTime is a service time that falls into the highest class.
const highestClassTime = time.Hour

// Key identifies one counter of evidence.
type Key struct {
	// New is true for the ordered version and false for all others.
	New   bool
	Route string
	Zone  string
	// Instance is empty for the old version, whose instances share one counter.
	Instance string
}

// Counts holds the answers of one counter. All fields are monotonic.
type Counts struct {
	// Answers is the number of all answers, Failures the number of those that were failures of the
	// instance itself.
	Answers, Failures uint32
	// Times is the number of answers without a failure, by class of service time.
	Times [timeClasses]uint32
}

// timeClass returns the class of a service time.
func timeClass(taken time.Duration) int {
	if taken <= minClassTime {
		return 0
	}
	class := math.Ceil(classesPerDoubling * math.Log2(float64(taken)/float64(minClassTime)))
	return min(int(class), timeClasses-1)
}

// Note adds one answer.
func (c *Counts) Note(failed bool, taken time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return
	}
	c.Times[timeClass(taken)]++
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for class, count := range other.Times {
		c.Times[class] += count
	}
}

// Since returns the difference from earlier counts of the same counter.
func (c Counts) Since(earlier Counts) Counts {
	c.Answers -= earlier.Answers
	c.Failures -= earlier.Failures
	for class, count := range earlier.Times {
		c.Times[class] -= count
	}
	return c
}

// Evidence holds the counters of a roll-out, of one daemon or summed over several.
type Evidence map[Key]Counts

// Note adds one answer.
func (e Evidence) Note(key Key, failed bool, taken time.Duration) {
	counts := e[key]
	counts.Note(failed, taken)
	e[key] = counts
}

// Add adds other evidence.
func (e Evidence) Add(other Evidence) {
	for key, counts := range other {
		sum := e[key]
		sum.Add(counts)
		e[key] = sum
	}
}

// Clone returns a copy.
func (e Evidence) Clone() Evidence {
	copied := make(Evidence, len(e))
	copied.Add(e)
	return copied
}

// Report holds all evidence that one incarnation of a daemon has collected on an order.
type Report struct {
	Order       Identity
	Node        string
	Incarnation uint64
	// Sequence increases with each report of the incarnation.
	Sequence uint64
	Evidence Evidence
}

// source identifies one incarnation of a daemon.
type source struct {
	node        string
	incarnation uint64
}

// ReportSet holds the newest report of each incarnation of each daemon and their sum. Only the
// newest report counts, so that repeated and reordered reports do not change the sum.
type ReportSet struct {
	order   Identity
	reports map[source]Report
	sum     Evidence
}

// NewReportSet returns an empty set for an order.
func NewReportSet(order Identity) *ReportSet {
	return &ReportSet{order: order, reports: map[source]Report{}, sum: Evidence{}}
}

// Record adds a report, which must not be modified afterwards. taken is false if the report is
// about another order or not newer than the known one.
func (l *ReportSet) Record(report Report) (taken bool) {
	from := source{report.Node, report.Incarnation}
	known, present := l.reports[from]
	if report.Order != l.order || (present && report.Sequence <= known.Sequence) {
		return false
	}
	for key, counts := range report.Evidence {
		sum := l.sum[key]
		sum.Add(counts.Since(known.Evidence[key]))
		l.sum[key] = sum
	}
	l.reports[from] = report
	return true
}

// Sum returns the evidence of all daemons. The caller must not modify it, and it is valid only
// until the next call of Record.
func (l *ReportSet) Sum() Evidence { return l.sum }

// Reporters returns how many of the given daemons have reported.
func (l *ReportSet) Reporters(members []string) int {
	reported := make(map[string]bool, len(l.reports))
	for from := range l.reports {
		reported[from.node] = true
	}
	heard := 0
	for _, member := range members {
		if reported[member] {
			heard++
		}
	}
	return heard
}

// HasOldAnswers reports whether any daemon has an answer of a version other than the ordered one.
func (l *ReportSet) HasOldAnswers() bool {
	for key := range l.sum {
		if !key.New {
			return true
		}
	}
	return false
}
