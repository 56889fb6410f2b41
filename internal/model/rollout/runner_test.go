package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// afterMove is the time into an order of 30 s at which all calls have moved and no end is written
// yet.
const afterMove = 27 * time.Second

// testSite consists of runners with a store, links between them and the instances of one service,
// but without calls. It runs in a synctest bubble with virtual time.
type testSite struct {
	runners map[string]*Runner
	cancel  map[string]context.CancelFunc

	// mutex guards the fields below.
	mutex    sync.Mutex
	order    *Order
	revision uint64
	down     bool
	answered time.Time
	members  []string
	// cut is a daemon that reaches the store but no other daemon; unread is a daemon that has read
	// no order yet. Empty for none.
	cut       string
	unread    string
	endpoints []*lapisv1.Endpoint
	ends      []End
}

var errDown = errors.New("the store is down")

// startSite starts the runners; the store holds no order yet.
func startSite(ctx context.Context, endpoints ...*lapisv1.Endpoint) *testSite {
	site := &testSite{
		runners: map[string]*Runner{}, cancel: map[string]context.CancelFunc{},
		revision: 10, endpoints: endpoints, members: []string{"a", "b", "c", "d"},
	}
	for _, node := range site.members {
		site.runners[node] = NewRunner(RunnerConfig{
			Node: node, Incarnation: 1, Store: site, Links: siteLinks{site, node}, Instances: site,
			Logger: logr.Discard(), Now: time.Now,
		})
		running, cancel := context.WithCancel(ctx)
		site.cancel[node] = cancel
		go site.runners[node].Run(running)
	}
	return site
}

// instances returns endpoints of a version.
func instances(version string, count int) []*lapisv1.Endpoint {
	endpoints := make([]*lapisv1.Endpoint, 0, count)
	for index := range count {
		endpoints = append(endpoints, &lapisv1.Endpoint{Instance: fmt.Sprint(version, "-", index), Version: version, Zone: "z"})
	}
	return endpoints
}

// give writes an order as the operator does; nil deletes it.
func (s *testSite) give(order *Order) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	if order != nil {
		given := *order
		given.Service, given.Revision = "desk", s.revision
		if s.order != nil {
			given.Created, given.Status = s.order.Created, s.order.Status
		} else {
			given.Created = s.revision
		}
		order = &given
	}
	s.order = order
	s.show()
}

// show delivers the state of the order to every runner. The caller must hold mutex.
func (s *testSite) show() {
	var shown *Order
	if s.order != nil {
		state := *s.order
		shown = &state
	}
	for node, runner := range s.runners {
		if node != s.unread {
			go runner.HandleOrder("desk", shown)
		}
	}
}

// WriteStatus implements Store.
func (s *testSite) WriteStatus(_ context.Context, write Write) Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := Answer{Write: write, Outcome: OutcomeUnknown}
	switch {
	case s.down:
		return answer
	case s.order == nil:
		answer.Outcome = OutcomeGone
		return answer
	case s.order.Revision != write.Revision:
		answer.Outcome = OutcomeConflict
	default:
		answer.Outcome = OutcomeDone
		s.revision++
		s.order.Revision = s.revision
		s.order.Status = write.Status
		s.ends = append(s.ends, write.Status.End)
		s.show()
	}
	s.answered = time.Now()
	seen := *s.order
	answer.Seen = &seen
	return answer
}

// Get implements Store.
func (s *testSite) Get(context.Context, string) (*Order, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, errDown
	}
	s.answered = time.Now()
	if s.order == nil {
		return nil, nil
	}
	seen := *s.order
	return &seen, nil
}

// LastAnswerTime implements Store.
func (s *testSite) LastAnswerTime() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered
}

// Of implements Instances.
func (s *testSite) Of(string) ([]*lapisv1.Endpoint, func(*lapisv1.Endpoint) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.endpoints), func(*lapisv1.Endpoint) bool { return false }
}

// end returns the end that the store holds.
func (s *testSite) end() End {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.order == nil {
		return EndNone
	}
	return s.order.End()
}

