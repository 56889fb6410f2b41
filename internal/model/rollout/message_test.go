package rollout

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Encoding and decoding must preserve every field.
func TestMessagesHoldEverything(t *testing.T) {
	identity := Identity{Created: 3, Target: "v2", Duration: 30 * time.Second, ReissueRevision: 9}
	order := Order{Service: "desk", Identity: identity, Revision: 12, Status: Status{End: EndRolledBack, Target: "v1"}}
	stated := order
	stated.ReissueRevision = 0
	assert.DeepEqual(t, OrderOf(OrderMessage("desk", order)), stated)

	announcement := Announcement{
		Service: "desk", Node: "a", Incarnation: 4, Sequence: 5, Order: identity, Age: time.Second,
		Phase: PhaseRollingBack, Shifting: time.Minute, Diverted: true, Drained: true,
		Probed: []Probe{{Instance: "i-1", Node: "d-1"}}, Holding: true,
	}
	assert.DeepEqual(t, AnnouncementOf(AnnouncementMessage(announcement)), announcement)

	report := Report{Order: identity, Node: "a", Incarnation: 4, Sequence: 6, Evidence: Evidence{}}
	for _, taken := range []time.Duration{0, time.Second, highestClassTime} {
		report.Evidence.Note(Key{New: true, Route: "r", Zone: "z", Instance: "i"}, false, taken)
	}
	report.Evidence.Note(Key{Route: "r", Zone: "y"}, true, time.Second)
	report.Evidence.Note(Key{Route: "s", Zone: "y"}, false, time.Second)
	encoded, err := proto.Marshal(ReportMessage("desk", report))
	assert.NilError(t, err)
	message := &lapisv1.RolloutReport{}
	assert.NilError(t, proto.Unmarshal(encoded, message))
	decoded, err := ReportOf(message)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, report)
}

// A report that refers to a missing name or class must be rejected.
func TestBrokenReportsAreRefused(t *testing.T) {
	for name, counter := range map[string]*lapisv1.RolloutCounter{
		"a name":           {Route: 1},
		"a class":          {FirstClass: timeClasses + 1},
		"too many classes": {FirstClass: 1, Times: make([]uint32, timeClasses)},
	} {
		_, err := ReportOf(&lapisv1.RolloutReport{Names: []string{""}, Counters: []*lapisv1.RolloutCounter{counter}})
		assert.Assert(t, result.Is(err, result.ProtocolUnexpected), name)
	}
}
