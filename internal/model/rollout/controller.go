package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// Limits and periods of the controller.
const (
	// maxStoreAge is the maximum age of the store's newest answer at which a shift may begin. A
	// version that turns bad during the shift can be rolled back only through the store.
	maxStoreAge = 2 * time.Second
	// announcementGracePeriod is how long after the deadline announcements are still sent. It is
	// longer than a daemon that was cut off may take to reconnect.
	announcementGracePeriod = 10 * time.Second
	// probeDelay is the time between the discovery of a new instance and its first probe. The
	// daemon next to the instance may have started with it, and needs this long to discover the
	// instances that the new one calls in turn.
	probeDelay = 750 * time.Millisecond
	// allInstancesShare is the share from which a daemon sends to all new instances that it knows
	// itself, because a decider may know only about half of them.
	allInstancesShare = 0.5
	// confirmTime is the minimum time for which all calls go to the new version before the end is
	// written.
	confirmTime = 500 * time.Millisecond
)

// rollBackLogRatio is the total log likelihood ratio from which an undecided test prevents the
// shift: odds of ten to one against the version.
var rollBackLogRatio = math.Log(10)

// Phases of a roll-out, in ascending order of precedence.
const (
	PhaseProbing Phase = iota
	PhaseShifting
	PhaseRollingBack
)

// Controller decides on the roll-out of one order on one daemon. It is not safe for concurrent use.
type Controller struct {
	node        string
	incarnation uint64
	sequence    uint64

	decider       Decider
	machine       *stateless.StateMachine
	analyzer      *Analyzer
	reportSet     *ReportSet
	announcements map[string]Announcement
	verdict       Verdict

	// orderedAt and shiftStartedAt are the earliest times at which any daemon is known to have received
	// the order and to have begun the shift. movedAt is when this daemon entered StateMoved.
	orderedAt      time.Time
	shiftStartedAt time.Time
	movedAt        time.Time
	// probeShare is the new version's share of the calls before the shift.
	probeShare float64
	// divertAnnounced is true once an announcement stated that no calls go to the old version.
	divertAnnounced bool
	// probed holds the instances that are currently probed.
	probed []Probe
	// lastShare is the most recent share during the shift.
	lastShare float64
	// warmSince holds the time at which each new instance was first seen warm.
	warmSince map[string]time.Time
	// tooShort is true if the order's duration is below MinDuration; steps holds the steps of the
	// current tick.
	tooShort bool
	steps    []Step
}

// NewController returns a controller for an order that this daemon received at orderedAt.
func NewController(node string, incarnation uint64, order Order, orderedAt time.Time) *Controller {
	return &Controller{
		node: node, incarnation: incarnation, decider: NewDecider(order), machine: newMachine(),
		analyzer: NewAnalyzer(), reportSet: NewReportSet(order.Identity), announcements: map[string]Announcement{}, warmSince: map[string]time.Time{},
		orderedAt: orderedAt, probeShare: ProbeShare, tooShort: order.Duration < MinDuration,
	}
}

// Order returns the newest known state of the order.
func (c *Controller) Order() Order { return c.decider.Order() }

// State returns the state of the roll-out on this daemon.
func (c *Controller) State() State { return c.machine.MustState().(State) }

// Ended reports whether the store holds a final end of the roll-out.
func (c *Controller) Ended() bool {
	return c.State() == StateCompleted || c.State() == StateRolledBack
}

// DoneSending reports whether announcements need no longer be sent: the order has ended, and daemons
// that were unreachable have had announcementGracePeriod to receive the last announcement.
func (c *Controller) DoneSending(now time.Time) bool {
	return c.Ended() && now.After(c.plan().Deadline.Add(announcementGracePeriod))
}

// Verdict returns the verdict on the evidence known to this daemon.
func (c *Controller) Verdict() Verdict { return c.verdict }

// Observe records a state of the order's object, nil for a deleted one. After any classification other
// than ClassificationSame and ClassificationOld the controller must not be used any further.
func (c *Controller) Observe(seen *Order) Classification { return c.decider.Observe(seen) }

// Answered records the answer to a write.
func (c *Controller) Answered(now time.Time, answer Answer) Classification {
	return c.decider.Answered(now, answer)
}

// Report records the evidence of a daemon, including this one.
func (c *Controller) Report(report Report) { c.reportSet.Record(report) }

// Hear records an announcement of another daemon.
func (c *Controller) Hear(now time.Time, announcement Announcement) {
	known, heard := c.announcements[announcement.Node]
	older := heard && (announcement.Incarnation < known.Incarnation ||
		(announcement.Incarnation == known.Incarnation && announcement.Sequence <= known.Sequence))
	if announcement.Order != c.Order().Identity || older {
		return
	}
	c.announcements[announcement.Node] = announcement
	c.orderedAt = earlier(c.orderedAt, now.Add(-announcement.Age))
	if announcement.Shifting > 0 {
		c.shiftStartedAt = earlier(c.shiftStartedAt, now.Add(-announcement.Shifting))
	}
}