// written returns all ends written so far.
func (s *testSite) written() []End {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.ends)
}

// change modifies the site under its mutex.
func (s *testSite) change(do func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	do()
}

// allowed returns the versions that may get calls from a daemon.
func (s *testSite) allowed(node string) (versions []string) {
	traffic := s.runners[node].Traffic("desk")
	for _, version := range []string{"v1", "v2", "v3"} {
		if traffic == nil {
			versions = append(versions, version)
			continue
		}
		required, _ := traffic.Choose("r")
		if required.Allows(&lapisv1.Endpoint{Version: version}) {
			versions = append(versions, version)
		}
	}
	return versions
}

// siteLinks implements Links for one daemon.
type siteLinks struct {
	site *testSite
	node string
}

// Members implements Links.
func (l siteLinks) Members() []string {
	l.site.mutex.Lock()
	defer l.site.mutex.Unlock()
	if l.site.cut == l.node {
		return []string{l.node}
	}
	return slices.DeleteFunc(slices.Clone(l.site.members), func(node string) bool { return node == l.site.cut })
}

// Known implements Links.
func (l siteLinks) Known() int { return len(l.site.runners) }

// reaches reports whether the daemon can reach another one.
func (l siteLinks) reaches(node string) bool {
	l.site.mutex.Lock()
	defer l.site.mutex.Unlock()
	return node != l.node && node != l.site.cut && l.node != l.site.cut
}

// Serving implements Links.
func (l siteLinks) Serving(string) int {
	l.site.mutex.Lock()
	defer l.site.mutex.Unlock()
	return len(l.site.members)
}

// Broadcast implements Links.
func (l siteLinks) Broadcast(announcement Announcement, nodes []string) {
	for node, runner := range l.site.runners {
		if l.reaches(node) {
			go runner.HandleAnnouncement(announcement)
		}
	}
}

// Send implements Links.
func (l siteLinks) Send(node, _ string, report Report) {
	if l.reaches(node) {
		go l.site.runners[node].HandleReport("desk", report)
	}
}

// newOrder returns an order.
func newOrder(version string, duration time.Duration) *Order {
	return &Order{Identity: Identity{Target: version, Duration: duration}}
}

// inSite runs a test on a site with virtual time, after discoveryTime.
func inSite(t *testing.T, endpoints []*lapisv1.Endpoint, test func(t *testing.T, site *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		site := startSite(ctx, endpoints...)
		time.Sleep(discoveryTime + time.Second)
		test(t, site)
	})
}

var bothVersions = append(instances("v1", 4), instances("v2", 4)...)

func TestOrderIsFollowedToItsEnd(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v2", "v3"})
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, site.written(), []End{EndRunning})
		assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v3"})
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, site.written(), []End{EndRunning, EndCompleted})
		for node := range site.runners {
			assert.DeepEqual(t, site.allowed(node), []string{"v2"})
		}
	})
}

func TestVersionInForceIsCompletedAtOnce(t *testing.T) {
	inSite(t, instances("v2", 4), func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(time.Second)
		assert.Assert(t, slices.Contains(site.allowed("a"), "v2"))
		time.Sleep(29 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}

func TestVersionWithoutInstancesIsRolledBack(t *testing.T) {
	inSite(t, instances("v1", 4), func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(20 * time.Second)
		assert.Equal(t, site.end(), EndRunning)
		time.Sleep(10 * time.Second)
		assert.Equal(t, site.end(), EndRolledBack)
		assert.Assert(t, slices.Contains(site.allowed("a"), "v1"))
	})
}

func TestImpossibleDurationIsRolledBackAtOnce(t *testing.T) {
	for _, duration := range []time.Duration{0, time.Second} {
		inSite(t, bothVersions, func(t *testing.T, site *testSite) {
			site.give(newOrder("v2", duration))
			time.Sleep(time.Second)
			assert.Equal(t, site.end(), EndRolledBack)
			assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v3"})
		})
	}
}

func TestMalformedOrderDoesNothing(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		site.give(newOrder("", 30*time.Second))
		time.Sleep(40 * time.Second)
		assert.Equal(t, len(site.written()), 0)
		assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v2", "v3"})
	})
}

