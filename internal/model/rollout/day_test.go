package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// The model: daemons that send calls of three routes to the instances of one service,
// tell each other words and reports with a delay, and write to a store that loses
// answers. Time is virtual and goes on in steps.
const (
	dayStep     = 50 * time.Millisecond
	dayTick     = 2
	dayDaemons  = 6
	dayZones    = 3
	dayDuration = 30 * time.Second
	// daySpeed is the ratio of the slowest instance's time to the fastest one's.
	daySpeed = 1.6
	// dayAfter is how long a day goes on after the deadline.
	dayAfter = 3 * time.Second
)

// fault is what is wrong with the new version; the zero value is a good one.
type fault struct {
	// failing and slow are the shares of answers that fail and that take slowTimes as long.
	failing, slow float64
	// after is when it starts.
	after time.Duration
	// route is the only one that it strikes; empty for all.
	route string
	// load is the number of calls in flight at an instance from which it strikes.
	load int
}

const slowTimes = 4

// scenario is one kind of day.
type scenario struct {
	name      string
	bad       func(random *rand.Rand) fault
	instances int
	// coldFor is how long the new instances are cold and slow after they start.
	coldFor time.Duration
	// greyZone makes the instances of one zone fail this share, of whichever version.
	greyZone float64
	// greyInstance makes one new instance fail this share although the version is good.
	greyInstance float64
	// noInstances keeps the new instances from starting; storeFaults loses answers.
	noInstances bool
	storeFaults bool
	restarts    bool
	// slowToHear is how much later the daemon of the last rank hears every word.
	slowToHear time.Duration
	variant    variant
}

// variant is what a broken daemon does.
type variant struct {
	// deafToTime judges on failures alone; takesBack goes back to the old version on its
	// own judgement after it moved; early says from the start that it has moved;
	// slack is a number of calls that each daemon allows itself.
	deafToTime, takesBack, early bool
	slack                        int
}

// dayRoute is one kind of call.
type dayRoute struct {
	name      string
	perSecond float64
	median    time.Duration
}

// The mix of the users' sheets at a smaller scale: two usual routes and a rare one.
var dayRoutes = []dayRoute{
	{"dock-status", 140, 200 * time.Millisecond},
	{"unlock-charge", 140, 250 * time.Millisecond},
	{"depot-upload", 20, 230 * time.Millisecond},
}

// dayInstance is one instance of the model.
type dayInstance struct {
	endpoint *lapisv1.Endpoint
	isNew    bool
	speed    float64
	running  int
	failing  float64
}

// ending is the end of a call.
type ending struct {
	daemon   *dayDaemon
	traffic  *Traffic
	attempt  Attempt
	instance *dayInstance
	failed   bool
	cold     bool
	taken    time.Duration
}

// dayDaemon is one daemon of the model.
type dayDaemon struct {
	name        string
	zone        string
	incarnation uint64
	controller  *Controller
	traffic     *Traffic
	sequence    uint64
	ownSlack    int
	deciders    []string
	told        Word
	toldAt      time.Time
	reportedAt  time.Time
}

// day is one run of the model.
type day struct {
	scenario scenario
	random   *rand.Rand
	fault    fault
	start    time.Time
	step     int
	daemons  []*dayDaemon
	old, new []*dayInstance
	endings  map[int][]ending
	messages map[int][]func()
	store    Order
	result   dayResult
}

// dayResult is what a day came to.
type dayResult struct {
	end              End
	endAfter         time.Duration
	newSent, allSent int
	exposure, bound  float64
	// worstOver is by how much the calls of the new version exceeded the bound at worst
	// before the shift.
	worstOver                 float64
	bad                       int
	firstBad, fiftieth        time.Duration
	lastNew                   time.Duration
	oldAfterCompleted, cutOff int
	reverted                  bool
	steps                     []Step
}

func playDay(s scenario, seed uint64) dayResult {
	d := &day{
		scenario: s, random: rand.New(rand.NewPCG(seed, 21)), start: time.Unix(1_000_000, 0),
		endings: map[int][]ending{}, messages: map[int][]func(){},
	}
	if s.bad != nil {
		d.fault = s.bad(d.random)
	}
	d.build()
	last := int((dayDuration + dayAfter) / dayStep)
	for d.step = 0; d.step < last; d.step++ {
		d.play()
	}
	return d.result
}

