package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// Bounds of the controller.
const (
	// storeFresh is how recent the store's newest answer must be for a shift to begin: a
	// version that turns bad in the shift can be taken back only through the store.
	storeFresh = 2 * time.Second
	// quietAfter is how long after the deadline words go on: longer than a daemon that is cut
	// off may take to be in touch again.
	quietAfter = 10 * time.Second
	// warmUp is how long a new instance is known before it is probed: the daemon beside it may
	// have started with it, and takes this long to know the instances that it calls in turn.
	warmUp = 750 * time.Millisecond
	// allKnownFrom is the share from which each daemon sends to the new instances that it knows
	// itself: a decider may know about half of them.
	allKnownFrom = 0.5
	// confirmTime is how long all calls go to the new version at least before the end is
	// written.
	confirmTime = 500 * time.Millisecond
)

// leaningLimit is the sum from which an undecided test keeps the shift from beginning:
// ten to one against the version.
var leaningLimit = math.Log(10)

// Phase is how far a roll-out is as daemons tell each other. Of two the greater holds.
type Phase uint32

// Phases.
const (
	PhaseProbing Phase = iota
	PhaseShifting
	PhaseRollingBack
)

// Word is what a daemon tells every other one of a roll-out. It always holds the whole
// of it, so that the newest one is enough.
type Word struct {
	Service     string
	Node        string
	Incarnation uint64
	// Sequence rises with each word of the incarnation.
	Sequence uint64
	Order    Identity
	// Age is how long ago the order was given, as far as the daemon knows: the store
	// does not say.
	Age   time.Duration
	Phase Phase
	// Shifting is how long ago the shift began, 0 before it: the daemons move together,
	// also one that hears of it late.
	Shifting time.Duration
	// Probed are the instances that a decider has everyone probe.
	Probed []Probe
	// Holding is true while a decider has everyone keep its share in the shift, because what it
	// knows may become a conviction.
	Holding bool
	// Diverted is true once the daemon sends nothing to the old version and will not
	// again unless the store says that the order is rolled back or gone; Drained once
	// nothing is in flight there either.
	Diverted, Drained bool
}

// Probe is an instance that is probed, with the daemon beside it.
type Probe struct{ Instance, Node string }

// View is what a daemon knows at a moment.
type View struct {
	Now time.Time
	// Members are the daemons in touch, this one among them.
	Members []string
	// Known is the number of all daemons that are known to run, in touch or not.
	Known int
	// New are the instances of the version ordered, Warm those of them that are not
	// cold; Old is the number of instances of other versions that are not barred.
	New, Warm []string
	Old       int
	// Nodes gives the daemon beside each of the instances in Warm, and Serving is the number of
	// daemons that are known to run an instance of the service.
	Nodes   map[string]string
	Serving int
	// Barred are the versions of earlier orders that came to nothing.
	Barred []string
	// Settled is true once this daemon has had the time to hear of all instances.
	Settled bool
	// OldInFlight is the number of calls in flight at old instances.
	OldInFlight int
	// StoreAnswered is when the store last answered this daemon.
	StoreAnswered time.Time
}

// Decision is what follows from a view.
type Decision struct {
	Steps      []Step
	Allocation Allocation
	// Write is to be sent now; nil for none.
	Write *Write
	// Ask is true when the store is to be asked for the order now, because a step waits
	// for a newer answer of it.
	Ask bool
	// Word is to be told to all daemons, and the evidence to the Deciders.
	Word     Word
	Deciders []string
}

// Controller decides for one order on one daemon. It is not safe for concurrent use.
type Controller struct {
	node        string
	incarnation uint64
	sequence    uint64

	decider Decider
	machine *stateless.StateMachine
	judge   *Judge
	ledger  *Ledger
	words   map[string]Word
	verdict Verdict

	began   time.Time
	shifted time.Time
	moved   time.Time
	// probeShare is what the new version gets until the shift.
	probeShare float64
	// pledged is true once a word said that nothing goes to the old version.
	pledged bool
	// probed are the instances that are probed now.
	probed []Probe
	// lastShare is the newest share in the shift.
	lastShare float64
	// seen gives when each new instance was first seen warm.
	seen       map[string]time.Time
	impossible bool
	steps      []Step
}

// sole reports whether the version ordered is the only one there is.
func (v View) sole() bool { return v.Settled && v.Old == 0 && len(v.New) > 0 }

// majority reports whether more than half of all daemons are in touch: a daemon that is
// cut off from them does not decide for them.
func (v View) majority() bool { return 2*len(v.Members) > v.Known }