func TestSecondOrderSupersedesTheFirst(t *testing.T) {
	inSite(t, slices.Concat(bothVersions, instances("v3", 4)), func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(afterMove)
		assert.DeepEqual(t, site.allowed("a"), []string{"v2"})
		site.give(newOrder("v3", 30*time.Second))
		time.Sleep(time.Second)
		assert.DeepEqual(t, site.allowed("a"), []string{"v1"})
		time.Sleep(29 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
		assert.DeepEqual(t, site.allowed("a"), []string{"v3"})
	})
}

func TestSecondOrderBackToTheVersionInForce(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(afterMove)
		site.give(newOrder("v1", 30*time.Second))
		time.Sleep(time.Second)
		assert.Assert(t, slices.Contains(site.allowed("a"), "v1") && !slices.Contains(site.allowed("a"), "v2"))
		time.Sleep(29 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
		assert.DeepEqual(t, site.allowed("a"), []string{"v1"})
	})
}

func TestOrderTakenAwayLeadsBack(t *testing.T) {
	for _, after := range []time.Duration{5 * time.Second, afterMove} {
		inSite(t, bothVersions, func(t *testing.T, site *testSite) {
			site.give(newOrder("v2", 30*time.Second))
			time.Sleep(after)
			site.give(nil)
			time.Sleep(time.Second)
			assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v3"})
			site.change(func() { site.endpoints = instances("v2", 4) })
			time.Sleep(time.Second)
			assert.Assert(t, slices.Contains(site.allowed("a"), "v2"), "the only version there is must get calls")
		})
	}
}

func TestSameOrderGivenAgainAfterItsEnd(t *testing.T) {
	inSite(t, instances("v1", 4), func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(30 * time.Second)
		assert.Equal(t, site.end(), EndRolledBack)
		site.change(func() { site.endpoints = bothVersions })
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(5 * time.Second)
		assert.Equal(t, site.end(), EndRunning)
		time.Sleep(25 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}

func TestFrozenDeciderIsReplaced(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(10 * time.Second)
		first := ranked(site.order.Identity, site.members)[0]
		site.cancel[first]()
		time.Sleep(3 * time.Second)
		site.change(func() {
			site.members = slices.DeleteFunc(site.members, func(node string) bool { return node == first })
		})
		time.Sleep(17 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}

// A decider that reaches the store but no other daemon must not write an end, in any state in which
// it was cut off.
func TestCutDeciderWritesNoEnd(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Second, afterMove} {
		inSite(t, bothVersions, func(t *testing.T, site *testSite) {
			site.give(newOrder("v2", 30*time.Second))
			time.Sleep(after)
			first := ranked(site.order.Identity, site.members)[0]
			for node, cancel := range site.cancel {
				if node != first {
					cancel()
				}
			}
			site.change(func() { site.cut = first })
			before := site.allowed(first)
			time.Sleep(30 * time.Second)
			assert.Equal(t, site.end(), EndRunning)
			assert.DeepEqual(t, site.allowed(first), before)
		})
	}
}

func TestSilentMemberKeepsTheEndFromBeingWritten(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(10 * time.Second)
		last := ranked(site.order.Identity, site.members)[3]
		site.cancel[last]()
		time.Sleep(25 * time.Second)
		assert.Equal(t, site.end(), EndRunning)
	})
}

func TestStoreThatIsDownPutsTheShiftOff(t *testing.T) {
	inSite(t, bothVersions, func(t *testing.T, site *testSite) {
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(20 * time.Second)
		site.change(func() { site.down = true })
		time.Sleep(15 * time.Second)
		assert.DeepEqual(t, site.allowed("a"), []string{"v1", "v3"})
		site.change(func() { site.down = false })
		time.Sleep(5 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}