func (d *day) now() time.Time         { return d.start.Add(time.Duration(d.step) * dayStep) }
func (d *day) elapsed() time.Duration { return time.Duration(d.step) * dayStep }
func (d *day) later(steps int, f func()) {
	d.messages[d.step+max(steps, 1)] = append(d.messages[d.step+max(steps, 1)], f)
}

func (d *day) build() {
	d.store = Order{Service: "desk", Identity: Identity{Created: 7, Target: "v2", Duration: dayDuration}, Revision: 7}
	count := max(d.scenario.instances, 10)
	for index := range 2 * count {
		isNew, version := index >= count, "v1"
		if isNew {
			version = "v2"
		}
		instance := &dayInstance{
			endpoint: &lapisv1.Endpoint{Instance: fmt.Sprint("i-", index), Zone: fmt.Sprint("z-", index%dayZones), Version: version},
			isNew:    isNew, speed: 1 + (daySpeed-1)*d.random.Float64(),
		}
		if index%dayZones == 0 {
			instance.failing = d.scenario.greyZone
		}
		if isNew {
			d.new = append(d.new, instance)
		} else {
			d.old = append(d.old, instance)
		}
	}
	if d.scenario.greyInstance > 0 {
		// The one that is probed first.
		names := d.names(d.new)
		probed := Probed(d.store.Identity, names, len(names), ProbeShare, 0)
		for _, instance := range d.new {
			if instance.endpoint.GetInstance() == probed[0] {
				instance.failing = d.scenario.greyInstance
			}
		}
	}
	for index := range dayDaemons {
		daemon := &dayDaemon{name: fmt.Sprint("d-", index), zone: fmt.Sprint("z-", index%dayZones)}
		d.startDaemon(daemon)
		d.daemons = append(d.daemons, daemon)
	}
}

func (d *day) startDaemon(daemon *dayDaemon) {
	daemon.incarnation++
	daemon.sequence = 0
	daemon.deciders = nil
	daemon.told = Word{}
	daemon.ownSlack = d.scenario.variant.slack
	daemon.controller = NewController(daemon.name, daemon.incarnation, d.store, d.now())
	daemon.traffic = NewTraffic(d.store.Identity)
	daemon.traffic.Apply(InitialAllocation(d.store, nil))
}

// names returns the names of instances.
func (d *day) names(instances []*dayInstance) []string {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.endpoint.GetInstance())
	}
	return names
}

// newUp returns the new instances that have started, in the first seconds of the order.
func (d *day) newUp() []*dayInstance {
	if d.scenario.noInstances {
		return nil
	}
	up := int(d.elapsed() / (200 * time.Millisecond))
	return d.new[:min(up, len(d.new))]
}

func (d *day) coldNow() bool { return d.elapsed() < d.scenario.coldFor }

func (d *day) play() {
	for _, do := range d.messages[d.step] {
		do()
	}
	delete(d.messages, d.step)
	for _, ended := range d.endings[d.step] {
		d.end(ended)
	}
	delete(d.endings, d.step)
	if d.scenario.restarts && d.step%97 == 50 {
		restarted := d.daemons[d.random.IntN(len(d.daemons))]
		for _, other := range d.daemons {
			other.controller.Lost(restarted.name)
		}
		d.startDaemon(restarted)
	}
	for index, daemon := range d.daemons {
		d.send(daemon)
		if (d.step+index)%dayTick == 0 {
			d.tick(daemon)
		}
	}
	d.account()
}

// account keeps the sums of the time until the deadline.
func (d *day) account() {
	if d.elapsed() > dayDuration {
		return
	}
	d.result.exposure = float64(d.result.newSent)
	d.result.bound = ExposureShare*float64(d.result.allSent) + 50
	if d.now().Before(PlanFor(d.start, dayDuration).ShiftAt) {
		d.result.worstOver = max(d.result.worstOver, d.result.exposure-d.result.bound)
	}
}

