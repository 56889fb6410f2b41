package rollout

import (
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// OrderMessage encodes an order with the name of its object.
func OrderMessage(name string, order Order) *lapisv1.Rollout {
	return &lapisv1.Rollout{
		Name: name, Service: order.Service, TargetVersion: order.Target, DurationNanos: int64(order.Duration),
		Revision: order.Revision, Created: order.Created,
		State: string(order.Status.End), StatusTarget: order.Status.Target, StatusAgain: order.Status.ReissueRevision,
	}
}

// OrderOf decodes an order.
func OrderOf(message *lapisv1.Rollout) Order {
	return Order{
		Service: message.GetService(),
		Identity: Identity{
			Created: message.GetCreated(), Target: message.GetTargetVersion(), Duration: time.Duration(message.GetDurationNanos()),
		},
		Revision: message.GetRevision(),
		Status:   Status{End: End(message.GetState()), Target: message.GetStatusTarget(), ReissueRevision: message.GetStatusAgain()},
	}
}

// identityMessage encodes the identity of an order.
func identityMessage(order Identity) *lapisv1.RolloutIdentity {
	return &lapisv1.RolloutIdentity{
		Created: order.Created, TargetVersion: order.Target, DurationNanos: int64(order.Duration), Again: order.ReissueRevision,
	}
}

// identityOf decodes the identity of an order.
func identityOf(message *lapisv1.RolloutIdentity) Identity {
	return Identity{
		Created: message.GetCreated(), Target: message.GetTargetVersion(),
		Duration: time.Duration(message.GetDurationNanos()), ReissueRevision: message.GetAgain(),
	}
}

// AnnouncementMessage encodes an announcement.
func AnnouncementMessage(announcement Announcement) *lapisv1.RolloutWord {
	return &lapisv1.RolloutWord{
		Service: announcement.Service, Node: announcement.Node, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence,
		Order: identityMessage(announcement.Order), AgeNanos: int64(announcement.Age), Phase: uint32(announcement.Phase),
		ShiftingNanos: int64(announcement.Shifting), Diverted: announcement.Diverted, Drained: announcement.Drained, Probed: probeMessages(announcement.Probed), Holding: announcement.Holding,
	}
}

// AnnouncementOf decodes an announcement.
func AnnouncementOf(message *lapisv1.RolloutWord) Announcement {
	return Announcement{
		Service: message.GetService(), Node: message.GetNode(), Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(),
		Order: identityOf(message.GetOrder()), Age: time.Duration(message.GetAgeNanos()), Phase: Phase(message.GetPhase()),
		Shifting: time.Duration(message.GetShiftingNanos()), Diverted: message.GetDiverted(), Drained: message.GetDrained(), Probed: probesOf(message.GetProbed()), Holding: message.GetHolding(),
	}
}

func probeMessages(probes []Probe) []*lapisv1.RolloutProbe {
	var messages []*lapisv1.RolloutProbe
	for _, probe := range probes {
		messages = append(messages, &lapisv1.RolloutProbe{Instance: probe.Instance, Node: probe.Node})
	}
	return messages
}

func probesOf(messages []*lapisv1.RolloutProbe) []Probe {
	var probes []Probe
	for _, message := range messages {
		probes = append(probes, Probe{Instance: message.GetInstance(), Node: message.GetNode()})
	}
	return probes
}

// nameTable assigns an index to each name.
type nameTable struct {
	list  []string
	index map[string]uint32
}

// indexOf returns the index of a name, and adds the name if it is new.
func (n *nameTable) indexOf(name string) uint32 {
	index, known := n.index[name]
	if !known {
		index = uint32(len(n.list))
		n.index[name] = index
		n.list = append(n.list, name)
	}
	return index
}

// ReportMessage encodes a report on a service's order. Reports make up most of the traffic between
// daemons during a roll-out; to save bytes, each name is sent once, and empty classes of service
// times are left out at both ends.
func ReportMessage(service string, report Report) *lapisv1.RolloutReport {
	message := &lapisv1.RolloutReport{
		Service: service, Node: report.Node, Incarnation: report.Incarnation, Sequence: report.Sequence,
		Order: identityMessage(report.Order),
	}
	named := &nameTable{index: map[string]uint32{}}
	for key, counts := range report.Evidence {
		message.Counters = append(message.Counters, counterMessage(named, key, counts))
	}
	message.Names = named.list
	return message
}

// counterMessage encodes one counter.
func counterMessage(named *nameTable, key Key, counts Counts) *lapisv1.RolloutCounter {
	first, end := 0, timeClasses
	for first < end && counts.Times[first] == 0 {
		first++
	}
	for end > first && counts.Times[end-1] == 0 {
		end--
	}
	return &lapisv1.RolloutCounter{
		New: key.New, Route: named.indexOf(key.Route), Zone: named.indexOf(key.Zone), Instance: named.indexOf(key.Instance),
		Answers: counts.Answers, Failures: counts.Failures,
		FirstClass: uint32(first), Times: slices.Clone(counts.Times[first:end]),
	}
}

// ReportOf decodes a report. Errors: ProtocolUnexpected.
func ReportOf(message *lapisv1.RolloutReport) (Report, error) {
	report := Report{
		Order: identityOf(message.GetOrder()), Node: message.GetNode(), Incarnation: message.GetIncarnation(),
		Sequence: message.GetSequence(), Evidence: Evidence{},
	}
	for _, counter := range message.GetCounters() {
		key, counts, ok := counterOf(message.GetNames(), counter)
		if !ok {
			return Report{}, result.Errorf(result.ProtocolUnexpected, "roll-out report from %s contains an invalid counter", message.GetNode())
		}
		report.Evidence[key] = counts
	}
	return report, nil
}

// counterOf decodes one counter; ok is false if it refers to a name or class that does not exist.
func counterOf(names []string, message *lapisv1.RolloutCounter) (key Key, counts Counts, ok bool) {
	first, times := int(message.GetFirstClass()), message.GetTimes()
	if first > timeClasses || len(times) > timeClasses-first {
		return Key{}, Counts{}, false
	}
	for _, index := range []uint32{message.GetRoute(), message.GetZone(), message.GetInstance()} {
		if int(index) >= len(names) {
			return Key{}, Counts{}, false
		}
	}
	key = Key{
		New: message.GetNew(), Route: names[message.GetRoute()], Zone: names[message.GetZone()], Instance: names[message.GetInstance()],
	}
	counts = Counts{Answers: message.GetAnswers(), Failures: message.GetFailures()}
	copy(counts.Times[first:], times)
	return key, counts, true
}
