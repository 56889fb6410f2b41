package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// The simulation: daemons send calls on three routes to the instances of one service, exchange
// announcements and reports with a delay, and write to a store that loses answers. Time is virtual and
// advances in steps.
const (
	simStep     = 50 * time.Millisecond
	simTick     = 2
	simDaemons  = 6
	simZones    = 3
	simDuration = 30 * time.Second
	// simSpeed is the ratio of the slowest instance's service time to the fastest one's.
	simSpeed = 1.6
	// simAfter is the simulated time after the deadline.
	simAfter = 3 * time.Second
)

// fault is the fault of the new version; the zero value is a good version.
type fault struct {
	// failing is the share of answers that fail, and slow the share that takes slowTimes as long.
	failing, slow float64
	// after is the time from which the fault is present.
	after time.Duration
	// route is the only affected route, or empty for all routes.
	route string
	// load is the minimum number of calls in flight at an instance at which the fault shows.
	load int
}

const slowTimes = 4

// scenario configures a simulation.
type scenario struct {
	name      string
	bad       func(random *rand.Rand) fault
	instances int
	// coldFor is the time for which the new instances are cold and slow after their start.
	coldFor time.Duration
	// greyZone is the share of calls that fail at the instances of one zone, of both versions.
	greyZone float64
	// greyInstance is the share of calls that fail at one new instance, although the version is
	// good.
	greyInstance float64
	// noInstances prevents the new instances from starting. storeFaults makes the store lose
	// answers.
	noInstances bool
	storeFaults bool
	restarts    bool
	// announcementDelay is the additional delay of every announcement to the daemon of the last rank.
	announcementDelay time.Duration
	variant           variant
}

// variant configures a faulty implementation of a daemon.
type variant struct {
	// ignoresTimes tests for failures only. revertsAlone moves calls back to the old version
	// without the stored end. announcesEarly announces from the start that all calls have moved.
	// slack is the number of calls that each daemon sends beyond its share.
	ignoresTimes, revertsAlone, announcesEarly bool
	slack                                      int
}

// simRoute is one kind of call.
type simRoute struct {
	name      string
	perSecond float64
	median    time.Duration
}

// Two frequent routes and a rare one, in the proportions of the users' traffic at a smaller scale.
var simRoutes = []simRoute{
	{"dock-status", 140, 200 * time.Millisecond},
	{"unlock-charge", 140, 250 * time.Millisecond},
	{"depot-upload", 20, 230 * time.Millisecond},
}

// simInstance is a simulated instance.
type simInstance struct {
	endpoint *lapisv1.Endpoint
	isNew    bool
	speed    float64
	running  int
	failing  float64
}

// ending is the scheduled end of a call.
type ending struct {
	daemon   *simDaemon
	traffic  *Traffic
	attempt  Attempt
	instance *simInstance
	failed   bool
	cold     bool
	taken    time.Duration
}

// simDaemon is a simulated daemon.
type simDaemon struct {
	name               string
	zone               string
	incarnation        uint64
	controller         *Controller
	traffic            *Traffic
	sequence           uint64
	ownSlack           int
	deciders           []string
	lastAnnouncement   Announcement
	lastAnnouncementAt time.Time
	reportedAt         time.Time
}

// simulation is one run of a scenario.
type simulation struct {
	scenario scenario
	random   *rand.Rand
	fault    fault
	start    time.Time
	step     int
	daemons  []*simDaemon
	old, new []*simInstance
	endings  map[int][]ending
	messages map[int][]func()
	store    Order
	result   simResult
}

// simResult holds the figures of one run.
type simResult struct {
	end              End
	endAfter         time.Duration
	newSent, allSent int
	exposure, bound  float64
	// worstOver is the maximum by which the calls of the new version exceeded the bound before the
	// shift.
	worstOver                 float64
	bad                       int
	firstBad, fiftieth        time.Duration
	lastNew                   time.Duration
	oldAfterCompleted, cutOff int
	reverted                  bool
	steps                     []Step
}

func runSimulation(s scenario, seed uint64) simResult {
	d := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(seed, 21)), start: time.Unix(1_000_000, 0),
		endings: map[int][]ending{}, messages: map[int][]func(){},
	}
	if s.bad != nil {
		d.fault = s.bad(d.random)
	}
	d.build()
	last := int((simDuration + simAfter) / simStep)
	for d.step = 0; d.step < last; d.step++ {
		d.play()
	}
	return d.result
}

