package promise_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// Version 1 has route "first" at desk; version 4, acknowledged at 10 s, adds "new"; version 6, at 20 s, moves "first" to
// yard and removes "new". Times are seconds after noon.
func TestVersionsByWhatClientsSee(t *testing.T) {
	type step func(v *promise.Versions)
	at := func(seconds float64) time.Time { return noon.Add(time.Duration(seconds * float64(time.Second))) }
	probe := func(route, service string, sent float64) step {
		return func(v *promise.Versions) {
			v.Probed(promise.ProbeOutcome{Request: "r", Probe: route, Daemon: "d", SentAt: at(sent), SeenAt: at(sent + 0.1), Service: service, Handled: true})
		}
	}
	disrupted := func(from, until float64, outage bool) step {
		return func(v *promise.Versions) {
			v.StoreDisrupted(at(from), outage)
			v.StoreUndisturbed(at(until))
		}
	}
	for name, test := range map[string]struct {
		steps    []step
		breaches int
	}{
		"a new route in time":                   {[]step{probe("new", "desk", 13)}, 0},
		"a new route not yet":                   {[]step{probe("new", "", 11.9)}, 0},
		"late":                                  {[]step{probe("new", "", 12.1)}, 1},
		"late, the old service":                 {[]step{probe("first", "desk", 22.1)}, 1},
		"late, a removed route":                 {[]step{probe("new", "desk", 22.1)}, 1},
		"late within the contact time":          {[]step{func(v *promise.Versions) { v.DaemonStarted("d", at(10)) }, probe("new", "", 12.9)}, 0},
		"late after the contact time":           {[]step{func(v *promise.Versions) { v.DaemonStarted("d", at(10)) }, probe("new", "", 13.1)}, 1},
		"late beside a disturbed daemon":        {[]step{func(v *promise.Versions) { v.DaemonDisturbed("e", at(12)) }, probe("new", "", 12.1)}, 1},
		"late in an outage":                     {[]step{disrupted(8, 9.5, true), probe("new", "", 12.4)}, 0},
		"late after an outage":                  {[]step{disrupted(8, 9, true), probe("new", "", 12.1)}, 1},
		"late while some are refused":           {[]step{disrupted(8, 15, false), probe("new", "", 16.9)}, 0},
		"later than that":                       {[]step{disrupted(8, 15, false), probe("new", "", 17.1)}, 1},
		"an invalid version":                    {[]step{probe("invalid", "desk", 13)}, 1},
		"back to the old service":               {[]step{probe("first", "yard", 20.5), probe("first", "desk", 20.9)}, 1},
		"back within the slack":                 {[]step{probe("first", "yard", 20.5), probe("first", "desk", 20.8)}, 0},
		"back in a new process":                 {[]step{probe("first", "yard", 20.5), func(v *promise.Versions) { v.DaemonStarted("d", at(20.7)) }, probe("first", "desk", 20.9)}, 0},
		"back after a suspension":               {[]step{probe("first", "yard", 20.5), func(v *promise.Versions) { v.DaemonDisturbed("d", at(20.7)) }, probe("first", "desk", 20.9)}, 1},
		"an answer that shows no version first": {[]step{probe("first", "desk", 20.5), probe("new", "", 20.9)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			breaches := 0
			versions := newVersions(func(string, string) { breaches++ }, at)
			for _, step := range test.steps {
				step(versions)
			}
			assert.Equal(t, breaches, test.breaches)
		})
	}
}

func newVersions(record func(string, string), at func(float64) time.Time) *promise.Versions {
	bounds := promise.VersionBounds{Apply: 2 * time.Second, Contact: 3 * time.Second, Stretch: 5 * time.Second, RollbackSlack: 250 * time.Millisecond}
	versions := promise.NewVersions(bounds, record)
	versions.Declare(1, map[string]string{"first": "desk"}, at(0))
	versions.Acknowledge(at(0))
	versions.Declare(4, map[string]string{"first": "desk", "new": "desk"}, at(10))
	versions.Acknowledge(at(10))
	versions.Declare(6, map[string]string{"first": "yard"}, at(20))
	versions.Acknowledge(at(20))
	return versions
}

// Requests on added routes must be served as often as a quarter of those on routes that always existed.
func TestAddedRoutesAreServed(t *testing.T) {
	at := func(seconds float64) time.Time { return noon.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct{ requests, served, breaches int }{
		"none of twenty": {20, 0, 1}, "none of few": {19, 0, 0}, "too few": {40, 9, 1}, "enough": {40, 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			breaches := 0
			versions := newVersions(func(string, string) { breaches++ }, at)
			for index := range test.requests {
				outcome := promise.ProbeOutcome{Request: "r", Probe: "new", Daemon: "d", SentAt: at(15), SeenAt: at(15)}
				if index < test.served {
					outcome.Service, outcome.Handled = "desk", true
				}
				versions.Probed(outcome)
				versions.Probed(promise.ProbeOutcome{Request: "r", Probe: "first", Daemon: "d", SentAt: at(15), SeenAt: at(15), Service: "desk", Handled: true})
			}
			versions.Finish()
			assert.Equal(t, breaches, test.breaches)
		})
	}
}