// NewController returns a controller for an order that this daemon heard of at began.
func NewController(node string, incarnation uint64, order Order, began time.Time) *Controller {
	return &Controller{
		node: node, incarnation: incarnation, decider: NewDecider(order), machine: newMachine(),
		judge: NewJudge(), ledger: NewLedger(order.Identity), words: map[string]Word{}, seen: map[string]time.Time{},
		began: began, probeShare: ProbeShare, impossible: order.Duration < LeastDuration,
	}
}

// Order returns the order as it is known.
func (c *Controller) Order() Order { return c.decider.Order() }

// State returns where the roll-out stands here.
func (c *Controller) State() State { return c.machine.MustState().(State) }

// Ended reports whether the roll-out has an end in the store.
func (c *Controller) Ended() bool {
	return c.State() == StateCompleted || c.State() == StateRolledBack
}

// Quiet reports whether nothing needs to be told any more: the order has ended, and those
// that could not be told at once have had the time to hear.
func (c *Controller) Quiet(now time.Time) bool {
	return c.Ended() && now.After(c.plan().Deadline.Add(quietAfter))
}

// Verdict returns what the evidence known here says.
func (c *Controller) Verdict() Verdict { return c.verdict }

// Observe takes in a state of the order's object, nil for one taken away. After any
// other reading than ReadingSame and ReadingOld the controller is of no more use.
func (c *Controller) Observe(seen *Order) Reading { return c.decider.Observe(seen) }

// Answered takes in what became of a write.
func (c *Controller) Answered(now time.Time, answer Answer) Reading {
	return c.decider.Answered(now, answer)
}

// Report takes in what a daemon has seen, this one included.
func (c *Controller) Report(report Report) { c.ledger.Take(report) }

// Hear takes in a word of another daemon.
func (c *Controller) Hear(now time.Time, word Word) {
	known, heard := c.words[word.Node]
	older := heard && (word.Incarnation < known.Incarnation ||
		(word.Incarnation == known.Incarnation && word.Sequence <= known.Sequence))
	if word.Order != c.Order().Identity || older {
		return
	}
	c.words[word.Node] = word
	c.began = earlier(c.began, now.Add(-word.Age))
	if word.Shifting > 0 {
		c.shifted = earlier(c.shifted, now.Add(-word.Shifting))
	}
}

// earlier returns the earlier of two times; the first may be zero, which is none.
func earlier(known, heard time.Time) time.Time {
	if known.IsZero() || heard.Before(known) {
		return heard
	}
	return known
}

// Lost forgets what a daemon said, whose link is lost or which started again.
func (c *Controller) Lost(node string) { delete(c.words, node) }

// Tick decides what follows from a view.
func (c *Controller) Tick(view View) Decision {
	c.steps = nil
	view.Warm = c.warmedUp(view)
	members := ranked(c.Order().Identity, view.Members)
	rank := slices.Index(members, c.node)
	if rank >= Deciders {
		rank = -1
	}
	c.followStore(view)
	c.followWords(view)
	if rank >= 0 {
		c.verdict = c.judge.Review(c.ledger.Sum())
		c.decide(view)
	}
	c.move(view)
	c.chooseProbed(view, members)
	decision := Decision{
		Steps: c.steps, Allocation: c.allocation(view), Word: c.word(view),
		Deciders: members[:min(Deciders, len(members))],
	}
	decision.Ask = rank >= 0 && c.needsStore(view)
	if write, due := c.decider.Want(view.Now, c.end(view), rank); due {
		decision.Write = &write
	}
	return decision
}

// warmedUp returns the warm instances of the new version that are known for long enough to be
// probed, all of them once the shift is due.
func (c *Controller) warmedUp(view View) []string {
	var known []string
	for _, instance := range view.Warm {
		since, ok := c.seen[instance]
		if !ok {
			since = view.Now
			c.seen[instance] = since
		}
		if view.Now.Sub(since) >= warmUp || !view.Now.Before(c.plan().ShiftAt) {
			known = append(known, instance)
		}
	}
	return known
}

// plan returns the times of the order.
func (c *Controller) plan() Plan { return PlanFor(c.began, c.Order().Duration) }

// step fires a trigger, and keeps the step with its figures if it was permitted.
func (c *Controller) step(view View, event trigger, reason Reason) {
	from := c.State()
	if !fire(c.machine, event) {
		return
	}
	order := c.Order()
	c.steps = append(c.steps, Step{
		Service: order.Service, Order: order.Identity, Revision: order.Revision, From: from, To: c.State(),
		Reason: reason, Verdict: c.verdict, Left: c.plan().Deadline.Sub(view.Now),
		Heard: c.ledger.Heard(view.Members), Members: len(view.Members), Warm: len(view.Warm), Old: view.Old,
	})
	if c.State() == StateShifting {
		c.shifted = earlier(c.shifted, view.Now)
	}
}

