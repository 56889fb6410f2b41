package rollout

import (
	"math"
	"time"
)

// Bounds of the distribution of service times: classes grow by a factor of the square
// root of two, from 8 ms to 8 s.
const (
	timeClasses   = 21
	shortestClass = 8 * time.Millisecond
	classesPerTwo = 2
)

// longest is a time in the highest class.
const longest = time.Hour

// Key names one counter of evidence.
type Key struct {
	// New is true for the version ordered, false for all others.
	New   bool
	Route string
	Zone  string
	// Instance is empty for the old version, whose instances are counted together.
	Instance string
}

// Counts are the answers that one counter holds. All fields only grow.
type Counts struct {
	// Answers counts all answers, Failures those that were failures of the instance.
	Answers, Failures uint32
	// Times counts the answers that were no failures by classes of service time.
	Times [timeClasses]uint32
}

// timeClass returns the class of a service time.
func timeClass(taken time.Duration) int {
	if taken <= shortestClass {
		return 0
	}
	class := math.Ceil(classesPerTwo * math.Log2(float64(taken)/float64(shortestClass)))
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

// Since returns what came after earlier counts of the same counter.
func (c Counts) Since(earlier Counts) Counts {
	c.Answers -= earlier.Answers
	c.Failures -= earlier.Failures
	for class, count := range earlier.Times {
		c.Times[class] -= count
	}
	return c
}

// Evidence is what was seen of a roll-out by one daemon or by several.
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

// Report is all that one incarnation of a daemon has seen of an order so far.
type Report struct {
	Order       Identity
	Node        string
	Incarnation uint64
	// Sequence rises with each report of the incarnation.
	Sequence uint64
	Evidence Evidence
}

// source names one incarnation of a daemon.
type source struct {
	node        string
	incarnation uint64
}

// Ledger keeps the newest report of each incarnation of each daemon, so that what was
// seen is summed once however often and in whatever order reports come.
type Ledger struct {
	order   Identity
	reports map[source]Report
	sum     Evidence
}

// NewLedger returns an empty ledger for an order.
func NewLedger(order Identity) *Ledger {
	return &Ledger{order: order, reports: map[source]Report{}, sum: Evidence{}}
}

// Take takes in a report, which must not be changed afterwards. taken is false for one
// of another order and for one that is not newer.
func (l *Ledger) Take(report Report) (taken bool) {
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

// Sum returns what all daemons have seen. It must not be changed, and holds until the
// next report is taken in.
func (l *Ledger) Sum() Evidence { return l.sum }

// Heard returns how many of the daemons in touch have reported.
func (l *Ledger) Heard(members []string) int {
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

// SawOld reports whether any daemon had an answer of another version than the one ordered.
func (l *Ledger) SawOld() bool {
	for key := range l.sum {
		if !key.New {
			return true
		}
	}
	return false
}
