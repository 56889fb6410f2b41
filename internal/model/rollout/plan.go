package rollout

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the schedule.
const (
	// ExposureShare is the maximum share of a service's calls that a bad version may get, even if
	// the settings allow more.
	ExposureShare = 0.1
	// ProbeShare is the new version's share before the shift. ExposureShare limits the share of all
	// calls until the deadline. The times at which the version gets no calls, before its first
	// instance and after a roll-back, therefore leave room for a version that turns bad during the
	// shift.
	ProbeShare = probeFraction * ExposureShare
	// probeFraction is the fraction of the allowed share that is used.
	probeFraction = 0.9
	// maxShiftLead is the maximum time between the start of the shift and the deadline, and
	// maxLeadFraction limits it to a fraction of the order's duration. The lead covers the ramp,
	// the longest usual call (2.5 s), the confirmation and two writes to a slow store.
	maxShiftLead    = 7 * time.Second
	maxLeadFraction = 0.45
	// maxRamp is the maximum time in which the share grows from ProbeShare to 1; the ramp is also
	// limited to the lead divided by rampDivisor.
	maxRamp     = 3500 * time.Millisecond
	rampDivisor = 2
	// postponeDivisor sets the time by which the shift may be postponed while the verdict is
	// unfavorable: the lead divided by it.
	postponeDivisor = 5
	// completionDivisor sets the time between CompletionAt and the deadline: the lead divided by
	// it. Before CompletionAt, all calls go to the new version for a while and can still be moved
	// back, because slow answers are observed late.
	completionDivisor = 3
	// drainDivisor sets the time between DrainDeadline and the deadline, in which calls in flight
	// at old instances are no longer waited for: the lead divided by it. That is 1.5 s, three
	// attempts of a write.
	drainDivisor = 4.5
	// minSpreadProbes is the minimum number of instances that are probed in every other turn and
	// during the shift, and spreadLoadFraction the load of each of them relative to its load after
	// the move. With fewer instances, slow ones would reach the limit of their slots and
	// refuse the calls that would reveal their slowness.
	minSpreadProbes    = 3
	spreadLoadFraction = 2.0 / 3
	// probeTurnTime is how long the same instances are probed before others follow. The rotation
	// distinguishes a single faulty instance from a faulty version.
	probeTurnTime = 1500 * time.Millisecond
)

// Plan holds the schedule of a roll-out.
type Plan struct {
	// ShiftAt is when the shift begins if no evidence speaks against the version, and Ramp how long
	// the calls take to move.
	ShiftAt time.Time
	Ramp    time.Duration
	// LatestShiftAt is when the shift begins even if the test is unfavorable but undecided.
	LatestShiftAt time.Time
	// CompletionAt is the earliest time at which the end may be written, unless the verdict is
	// suspicious.
	CompletionAt time.Time
	// DrainDeadline is the time from which calls in flight are no longer waited for.
	DrainDeadline time.Time
	Deadline      time.Time
}

// PlanFor returns the schedule of an order that was given at orderedAt.
func PlanFor(orderedAt time.Time, duration time.Duration) Plan {
	lead := min(maxShiftLead, time.Duration(maxLeadFraction*float64(duration)))
	deadline := orderedAt.Add(duration)
	return Plan{
		ShiftAt: deadline.Add(-lead), Ramp: min(maxRamp, lead/rampDivisor),
		LatestShiftAt: deadline.Add(-lead + lead/postponeDivisor),
		CompletionAt:  deadline.Add(-time.Duration(float64(lead) / completionDivisor)),
		DrainDeadline: deadline.Add(-time.Duration(float64(lead) / drainDivisor)), Deadline: deadline,
	}
}

// ShareInShift returns the new version's share at a time since the start of the shift, given its
// share before. The share grows exponentially, so that a version that fails under load shows it
// before most calls have moved.
func (p Plan) ShareInShift(before float64, since time.Duration) float64 {
	if since >= p.Ramp {
		return 1
	}
	return math.Pow(before, 1-max(since.Seconds(), 0)/p.Ramp.Seconds())
}

// Rank returns a hash of the order and a name, by which daemons and instances are sorted for the
// order; the lowest comes first.
func (order Identity) Rank(name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.FormatUint(order.Created, 36))
	_, _ = digest.WriteString(" " + strconv.FormatUint(order.ReissueRevision, 36) + " ")
	_, _ = digest.WriteString(order.Target + " " + name)
	return digest.Sum64()
}

// ranked returns the names sorted by their rank, which is the same on every daemon.
func ranked(order Identity, names []string) []string {
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		ranks[name] = order.Rank(name)
	}
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return sorted
}

// Probed returns the instances of the new version that get calls at a share: so few that each has
// about the load that it will have after the move. all is the number of all instances of the
// version, including unknown ones. Daemons that know the same instances return the same ones, which
// change with the turn.
func Probed(order Identity, instances []string, all int, share float64, turn int) []string {
	return rotate(order, instances, max(1, countForShare(instances, all, share)), turn)
}

// SpreadProbed is like Probed, but returns more instances, so that each has less load.
func SpreadProbed(order Identity, instances []string, all int, share float64, turn int) []string {
	return rotate(order, instances, max(minSpreadProbes, countForShare(instances, all, share/spreadLoadFraction)), turn)
}

// countForShare returns the number of instances that get as much load from a share of the calls as
// all instances get from all calls.
func countForShare(instances []string, all int, share float64) int {
	return int(math.Round(share * float64(max(all, len(instances)))))
}

// rotate returns the wanted number of instances, beginning at a different one in each turn.
func rotate(order Identity, instances []string, wanted, turn int) []string {
	if len(instances) == 0 {
		return nil
	}
	wanted = min(wanted, len(instances))
	sorted := ranked(order, instances)
	first := turn * wanted % len(sorted)
	return append(sorted[first:], sorted[:first]...)[:wanted]
}