// InitialAllocation returns what the new version gets of an order's calls before the first
// decision: everything where the store says that it is completed.
func InitialAllocation(order Order, barred []string) Allocation {
	allocation := Allocation{Order: order.Identity, Barred: barred}
	if order.End() == EndCompleted {
		allocation.Share = 1
	}
	return allocation
}

// followStore takes over the end that the store has.
func (c *Controller) followStore(view View) {
	switch c.Order().End() {
	case EndCompleted:
		c.step(view, triggerCompleted, ReasonStored)
	case EndRolledBack:
		c.step(view, triggerRolledBack, ReasonStored)
	}
}

// followWords joins the daemon that is farthest.
func (c *Controller) followWords(view View) {
	farthest := PhaseProbing
	for _, word := range c.words {
		farthest = max(farthest, word.Phase)
	}
	switch farthest {
	case PhaseRollingBack:
		c.step(view, triggerRollBack, ReasonHeard)
	case PhaseShifting:
		c.step(view, triggerShift, ReasonHeard)
	}
}

// decide begins the steps that rest on evidence.
func (c *Controller) decide(view View) {
	switch {
	case c.impossible:
		c.step(view, triggerRollBack, ReasonImpossible)
	case c.verdict.Opinion == OpinionBad:
		c.step(view, triggerRollBack, ReasonBad)
	case c.State() == StateWatching || c.State() == StateProbing:
		c.decideShift(view)
	case len(view.New) == 0 && view.Old > 0 && view.Settled && view.majority():
		c.step(view, triggerRollBack, ReasonNoInstances)
	}
}

// decideShift begins the shift when the time left demands it, or calls it off.
func (c *Controller) decideShift(view View) {
	plan := c.plan()
	quorum := 2*c.ledger.Heard(view.Members) > max(view.Known, len(view.Members))
	fresh := view.Now.Sub(view.StoreAnswered) <= storeFresh
	switch {
	case !quorum || !fresh:
	case view.sole() && !c.ledger.SawOld():
		c.step(view, triggerShift, ReasonInForce)
	case view.Now.Before(plan.ShiftAt):
	case len(view.New) == 0:
		c.step(view, triggerRollBack, ReasonNoInstances)
	case len(view.Warm) == 0 && view.Now.Before(plan.ShiftLatest):
	case c.verdict.speaksAgainst() && view.Now.Before(plan.ShiftLatest):
	case c.verdict.Opinion == OpinionGood:
		c.step(view, triggerShift, ReasonGood)
	case c.verdict.Leaning >= leaningLimit:
		c.step(view, triggerRollBack, ReasonLeansBad)
	default:
		c.step(view, triggerShift, ReasonUnjudged)
	}
}

// needsStore reports whether the shift is near and the store's newest answer too old, or
// a moved daemon waits for the store's word on a roll-back.
func (c *Controller) needsStore(view View) bool {
	if view.Now.Sub(view.StoreAnswered) <= storeFresh/2 {
		return false
	}
	switch c.State() {
	case StateWatching, StateProbing:
		return view.sole() || !view.Now.Before(c.plan().ShiftAt.Add(-storeFresh/2))
	case StateShifting, StateMoved, StateRollingBack:
		return true
	default:
		return false
	}
}

// move takes the steps that every daemon takes by itself.
func (c *Controller) move(view View) {
	if c.State() == StateWatching && len(view.Warm) > 0 {
		c.step(view, triggerProbe, ReasonInstances)
	}
	if c.State() == StateShifting && c.pledged {
		c.step(view, triggerMoved, ReasonMoved)
		c.moved = view.Now
	}
}

// shareInShift returns the share in the shift. A daemon that heard of it late is no later than the
// others at its end.
func (c *Controller) shareInShift(view View) float64 {
	if !view.Now.Before(c.plan().SettledAt) {
		return 1
	}
	share := c.plan().ShareInShift(c.probeShare, view.Now.Sub(c.shifted))
	if c.held() {
		share = min(share, c.lastShare)
	}
	c.lastShare = max(share, c.probeShare)
	return c.lastShare
}

// held reports whether a decider has everyone keep its share.
func (c *Controller) held() bool {
	for _, word := range c.words {
		if word.Holding {
			return true
		}
	}
	return c.holding()
}

