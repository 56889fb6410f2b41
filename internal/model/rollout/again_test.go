package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a good version that is not completed by its deadline after its order was given
// again following a roll-back. One daemon read the order as it was given and wrote the status
// running. Another daemon first saw the object after that write, took it for an order given later
// still, and so used a different identity than the other daemons, which dropped its announcements. The
// identity must not depend on which states of the object a daemon has seen.
func TestOrderGivenAgainIsTheSameToAllWhoReadIt(t *testing.T) {
	first := Order{Service: "desk", Identity: Identity{Created: 3, Target: "v2", Duration: 30 * time.Second}, Revision: 3}
	state := func(revision uint64, status Status) Order {
		seen := first
		seen.Revision, seen.Status = revision, status
		return seen
	}
	running, ended := state(4, Status{End: EndRunning, Target: "v2"}), state(9, Status{End: EndRolledBack, Target: "v2"})
	given := state(14, ended.Status)
	runningAgain := state(15, Status{End: EndRunning, Target: "v2", ReissueRevision: 14})
	endedAgain := state(20, Status{End: EndRolledBack, Target: "v2", ReissueRevision: 14})
	givenThirdTime := state(31, endedAgain.Status)
	runningThirdTime := state(32, Status{End: EndRunning, Target: "v2", ReissueRevision: 31})
	for name, row := range map[string]struct {
		states []Order
		again  uint64
		end    End
	}{
		"each state":                                {[]Order{first, running, ended, given, runningAgain}, 14, EndRunning},
		"as it was given":                           {[]Order{first, running, ended, given}, 14, EndNone},
		"without the state as given":                {[]Order{first, running, ended, runningAgain}, 14, EndRunning},
		"without the first end":                     {[]Order{first, running, runningAgain}, 14, EndRunning},
		"started since":                             {[]Order{runningAgain}, 14, EndRunning},
		"started before it is running":              {[]Order{given, runningAgain}, 14, EndRunning},
		"ended again":                               {[]Order{ended, given, endedAgain}, 14, EndRolledBack},
		"a third time, as given":                    {[]Order{ended, given, endedAgain, givenThirdTime}, 31, EndNone},
		"a third time, without the second":          {[]Order{ended, runningThirdTime}, 31, EndRunning},
		"a third time, in the middle of the second": {[]Order{runningAgain, runningThirdTime}, 31, EndRunning},
		"an older state after a newer one":          {[]Order{ended, runningAgain, given}, 14, EndRunning},
	} {
		t.Run(name, func(t *testing.T) {
			known := Adopt(nil, row.states[0])
			for _, seen := range row.states[1:] {
				if Classify(&known, seen) != ClassificationOld {
					known = Adopt(&known, seen)
				}
			}
			assert.Equal(t, known.ReissueRevision, row.again)
			assert.Equal(t, known.End(), row.end)
		})
	}
}

// Guards against the same failure on a daemon that starts while an order given again is running and
// has not seen any of the earlier states.
func TestOrderGivenAgainIsCompletedWithADaemonStartedSince(t *testing.T) {
	inSite(t, instances("v1", 4), func(t *testing.T, site *testSite) {
		site.change(func() { site.unread = "a" })
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(30 * time.Second)
		assert.Equal(t, site.end(), EndRolledBack)
		site.change(func() { site.endpoints = bothVersions })
		site.give(newOrder("v2", 30*time.Second))
		time.Sleep(5 * time.Second)
		site.change(func() {
			site.unread = ""
			site.show()
		})
		time.Sleep(25 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}
