package operator

import (
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// show answers a query for all rows of one kind; lapisctl filters them.
func (s *Server) show(ctx context.Context, what string) (*opapi.Table, error) {
	switch what {
	case "versions":
		return s.showVersions(ctx)
	case "proxies":
		return s.showProxies(ctx)
	case "proposals":
		return s.showProposals(ctx)
	}
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	switch what {
	case "routes":
		return showRoutes(state), nil
	case "pools":
		return showPools(state), nil
	case "shares":
		return showShares(state), nil
	case "secrets":
		return showSecrets(state), nil
	case "backends":
		return s.showBackends(state), nil
	default:
		return nil, result.Errorf(result.OperatorBadCommand, "nothing to show called %q", what)
	}
}

// fleetStatus is what the readers report together.
type fleetStatus struct {
	reports  []*lapisv1.StatusReport
	machines int
}

func (s *Server) fleet(ctx context.Context) (*fleetStatus, error) {
	list, err := s.config.Store.List(ctx, seat.Prefix, "", 0)
	if err != nil {
		return nil, err
	}
	status := &fleetStatus{}
	for _, object := range list.Objects {
		lease := &lapisv1.SeatLease{}
		report := &lapisv1.StatusReport{}
		if proto.Unmarshal(object.Value, lease) != nil || proto.Unmarshal(object.Status, report) != nil {
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

// counts adds the reports up; the lowest revision is exact.
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
	fleet, err := s.fleet(ctx)
	if err != nil {
		return nil, err
	}
	counts, nodes, lowest := fleet.counts()
	counts[state.Revision] += 0
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "revision", Numeric: true}, {Name: "proxies", Numeric: true}, {Name: "author"}, {Name: "accepted"}, {Name: "newest"},
	}}
	for _, revision := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		author, accepted := "", ""
		if record, err := s.log.Revision(ctx, revision); err == nil {
			author = record.GetProposal().GetAuthor()
			accepted = time.UnixMilli(record.GetAcceptedUnixMillis()).UTC().Format(time.RFC3339)
		}
		table.Rows = append(table.Rows, []string{
			number(revision), number(uint64(counts[revision])), author, accepted, yesNo(revision == state.Revision),
		})
	}
	table.Notes = append(table.Notes, fmt.Sprintf("newest accepted revision %d, lowest in force %d, %d proxies report, %d machines listed",
		state.Revision, lowest, nodes, fleet.machines))
	return table, nil
}

func (s *Server) showProxies(ctx context.Context) (*opapi.Table, error) {
	fleet, err := s.fleet(ctx)
	if err != nil {
		return nil, err
	}
	table := &opapi.Table{Columns: []opapi.Column{
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

func (s *Server) showProposals(ctx context.Context) (*opapi.Table, error) {
	if _, err := s.log.Refresh(ctx); err != nil {
		return nil, err
	}
	proposals, err := s.log.Proposals(ctx)
	if err != nil {
		return nil, err
	}
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "proposal"}, {Name: "author"}, {Name: "group"}, {Name: "base", Numeric: true}, {Name: "changes", Numeric: true},
	}}
	for _, proposal := range proposals {
		table.Rows = append(table.Rows, []string{
			proposal.GetOperationId(), proposal.GetAuthor(), proposal.GetGroup(),
			number(proposal.GetBaseRevision()), strconv.Itoa(len(proposal.GetChanges())),
		})
	}
	return table, nil
}

func showRoutes(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "pool"}, {Name: "host"}, {Name: "path_prefix"}, {Name: "methods"},
		{Name: "secret"}, {Name: "class"}, {Name: "deadline_millis", Numeric: true}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Routes)) {
		route := state.Routes[name]
		table.Rows = append(table.Rows, []string{
			name, route.GetGroup(), route.GetPool(), route.GetHost(), route.GetPathPrefix(), strings.Join(route.GetMethods(), ","),
			route.GetSecret(), classOf(route.GetCallClass()), number(uint64(route.GetCallClass().GetDeadlineMillis())),
			changed(state, meshconfig.KindRoute, name),
		})
	}
	return table
}

func classOf(class *lapisv1.CallClass) string {
	words := []string{"once"}
	if class.GetRepeatable() {
		words[0] = "repeatable"
	}
	if class.GetBackground() {
		words = append(words, "background")
	}
	if class.GetUpload() {
		words = append(words, "upload")
	}
	return strings.Join(words, ",")
}

func showPools(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "slots", Numeric: true}, {Name: "connection_limit", Numeric: true},
		{Name: "drained"}, {Name: "retired"}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		table.Rows = append(table.Rows, []string{
			name, pool.GetGroup(), number(uint64(pool.GetSlots())), number(uint64(pool.GetConnectionLimit())),
			strings.Join(pool.GetDrained(), ","), strings.Join(pool.GetRetired(), ","), changed(state, meshconfig.KindPool, name),
		})
	}
	return table
}

func showShares(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "pool"}, {Name: "percent", Numeric: true}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Shares)) {
		share := state.Shares[name]
		table.Rows = append(table.Rows, []string{
			name, share.GetGroup(), share.GetPool(), number(uint64(share.GetPercent())), changed(state, meshconfig.KindShare, name),
		})
	}
	return table
}

// showSecrets shows what identifies a key pair, never its value.
func showSecrets(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "fingerprint"}, {Name: "expires"}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Secrets)) {
		fingerprint, expires := identify(state.Secrets[name])
		table.Rows = append(table.Rows, []string{
			name, state.Secrets[name].GetGroup(), fingerprint, expires, changed(state, meshconfig.KindSecret, name),
		})
	}
	return table
}

func identify(secret *lapisv1.Secret) (fingerprint, expires string) {
	block, _ := pem.Decode(secret.GetCertificatePem())
	if block == nil {
		return "", ""
	}
	sum := sha256.Sum256(block.Bytes)
	fingerprint = hex.EncodeToString(sum[:8])
	if certificate, err := x509.ParseCertificate(block.Bytes); err == nil {
		expires = certificate.NotAfter.UTC().Format(time.RFC3339)
	}
	return fingerprint, expires
}

func (s *Server) showBackends(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{
		Columns: []opapi.Column{{Name: "pool"}, {Name: "instance"}, {Name: "zone"}, {Name: "node"}, {Name: "address"}, {Name: "state"}, {Name: "operator"}},
		Notes:   []string{"as seen by this daemon; a daemon with services [\"*\"] sees all"},
	}
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		for _, endpoint := range s.config.Endpoints.Endpoints(name) {
			instance := endpoint.GetInstance()
			order := ""
			if slices.Contains(pool.GetDrained(), instance) {
				order = "drained"
			}
			if slices.Contains(pool.GetRetired(), instance) {
				order = "retired"
			}
			table.Rows = append(table.Rows, []string{
				name, instance, endpoint.GetZone(), endpoint.GetNode(), endpoint.GetAddress(), stateName(endpoint.GetState()), order,
			})
		}
	}
	return table
}

func stateName(state lapisv1.Endpoint_State) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "STATE_"))
}

func changed(state *meshconfig.State, kind meshconfig.Kind, name string) string {
	return number(state.ObjectRevisions[meshconfig.KeyOf(kind, name)])
}

func number(value uint64) string { return strconv.FormatUint(value, 10) }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