func (d *simulation) now() time.Time         { return d.start.Add(time.Duration(d.step) * simStep) }
func (d *simulation) elapsed() time.Duration { return time.Duration(d.step) * simStep }
func (d *simulation) later(steps int, f func()) {
	d.messages[d.step+max(steps, 1)] = append(d.messages[d.step+max(steps, 1)], f)
}

func (d *simulation) build() {
	d.store = Order{Service: "desk", Identity: Identity{Created: 7, Target: "v2", Duration: simDuration}, Revision: 7}
	count := max(d.scenario.instances, 10)
	for index := range 2 * count {
		isNew, version := index >= count, "v1"
		if isNew {
			version = "v2"
		}
		instance := &simInstance{
			endpoint: &lapisv1.Endpoint{Instance: fmt.Sprint("i-", index), Zone: fmt.Sprint("z-", index%simZones), Version: version},
			isNew:    isNew, speed: 1 + (simSpeed-1)*d.random.Float64(),
		}
		if index%simZones == 0 {
			instance.failing = d.scenario.greyZone
		}
		if isNew {
			d.new = append(d.new, instance)
		} else {
			d.old = append(d.old, instance)
		}
	}
	if d.scenario.greyInstance > 0 {
		// The fault is in the instance that is probed first.
		names := d.names(d.new)
		probed := Probed(d.store.Identity, names, len(names), ProbeShare, 0)
		for _, instance := range d.new {
			if instance.endpoint.GetInstance() == probed[0] {
				instance.failing = d.scenario.greyInstance
			}
		}
	}
	for index := range simDaemons {
		daemon := &simDaemon{name: fmt.Sprint("d-", index), zone: fmt.Sprint("z-", index%simZones)}
		d.startDaemon(daemon)
		d.daemons = append(d.daemons, daemon)
	}
}

func (d *simulation) startDaemon(daemon *simDaemon) {
	daemon.incarnation++
	daemon.sequence = 0
	daemon.deciders = nil
	daemon.lastAnnouncement = Announcement{}
	daemon.ownSlack = d.scenario.variant.slack
	daemon.controller = NewController(daemon.name, daemon.incarnation, d.store, d.now())
	daemon.traffic = NewTraffic(d.store.Identity)
	daemon.traffic.Apply(InitialAllocation(d.store, nil))
}

// names returns the names of instances.
func (d *simulation) names(instances []*simInstance) []string {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.endpoint.GetInstance())
	}
	return names
}

// startedNew returns the new instances that have started; they start during the first seconds.
func (d *simulation) startedNew() []*simInstance {
	if d.scenario.noInstances {
		return nil
	}
	up := int(d.elapsed() / (200 * time.Millisecond))
	return d.new[:min(up, len(d.new))]
}

func (d *simulation) coldNow() bool { return d.elapsed() < d.scenario.coldFor }

func (d *simulation) play() {
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
		if (d.step+index)%simTick == 0 {
			d.tick(daemon)
		}
	}
	d.account()
}

// account updates the sums until the deadline.
func (d *simulation) account() {
	if d.elapsed() > simDuration {
		return
	}
	d.result.exposure = float64(d.result.newSent)
	d.result.bound = ExposureShare*float64(d.result.allSent) + 50
	if d.now().Before(PlanFor(d.start, simDuration).ShiftAt) {
		d.result.worstOver = max(d.result.worstOver, d.result.exposure-d.result.bound)
	}
}

func (d *simulation) end(ended ending) {
	ended.instance.running--
	// Calls of a daemon that has restarted since were lost with its process.
	present := ended.traffic == ended.daemon.traffic
	if d.store.End() == EndCompleted && !ended.instance.isNew && present {
		d.result.cutOff++
	}
	ended.traffic.Answered(ended.attempt, ended.failed, ended.cold, ended.taken, d.now())
}

// poisson draws a number of arrivals from a Poisson distribution.
func (d *simulation) poisson(mean float64) int {
	count, product, limit := 0, d.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= d.random.Float64()
	}
	return count
}

func (d *simulation) send(daemon *simDaemon) {
	for _, route := range simRoutes {
		for range d.poisson(route.perSecond / simDaemons * simStep.Seconds()) {
			d.call(daemon, route)
		}
	}
}

