package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// fleetStatus holds the status reports of all readers.
type fleetStatus struct {
	reports []*lapisv1.StatusReport
	// unreadable lists the keys of seats whose object cannot be decoded.
	unreadable []string
	// machines is the number of machines on the platform's machine list.
	machines int
}

// readFleet reads the status of all seats and the machine list. Errors: platform codes.
func (s *Server) readFleet(ctx context.Context) (*fleetStatus, error) {
	list, err := s.config.Store.List(ctx, seat.Prefix, "", 0)
	if err != nil {
		return nil, err
	}
	status := &fleetStatus{}
	for _, object := range list.Objects {
		lease := &lapisv1.SeatLease{}
		report := &lapisv1.StatusReport{}
		if proto.Unmarshal(object.Value, lease) != nil || proto.Unmarshal(object.Status, report) != nil {
			status.unreadable = append(status.unreadable, object.Key)
			continue
		}
		if lease.GetHolder() != "" && report.GetNodes() > 0 {
			status.reports = append(status.reports, report)
		}
	}
	machines, err := s.config.Store.Machines(ctx, "")
	if err != nil {
		return nil, err
	}
	status.machines = len(machines)
	return status, nil
}

// allRunAtLeast reports whether all reporting proxies, at least one, have revision or a later one in
// force.
func (f *fleetStatus) allRunAtLeast(revision uint64) bool {
	_, nodes, lowest := f.counts()
	return nodes > 0 && lowest >= revision
}

// notes returns the notes of a table on seats that are left out.
func (f *fleetStatus) notes() []string {
	if len(f.unreadable) == 0 {
		return nil
	}
	return []string{"not decoded and left out: " + strings.Join(f.unreadable, ", ")}
}

// counts sums up the reports: the proxies per revision in force, the total number of proxies, and the
// lowest revision in force, which is exact.
func (f *fleetStatus) counts() (counts map[uint64]uint32, nodes uint32, lowest uint64) {
	counts = map[uint64]uint32{}
	for _, report := range f.reports {
		nodes += report.GetNodes()
		for _, count := range report.GetCounts() {
			counts[count.GetRevision()] += count.GetNodes()
		}
	}
	if revisions := slices.Sorted(maps.Keys(counts)); len(revisions) > 0 {
		lowest = revisions[0]
	}
	return counts, nodes, lowest
}

func (s *Server) showVersions(ctx context.Context) (*opapi.Table, error) {
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	fleet, err := s.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	counts, nodes, lowest := fleet.counts()
	counts[state.Revision] += 0
	table := &opapi.Table{Notes: fleet.notes(), Columns: []opapi.Column{
		{Name: "revision", Numeric: true}, {Name: "proxies", Numeric: true}, {Name: "author"}, {Name: "accepted"}, {Name: "newest"},
	}}
	for _, revision := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		author, accepted, err := s.acceptance(ctx, revision)
		if err != nil {
			table.Notes = append(table.Notes, fmt.Sprintf("revision %d could not be read: %v", revision, err))
		}
		table.Rows = append(table.Rows, []string{
			number(revision), number(uint64(counts[revision])), author, accepted, yesNo(revision == state.Revision),
		})
	}
	table.Notes = append(table.Notes, fmt.Sprintf("newest accepted revision %d, lowest in force %d, %d proxies report, %d machines listed",
		state.Revision, lowest, nodes, fleet.machines))
	return table, nil
}

// acceptance returns the author and the acceptance time of a revision, both empty for a revision that
// is no longer kept. Errors: platform codes.
func (s *Server) acceptance(ctx context.Context, revision uint64) (author, accepted string, err error) {
	record, err := s.log.Revision(ctx, revision)
	if result.Is(err, result.OperatorUnknownRevision) {
		return "", "", nil
	}
	if err != nil {
		return "", "", err
	}
	accepted = time.UnixMilli(record.GetAcceptedUnixMillis()).UTC().Format(time.RFC3339)
	return record.GetProposal().GetAuthor(), accepted, nil
}

func (s *Server) showProxies(ctx context.Context) (*opapi.Table, error) {
	fleet, err := s.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	table := &opapi.Table{Notes: fleet.notes(), Columns: []opapi.Column{
		{Name: "node"}, {Name: "zone"}, {Name: "revision", Numeric: true}, {Name: "depth", Numeric: true},
		{Name: "reader"}, {Name: "refusal", Numeric: true},
	}}
	nodes := uint32(0)
	for _, report := range fleet.reports {
		nodes += report.GetNodes()
		for _, node := range report.GetSample() {
			table.Rows = append(table.Rows, []string{
				node.GetNode(), node.GetZone(), number(node.GetRevision()), number(uint64(node.GetDepth())),
				yesNo(node.GetReader()), number(uint64(node.GetRefusalCode())),
			})
		}
	}
	slices.SortFunc(table.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	if int(nodes) > len(table.Rows) {
		table.Notes = append(table.Notes, fmt.Sprintf("%d of %d proxies shown: in large groups only those behind or with a refusal", len(table.Rows), nodes))
	}
	return table, nil
}