// Lost discards the announcement of a daemon that restarted or whose link was lost.
func (c *Controller) Lost(node string) { delete(c.announcements, node) }

// Tick returns the decision for a view.
func (c *Controller) Tick(view View) Decision {
	c.steps = nil
	view.Warm = c.probeable(view)
	members := ranked(c.Order().Identity, view.Members)
	rank := slices.Index(members, c.node)
	if rank >= Deciders {
		rank = -1
	}
	c.adoptStoredEnd(view)
	c.adoptPeerPhase(view)
	if rank >= 0 {
		c.verdict = c.analyzer.Review(c.reportSet.Sum())
		c.decide(view)
	}
	c.takeLocalSteps(view)
	c.chooseProbed(view, members)
	decision := Decision{
		Steps: c.steps, Allocation: c.allocation(view), Announcement: c.announcement(view),
		Deciders: members[:min(Deciders, len(members))],
	}
	decision.Ask = rank >= 0 && c.needsStore(view)
	if write, due := c.decider.Want(view.Now, c.end(view), rank); due {
		decision.Write = &write
	}
	return decision
}

// plan returns the schedule of the order.
func (c *Controller) plan() Plan { return PlanFor(c.orderedAt, c.Order().Duration) }

// step fires a trigger and, if the state machine permits it, records the step with its figures.
func (c *Controller) step(view View, event trigger, reason Reason) {
	from := c.State()
	if !fire(c.machine, event) {
		return
	}
	order := c.Order()
	c.steps = append(c.steps, Step{
		Service: order.Service, Order: order.Identity, Revision: order.Revision, From: from, To: c.State(),
		Reason: reason, Verdict: c.verdict, TimeLeft: c.plan().Deadline.Sub(view.Now),
		Heard: c.reportSet.Reporters(view.Members), Members: len(view.Members), Warm: len(view.Warm), Old: view.Old,
	})
	if c.State() == StateShifting {
		c.shiftStartedAt = earlier(c.shiftStartedAt, view.Now)
	}
}

// InitialAllocation returns the allocation of an order before the first decision: all calls go to
// the new version if the store holds the order as completed, and none otherwise.
func InitialAllocation(order Order, barred []string) Allocation {
	allocation := Allocation{Order: order.Identity, ExcludedVersions: barred}
	if order.End() == EndCompleted {
		allocation.Share = 1
	}
	return allocation
}

// adoptStoredEnd adopts the end that the store holds.
func (c *Controller) adoptStoredEnd(view View) {
	switch c.Order().End() {
	case EndCompleted:
		c.step(view, triggerCompleted, ReasonStored)
	case EndRolledBack:
		c.step(view, triggerRolledBack, ReasonStored)
	}
}

// adoptPeerPhase adopts the most advanced phase announced by the other daemons.
func (c *Controller) adoptPeerPhase(view View) {
	farthest := PhaseProbing
	for _, announcement := range c.announcements {
		farthest = max(farthest, announcement.Phase)
	}
	switch farthest {
	case PhaseRollingBack:
		c.step(view, triggerRollBack, ReasonHeard)
	case PhaseShifting:
		c.step(view, triggerShift, ReasonHeard)
	}
}

// decide takes the steps that depend on evidence.
func (c *Controller) decide(view View) {
	switch {
	case c.tooShort:
		c.step(view, triggerRollBack, ReasonImpossible)
	case c.verdict.Opinion == OpinionBad:
		c.step(view, triggerRollBack, ReasonBad)
	case c.State() == StateWatching || c.State() == StateProbing:
		c.decideShift(view)
	case len(view.New) == 0 && view.Old > 0 && view.InstancesKnown && view.hasMajority():
		c.step(view, triggerRollBack, ReasonNoInstances)
	}
}

// decideShift begins the shift or the roll-back once the schedule requires it.
func (c *Controller) decideShift(view View) {
	plan := c.plan()
	quorum := 2*c.reportSet.Reporters(view.Members) > max(view.Known, len(view.Members))
	fresh := view.Now.Sub(view.StoreAnswered) <= maxStoreAge
	switch {
	case !quorum || !fresh:
	case view.sole() && !c.reportSet.HasOldAnswers():
		c.step(view, triggerShift, ReasonInForce)
	case view.Now.Before(plan.ShiftAt):
	case len(view.New) == 0:
		c.step(view, triggerRollBack, ReasonNoInstances)
	case len(view.Warm) == 0 && view.Now.Before(plan.LatestShiftAt):
	case c.verdict.unfavorable() && view.Now.Before(plan.LatestShiftAt):
	case c.verdict.Opinion == OpinionGood:
		c.step(view, triggerShift, ReasonGood)
	case c.verdict.TotalLogRatio >= rollBackLogRatio:
		c.step(view, triggerRollBack, ReasonLeansBad)
	default:
		c.step(view, triggerShift, ReasonUnjudged)
	}
}