// call sends one call in the way of the request path.
func (d *simulation) call(daemon *simDaemon, route simRoute) {
	required, probe := daemon.traffic.Choose(route.name)
	if daemon.ownSlack > 0 && !probe && len(d.startedNew()) > 0 {
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

// pick returns the less busy of two random instances that the constraint allows.
func (d *simulation) pick(required Choice) *simInstance {
	var allowed []*simInstance
	for _, instance := range d.old {
		if required.Allows(instance.endpoint) {
			allowed = append(allowed, instance)
		}
	}
	for _, instance := range d.startedNew() {
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

func (d *simulation) begin(daemon *simDaemon, route simRoute, instance *simInstance, attempt Attempt) {
	d.result.allSent++
	if instance.isNew {
		d.result.newSent++
		d.result.lastNew = d.elapsed()
	} else if d.store.End() == EndCompleted {
		d.result.oldAfterCompleted++
	}
	instance.running++
	if instance.isNew && d.coldNow() {
		daemon.traffic.MarkCold(attempt)
	}
	cold := instance.isNew && d.coldNow()
	failed := d.random.Float64() < instance.failing
	taken := time.Duration(float64(route.median) * instance.speed * math.Exp(0.35*d.random.NormFloat64()))
	if cold {
		taken *= slowTimes
	}
	if instance.isNew && d.faultApplies(route, instance) {
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
	at := d.step + max(int(taken/simStep), 1)
	d.endings[at] = append(d.endings[at], ending{daemon, daemon.traffic, attempt, instance, failed, cold, taken})
}

// faultApplies reports whether the version's fault affects a call.
func (d *simulation) faultApplies(route simRoute, instance *simInstance) bool {
	f := d.fault
	return d.elapsed() >= f.after && (f.route == "" || f.route == route.name) && instance.running >= f.load
}

func (d *simulation) tick(daemon *simDaemon) {
	if slices.Contains(daemon.deciders, daemon.name) {
		daemon.controller.Report(d.report(daemon))
	}
	decision := daemon.controller.Tick(d.view(daemon))
	daemon.deciders = decision.Deciders
	if d.scenario.variant.revertsAlone && daemon.controller.State() == StateRollingBack {
		decision.Allocation.Share = 0
	}
	if d.scenario.variant.announcesEarly {
		decision.Announcement.Diverted, decision.Announcement.Drained = true, true
	}
	daemon.traffic.Apply(decision.Allocation)
	d.result.steps = append(d.result.steps, decision.Steps...)
	d.spread(daemon, decision)
	if decision.Write != nil {
		d.write(daemon, *decision.Write)
	}
}

// report returns a report with all evidence of a daemon.
func (d *simulation) report(daemon *simDaemon) Report {
	daemon.sequence++
	evidence := daemon.traffic.Evidence(d.now())
	if d.scenario.variant.ignoresTimes {
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

func (d *simulation) view(daemon *simDaemon) View {
	view := View{
		Now: d.now(), Known: len(d.daemons), Old: len(d.old), OldInFlight: daemon.traffic.OldInFlight(), StoreAnswered: d.now(), InstancesKnown: true,
		New: d.names(d.startedNew()),
	}
	if !d.coldNow() {
		view.Warm = view.New
	}
	for _, member := range d.daemons {
		view.Members = append(view.Members, member.name)
	}
	return view
}

// spread sends the announcement to all daemons and the report to the deciders when the runner would,
// with a delay of up to four steps.
func (d *simulation) spread(daemon *simDaemon, decision Decision) {
	if daemon.controller.DoneSending(d.now()) {
		return
	}
	announcement := decision.Announcement
	tells := announcement.Changed(daemon.lastAnnouncement) || d.now().Sub(daemon.lastAnnouncementAt) >= AnnouncementInterval
	if tells {
		daemon.lastAnnouncement, daemon.lastAnnouncementAt = announcement, d.now()
	}
	reports := !daemon.controller.Ended() && d.now().Sub(daemon.reportedAt) >= ReportInterval
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
			delay += int(d.scenario.announcementDelay / simStep)
		}
		if tells {
			d.later(delay, func() { other.controller.Hear(d.now(), announcement) })
		}
		if reports && slices.Contains(decision.Deciders, other.name) {
			d.later(1+d.random.IntN(4), func() { other.controller.Report(report) })
		}
	}
}

// lastRanked returns the daemon of the last rank, which is no decider.
func (d *simulation) lastRanked() *simDaemon {
	names := make([]string, 0, len(d.daemons))
	for _, daemon := range d.daemons {
		names = append(names, daemon.name)
	}
	last := ranked(d.store.Identity, names)[len(names)-1]
	return d.daemons[slices.Index(names, last)]
}

// write does a conditional write. With storeFaults, the store may lose its answer or do it late.
func (d *simulation) write(daemon *simDaemon, write Write) {
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

// apply does a write in the store and delivers the new state to every daemon after a few steps.
func (d *simulation) apply(write Write) Outcome {
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
