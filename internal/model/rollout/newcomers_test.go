package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// An instance with a version that is new to its service must be announced only once the orders have
// been confirmed since; every other instance is announced immediately.
func TestNewcomersAreHeldUntilOrdersAreConfirmed(t *testing.T) {
	const longest = 2 * time.Second
	start := time.Unix(1000, 0)
	for name, row := range map[string]struct {
		known     []string
		ordered   string
		confirmed time.Duration
		after     time.Duration
		admitted  bool
	}{
		"first of the service":         {nil, "", 0, 0, true},
		"of the version in force":      {[]string{"v2"}, "", 0, 0, true},
		"of one of the known versions": {[]string{"v1", "v2"}, "", 0, 0, true},
		"no order confirmed since":     {[]string{"v1"}, "", 0, time.Second, false},
		"confirmed, not spread yet":    {[]string{"v1"}, "", time.Millisecond, orderSpreadTime / 2, false},
		"confirmed and spread":         {[]string{"v1"}, "", time.Millisecond, orderSpreadTime, true},
		"ordered":                      {[]string{"v1"}, "v2", 0, 0, true},
		"another version ordered":      {[]string{"v1"}, "v3", 0, time.Second, false},
		"held for the maximum time":    {[]string{"v1"}, "", 0, longest, true},
	} {
		t.Run(name, func(t *testing.T) {
			gate := NewVersionGate{MaxHold: longest}
			endpoints := []*lapisv1.Endpoint{{Service: "desk", Instance: "i", Version: "v2"}}
			around := GateInputs{
				Versions: func(string) map[string]bool {
					versions := map[string]bool{}
					for _, version := range row.known {
						versions[version] = true
					}
					return versions
				},
				Ordered:   func(_, version string) bool { return version == row.ordered },
				Confirmed: start,
			}
			gate.Admit(endpoints, around, start)
			around.Confirmed = start.Add(row.confirmed)
			admitted := gate.Admit(endpoints, around, start.Add(row.after))
			assert.Equal(t, len(admitted) == 1, row.admitted)
			assert.Equal(t, gate.Holding(), !row.admitted)
		})
	}
}