func (d *day) end(ended ending) {
	ended.instance.running--
	// A call of a daemon that started again since was lost with its process.
	present := ended.traffic == ended.daemon.traffic
	if d.store.End() == EndCompleted && !ended.instance.isNew && present {
		d.result.cutOff++
	}
	ended.traffic.Answered(ended.attempt, ended.failed, ended.cold, ended.taken, d.now())
}

// poisson draws the number of arrivals.
func (d *day) poisson(mean float64) int {
	count, product, limit := 0, d.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= d.random.Float64()
	}
	return count
}

func (d *day) send(daemon *dayDaemon) {
	for _, route := range dayRoutes {
		for range d.poisson(route.perSecond / dayDaemons * dayStep.Seconds()) {
			d.call(daemon, route)
		}
	}
}

// call sends one call as a request path does.
func (d *day) call(daemon *dayDaemon, route dayRoute) {
	required, probe := daemon.traffic.Choose(route.name)
	if daemon.ownSlack > 0 && !probe && len(d.newUp()) > 0 {
		daemon.ownSlack--
		d.result.newSent++
		d.result.allSent++
		return
	}
	instance := d.pick(required)
	if instance == nil && probe {
		instance = d.pick(daemon.traffic.Return(route.name))
	}
	if instance == nil {
		return
	}
	attempt, ok := daemon.traffic.Begin(route.name, instance.endpoint, d.now())
	if !ok {
		return
	}
	d.begin(daemon, route, instance, attempt)
}

