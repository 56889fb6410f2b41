package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The failure: a good version whose order was given again after a roll-back was not completed by its
// deadline. The order of events: one daemon read the order as it was given and wrote that it is running;
// another one first saw the object after that write, took it for an order given later still, and so
// meant another order than the others, whose words each of them dropped. The cause: what tells an order
// from the one before it followed from which states of the object a daemon had seen.
func TestOrderGivenAgainIsTheSameToAllWhoReadIt(t *testing.T) {
	first := Order{Service: "desk", Identity: Identity{Created: 3, Target: "v2", Duration: 30 * time.Second}, Revision: 3}
	state := func(revision uint64, status Status) Order {
		seen := first
		seen.Revision, seen.Status = revision, status
		return seen
	}
	running, ended := state(4, Status{End: EndRunning, Target: "v2"}), state(9, Status{End: EndRolledBack, Target: "v2"})
	given := state(14, ended.Status)
	runningAgain := state(15, Status{End: EndRunning, Target: "v2", Again: 14})
	endedAgain := state(20, Status{End: EndRolledBack, Target: "v2", Again: 14})
	givenThirdTime := state(31, endedAgain.Status)
	runningThirdTime := state(32, Status{End: EndRunning, Target: "v2", Again: 31})
	for name, row := range map[string]struct {
		states []Order
		again  uint64
		end    End
	}{
		"each state":                                {[]Order{first, running, ended, given, runningAgain}, 14, EndRunning},
		"as it was given":                           {[]Order{first, running, ended, given}, 14, EndNone},
		"not as it was given":                       {[]Order{first, running, ended, runningAgain}, 14, EndRunning},
		"not its end":                               {[]Order{first, running, runningAgain}, 14, EndRunning},
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
				if Read(&known, seen) != ReadingOld {
					known = Adopt(&known, seen)
				}
			}
			assert.Equal(t, known.Again, row.again)
			assert.Equal(t, known.End(), row.end)
		})
	}
}

// The same failure as above, brought about each time: a daemon that starts while an order given again is
// running has seen none of the states before.
func TestOrderGivenAgainIsCompletedWithADaemonStartedSince(t *testing.T) {
	inSite(t, instances("v1", 4), func(t *testing.T, site *testSite) {
		site.change(func() { site.unread = "a" })
		site.give(to("v2", 30*time.Second))
		time.Sleep(30 * time.Second)
		assert.Equal(t, site.end(), EndRolledBack)
		site.change(func() { site.endpoints = both })
		site.give(to("v2", 30*time.Second))
		time.Sleep(5 * time.Second)
		site.change(func() {
			site.unread = ""
			site.show()
		})
		time.Sleep(25 * time.Second)
		assert.Equal(t, site.end(), EndCompleted)
	})
}
