package rollout

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the plan.
const (
	// ExposureShare is the share of a service's calls that a bad version may get
	// at most, also where the settings allow more.
	ExposureShare = 0.1
	// ProbeShare is the share that is used until the shift. The bound counts the calls until the
	// deadline, so that what is not used while the version gets nothing, before its first
	// instance and after a roll-back, pays for one that turns out bad in the shift.
	ProbeShare = probePart * ExposureShare
	// probePart is the part of the allowed share that is used.
	probePart = 0.9
	// shiftLead is how long before the deadline the shift begins at the latest, and
	// leadShare the largest part of the order's duration that it may be: ramp, the
	// longest usual call (2.5 s), confirmation and two writes of a slow store.
	shiftLead = 7 * time.Second
	leadShare = 0.45
	// rampTime is how long the share takes from ProbeShare to everything, and rampPart
	// the largest part of the lead that it may be.
	rampTime = 3500 * time.Millisecond
	rampPart = 2
	// patiencePart is the part of the lead by which the shift may be put off while the test
	// is on its way to a conviction.
	patiencePart = 5
	// settlePart is the part of the lead before the deadline until which all calls go to
	// the new version and can still be taken back: what is slow is answered late.
	settlePart = 3
	// lastMomentPart is the part of the lead before the deadline in which calls in
	// flight at old instances are no longer waited for: 1.5 s, three tries of a write.
	lastMomentPart = 4.5
	// spreadProbed is the least number of instances that are probed in every other turn and in the
	// shift, and spreadLoad the part of its load after the move that each gets then: slow ones would
	// fill up and refuse what would be evidence, were they fewer.
	spreadProbed = 3
	spreadLoad   = 2.0 / 3
	// probeTurn is how long the same instances are probed. Others follow, so that one that fails
	// alone is told from a version that does.
	probeTurn = 1500 * time.Millisecond
)

// Plan is the times of a roll-out that follow from its order.
type Plan struct {
	// ShiftAt is when the shift begins if nothing speaks against the version, and Ramp
	// how long the calls take to move.
	ShiftAt time.Time
	Ramp    time.Duration
	// ShiftLatest is when it begins although the test is on its way to a conviction.
	ShiftLatest time.Time
	// SettledAt is when the end may be written, unless the test is on its way to a
	// conviction.
	SettledAt time.Time
	// LastMoment is when calls in flight are no longer waited for.
	LastMoment time.Time
	Deadline   time.Time
}

// PlanFor returns the times for an order that was given at began.
func PlanFor(began time.Time, duration time.Duration) Plan {
	lead := min(shiftLead, time.Duration(leadShare*float64(duration)))
	deadline := began.Add(duration)
	return Plan{
		ShiftAt: deadline.Add(-lead), Ramp: min(rampTime, lead/rampPart),
		ShiftLatest: deadline.Add(-lead + lead/patiencePart),
		SettledAt:   deadline.Add(-time.Duration(float64(lead) / settlePart)),
		LastMoment:  deadline.Add(-time.Duration(float64(lead) / lastMomentPart)), Deadline: deadline,
	}
}

// ShareInShift returns the share of the calls that the new version gets some time after
// the shift began, from the share that it had before. It grows by the same factor in equal
// times: a version that fails under load shows it before most calls are moved.
func (p Plan) ShareInShift(before float64, since time.Duration) float64 {
	if since >= p.Ramp {
		return 1
	}
	return math.Pow(before, 1-max(since.Seconds(), 0)/p.Ramp.Seconds())
}

// Rank returns the number by which daemons and instances are put in order for an order: the
// lowest goes first.
func (order Identity) Rank(name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.FormatUint(order.Created, 36))
	_, _ = digest.WriteString(" " + strconv.FormatUint(order.Again, 36) + " ")
	_, _ = digest.WriteString(order.Target + " " + name)
	return digest.Sum64()
}

// ranked returns names in the order that every daemon gives them for an order.
func ranked(order Identity, names []string) []string {
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		ranks[name] = order.Rank(name)
	}
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return sorted
}

// Probed returns the instances of the new version that get calls at a share: so few that each
// has about the load that it has after the move. All is the number of instances that there are
// of the version, of which not all may be known. Every daemon that knows the same instances names
// the same ones; they change with the turn.
func Probed(order Identity, instances []string, all int, share float64, turn int) []string {
	return inTurn(order, instances, max(1, loaded(instances, all, share)), turn)
}

// SpreadProbed is Probed with more instances, so that each has less load.
func SpreadProbed(order Identity, instances []string, all int, share float64, turn int) []string {
	return inTurn(order, instances, max(spreadProbed, loaded(instances, all, share/spreadLoad)), turn)
}

// loaded returns the number of instances that a share of the calls loads as all calls load all.
func loaded(instances []string, all int, share float64) int {
	return int(math.Round(share * float64(max(all, len(instances)))))
}

// inTurn returns so many of the instances, beginning with another one in each turn.
func inTurn(order Identity, instances []string, wanted, turn int) []string {
	if len(instances) == 0 {
		return nil
	}
	wanted = min(wanted, len(instances))
	sorted := ranked(order, instances)
	first := turn * wanted % len(sorted)
	return append(sorted[first:], sorted[:first]...)[:wanted]
}