// holding reports whether this daemon, as a decider, has everyone keep its share.
func (c *Controller) holding() bool { return c.State() == StateShifting && c.verdict.suspicious() }

// allocation returns what the new version gets here. A daemon that has said that it sends
// nothing to the old version keeps to it until the store says how the order ended.
func (c *Controller) allocation(view View) Allocation {
	allocation := Allocation{Order: c.Order().Identity, Barred: view.Barred, Sole: view.sole()}
	switch c.State() {
	case StateProbing:
		allocation.Share = c.probeShare
	case StateShifting:
		allocation.Share = c.shareInShift(view)
	case StateMoved, StateCompleted:
		allocation.Share = 1
	case StateRollingBack:
		if c.pledged {
			allocation.Share = 1
		}
	}
	c.pledged = c.pledged || allocation.Share >= 1
	if allocation.Share < 1 {
		allocation.Probed = c.allowed(view, allocation.Share)
	}
	return allocation
}

// chooseProbed takes over the instances that the first decider names, of which each daemon may
// know others; the first decider, and a daemon that has not heard of it, choose themselves.
func (c *Controller) chooseProbed(view View, members []string) {
	for _, decider := range members[:min(Deciders, len(members))] {
		if decider == c.node {
			break
		}
		if word, heard := c.words[decider]; heard && len(word.Probed) > 0 {
			c.probed = word.Probed
			return
		}
	}
	turn := int(view.Now.Sub(c.began) / probeTurn)
	choose, share := Probed, c.probeShare
	if c.State() == StateShifting {
		share = c.shareInShift(view)
	}
	if c.State() == StateShifting || turn%2 == 0 {
		choose = SpreadProbed
	}
	c.probed = nil
	for _, instance := range choose(c.Order().Identity, view.Warm, view.ofVersion(), share, turn) {
		c.probed = append(c.probed, Probe{Instance: instance, Node: view.Nodes[instance]})
	}
}

// ofVersion estimates how many instances the new version has, where daemons are known whose
// instances are not.
func (v View) ofVersion() int {
	known := len(v.Warm) + v.Old
	if known == 0 {
		return 0
	}
	return max(len(v.Warm), len(v.Warm)*v.Serving/known)
}

// allowed returns the instances of the new version that get calls at a share: those that are
// probed, and towards the end of the shift all that are known here.
func (c *Controller) allowed(view View, share float64) []string {
	if c.State() == StateShifting && share >= allKnownFrom {
		return view.Warm
	}
	instances := make([]string, 0, len(c.probed))
	for _, probe := range c.probed {
		instances = append(instances, probe.Instance)
	}
	return instances
}

// Probed returns the instances that are probed now, none where not all that get calls are named.
func (c *Controller) Probed() []Probe {
	if c.State() != StateProbing && c.State() != StateShifting {
		return nil
	}
	return c.probed
}

// word returns what this daemon tells the others. What it says of the old version holds
// once the allocation of the same decision is in force, which comes first.
func (c *Controller) word(view View) Word {
	c.sequence++
	phase := PhaseProbing
	switch c.State() {
	case StateShifting, StateMoved, StateCompleted:
		phase = PhaseShifting
	case StateRollingBack, StateRolledBack:
		phase = PhaseRollingBack
	}
	shifting := time.Duration(0)
	if !c.shifted.IsZero() {
		shifting = max(view.Now.Sub(c.shifted), time.Millisecond)
	}
	diverted := c.pledged && c.State() != StateRolledBack
	return Word{
		Service: c.Order().Service, Node: c.node, Incarnation: c.incarnation, Sequence: c.sequence,
		Order: c.Order().Identity, Age: view.Now.Sub(c.began), Phase: phase, Shifting: shifting,
		Probed: c.Probed(), Holding: c.holding(), Diverted: diverted, Drained: diverted && c.State() == StateMoved && view.OldInFlight == 0,
	}
}

// end returns the end that the store should have.
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

// mayComplete reports whether every daemon in touch has moved, so that the old instances
// may stop.
func (c *Controller) mayComplete(view View) bool {
	plan := c.plan()
	if c.State() != StateMoved || !view.majority() || view.Now.Sub(c.moved) < confirmTime || view.Now.Before(plan.SettledAt) {
		return false
	}
	waits := view.Now.Before(plan.LastMoment)
	if waits && (view.OldInFlight > 0 || c.verdict.suspicious()) {
		return false
	}
	for _, member := range view.Members {
		word, heard := c.words[member]
		if member == c.node {
			continue
		}
		if !heard || !word.Diverted || (waits && !word.Drained) {
			return false
		}
	}
	return true
}