// needsStore reports whether a newer answer of the store is required: the newest one is too old, and
// either the shift is near or the store may hold an end that this daemon does not know yet, such as a
// roll-back after it has moved its calls.
func (c *Controller) needsStore(view View) bool {
	if view.Now.Sub(view.StoreAnswered) <= maxStoreAge/2 {
		return false
	}
	switch c.State() {
	case StateWatching, StateProbing:
		return view.sole() || !view.Now.Before(c.plan().ShiftAt.Add(-maxStoreAge/2))
	case StateShifting, StateMoved, StateRollingBack:
		return true
	default:
		return false
	}
}

// takeLocalSteps takes the steps that every daemon takes on its own.
func (c *Controller) takeLocalSteps(view View) {
	if c.State() == StateWatching && len(view.Warm) > 0 {
		c.step(view, triggerProbe, ReasonInstances)
	}
	if c.State() == StateShifting && c.divertAnnounced {
		c.step(view, triggerMoved, ReasonMoved)
		c.movedAt = view.Now
	}
}

// shareInShift returns the new version's share during the shift. A daemon that learns of the shift
// late reaches the full share at the same time as the others.
func (c *Controller) shareInShift(view View) float64 {
	if !view.Now.Before(c.plan().CompletionAt) {
		return 1
	}
	share := c.plan().ShareInShift(c.probeShare, view.Now.Sub(c.shiftStartedAt))
	if c.shareHeld() {
		share = min(share, c.lastShare)
	}
	c.lastShare = max(share, c.probeShare)
	return c.lastShare
}

// shareHeld reports whether a decider has announced that every daemon must keep its share.
func (c *Controller) shareHeld() bool {
	for _, announcement := range c.announcements {
		if announcement.Holding {
			return true
		}
	}
	return c.holding()
}

// holding reports whether this daemon, as a decider, announces that every daemon must keep its
// share.
func (c *Controller) holding() bool { return c.State() == StateShifting && c.verdict.suspicious() }

// allocation returns the new version's share of this daemon's calls. A daemon that has announced
// that it sends no calls to the old version keeps to this until the store holds the end of the
// order.
func (c *Controller) allocation(view View) Allocation {
	allocation := Allocation{Order: c.Order().Identity, ExcludedVersions: view.Barred, OnlyVersion: view.sole()}
	switch c.State() {
	case StateProbing:
		allocation.Share = c.probeShare
	case StateShifting:
		allocation.Share = c.shareInShift(view)
	case StateMoved, StateCompleted:
		allocation.Share = 1
	case StateRollingBack:
		if c.divertAnnounced {
			allocation.Share = 1
		}
	}
	c.divertAnnounced = c.divertAnnounced || allocation.Share >= 1
	if allocation.Share < 1 {
		allocation.Probed = c.allowedInstances(view, allocation.Share)
	}
	return allocation
}

// announcement returns the announcement of this daemon. Its statement on the old version is true only
// once the allocation of the same decision is in force, so that must be applied first.
func (c *Controller) announcement(view View) Announcement {
	c.sequence++
	phase := PhaseProbing
	switch c.State() {
	case StateShifting, StateMoved, StateCompleted:
		phase = PhaseShifting
	case StateRollingBack, StateRolledBack:
		phase = PhaseRollingBack
	}
	shifting := time.Duration(0)
	if !c.shiftStartedAt.IsZero() {
		shifting = max(view.Now.Sub(c.shiftStartedAt), time.Millisecond)
	}
	diverted := c.divertAnnounced && c.State() != StateRolledBack
	return Announcement{
		Service: c.Order().Service, Node: c.node, Incarnation: c.incarnation, Sequence: c.sequence,
		Order: c.Order().Identity, Age: view.Now.Sub(c.orderedAt), Phase: phase, Shifting: shifting,
		Probed: c.Probed(), Holding: c.holding(), Diverted: diverted, Drained: diverted && c.State() == StateMoved && view.OldInFlight == 0,
	}
}

// end returns the end that the store should hold.
func (c *Controller) end(view View) End {
	switch {
	case c.State() == StateRollingBack || c.State() == StateRolledBack:
		return EndRolledBack
	case c.State() == StateCompleted:
		return EndCompleted
	case c.mayComplete(view):
		return EndCompleted
	default:
		return EndRunning
	}
}

// mayComplete reports whether every reachable daemon has moved its calls, so that the old instances
// may be stopped.
func (c *Controller) mayComplete(view View) bool {
	plan := c.plan()
	if c.State() != StateMoved || !view.hasMajority() || view.Now.Sub(c.movedAt) < confirmTime || view.Now.Before(plan.CompletionAt) {
		return false
	}
	waits := view.Now.Before(plan.DrainDeadline)
	if waits && (view.OldInFlight > 0 || c.verdict.suspicious()) {
		return false
	}
	for _, member := range view.Members {
		announcement, heard := c.announcements[member]
		if member == c.node {
			continue
		}
		if !heard || !announcement.Diverted || (waits && !announcement.Drained) {
			return false
		}
	}
	return true
}