// pick chooses the less busy one of two instances that a constraint allows.
func (d *day) pick(required Choice) *dayInstance {
	var allowed []*dayInstance
	for _, instance := range d.old {
		if required.Allows(instance.endpoint) {
			allowed = append(allowed, instance)
		}
	}
	for _, instance := range d.newUp() {
		if required.Allows(instance.endpoint) {
			allowed = append(allowed, instance)
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	first, second := allowed[d.random.IntN(len(allowed))], allowed[d.random.IntN(len(allowed))]
	if second.running < first.running {
		return second
	}
	return first
}

func (d *day) begin(daemon *dayDaemon, route dayRoute, instance *dayInstance, attempt Attempt) {
	d.result.allSent++
	if instance.isNew {
		d.result.newSent++
		d.result.lastNew = d.elapsed()
	} else if d.store.End() == EndCompleted {
		d.result.oldAfterCompleted++
	}
	instance.running++
	if instance.isNew && d.coldNow() {
		daemon.traffic.Cold(attempt)
	}
	cold := instance.isNew && d.coldNow()
	failed := d.random.Float64() < instance.failing
	taken := time.Duration(float64(route.median) * instance.speed * math.Exp(0.35*d.random.NormFloat64()))
	if cold {
		taken *= slowTimes
	}
	if instance.isNew && d.struck(route, instance) {
		bad := false
		if d.random.Float64() < d.fault.failing {
			failed, bad = true, true
		}
		if d.random.Float64() < d.fault.slow {
			taken *= slowTimes
			bad = true
		}
		if bad {
			d.result.bad++
			if d.result.bad == 1 {
				d.result.firstBad = d.elapsed() + taken
			}
			if d.result.bad == 50 {
				d.result.fiftieth = d.elapsed() + taken
			}
		}
	}
	at := d.step + max(int(taken/dayStep), 1)
	d.endings[at] = append(d.endings[at], ending{daemon, daemon.traffic, attempt, instance, failed, cold, taken})
}

// struck reports whether the version's fault strikes a call.
func (d *day) struck(route dayRoute, instance *dayInstance) bool {
	f := d.fault
	return d.elapsed() >= f.after && (f.route == "" || f.route == route.name) && instance.running >= f.load
}

func (d *day) tick(daemon *dayDaemon) {
	if slices.Contains(daemon.deciders, daemon.name) {
		daemon.controller.Report(d.report(daemon))
	}
	decision := daemon.controller.Tick(d.view(daemon))
	daemon.deciders = decision.Deciders
	if d.scenario.variant.takesBack && daemon.controller.State() == StateRollingBack {
		decision.Allocation.Share = 0
	}
	if d.scenario.variant.early {
		decision.Word.Diverted, decision.Word.Drained = true, true
	}
	daemon.traffic.Apply(decision.Allocation)
	d.result.steps = append(d.result.steps, decision.Steps...)
	d.spread(daemon, decision)
	if decision.Write != nil {
		d.write(daemon, *decision.Write)
	}
}

// report returns what a daemon has seen.
func (d *day) report(daemon *dayDaemon) Report {
	daemon.sequence++
	evidence := daemon.traffic.Evidence(d.now())
	if d.scenario.variant.deafToTime {
		for key, counts := range evidence {
			counts.Times = [timeClasses]uint32{}
			evidence[key] = counts
		}
	}
	return Report{
		Order: daemon.controller.Order().Identity, Node: daemon.name, Incarnation: daemon.incarnation,
		Sequence: daemon.sequence, Evidence: evidence,
	}
}

func (d *day) view(daemon *dayDaemon) View {
	view := View{
		Now: d.now(), Known: len(d.daemons), Old: len(d.old), OldInFlight: daemon.traffic.OldInFlight(), StoreAnswered: d.now(), Settled: true,
		New: d.names(d.newUp()),
	}
	if !d.coldNow() {
		view.Warm = view.New
	}
	for _, member := range d.daemons {
		view.Members = append(view.Members, member.name)
	}
	return view
}

// spread tells a word to all and a report to the deciders when the runner would, late by
// up to four steps.
func (d *day) spread(daemon *dayDaemon, decision Decision) {
	if daemon.controller.Quiet(d.now()) {
		return
	}
	word := decision.Word
	tells := word.Changed(daemon.told) || d.now().Sub(daemon.toldAt) >= WordEvery
	if tells {
		daemon.told, daemon.toldAt = word, d.now()
	}
	reports := !daemon.controller.Ended() && d.now().Sub(daemon.reportedAt) >= ReportEvery
	var report Report
	if reports {
		daemon.reportedAt = d.now()
		report = d.report(daemon)
	}
	for _, other := range d.daemons {
		if other == daemon {
			continue
		}
		delay := 1 + d.random.IntN(4)
		if other == d.lastRanked() {
			delay += int(d.scenario.slowToHear / dayStep)
		}
		if tells {
			d.later(delay, func() { other.controller.Hear(d.now(), word) })
		}
		if reports && slices.Contains(decision.Deciders, other.name) {
			d.later(1+d.random.IntN(4), func() { other.controller.Report(report) })
		}
	}
}

// lastRanked returns the daemon of the last rank, which decides nothing.
func (d *day) lastRanked() *dayDaemon {
	names := make([]string, 0, len(d.daemons))
	for _, daemon := range d.daemons {
		names = append(names, daemon.name)
	}
	last := ranked(d.store.Identity, names)[len(names)-1]
	return d.daemons[slices.Index(names, last)]
}

// write does a conditional write; the store may lose its answer, and do it late.
func (d *day) write(daemon *dayDaemon, write Write) {
	controller := daemon.controller
	answer := func(outcome Outcome) {
		var seen *Order
		if outcome == OutcomeDone || outcome == OutcomeConflict {
			shown := d.store
			seen = &shown
		}
		controller.Answered(d.now(), Answer{Write: write, Outcome: outcome, Seen: seen})
	}
	lost := d.scenario.storeFaults && d.random.Float64() < 0.3
	late := d.scenario.storeFaults && d.random.Float64() < 0.3
	delay := 1
	if late {
		delay = 20
	}
	d.later(delay, func() {
		outcome := d.apply(write)
		if !lost {
			answer(outcome)
		}
	})
	if lost {
		d.later(30, func() { answer(OutcomeUnknown) })
	}
}

// apply does a write in the store and shows it to every daemon a little later.
func (d *day) apply(write Write) Outcome {
	if write.Revision != d.store.Revision {
		return OutcomeConflict
	}
	if d.store.End().Final() {
		d.result.reverted = true
	}
	d.store.Revision++
	d.store.Status = write.Status
	if d.store.End().Final() {
		d.result.end, d.result.endAfter = d.store.End(), d.elapsed()
	}
	shown := d.store
	for _, daemon := range d.daemons {
		d.later(1+d.random.IntN(6), func() { daemon.controller.Observe(&shown) })
	}
	return OutcomeDone
}
