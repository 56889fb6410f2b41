package operator

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
)

// diff lists the objects changed after revision from, up to and including revision to. The arguments
// may be in either order. Errors: OperatorUnknownRevision for a revision that is no longer kept.
func (s *Server) diff(ctx context.Context, from, to uint64) (*opapi.Table, error) {
	if from > to {
		from, to = to, from
	}
	if _, err := s.log.Refresh(ctx); err != nil {
		return nil, err
	}
	table := &opapi.Table{Columns: []opapi.Column{{Name: "revision", Numeric: true}, {Name: "object"}, {Name: "change"}, {Name: "author"}}}
	for number := from + 1; number <= to; number++ {
		revision, err := s.log.Revision(ctx, number)
		if err != nil {
			return nil, err
		}
		for _, change := range revision.GetProposal().GetChanges() {
			table.Rows = append(table.Rows, []string{
				fmt.Sprint(number), string(meshconfig.ChangeKey(change)), describeChange(change), revision.GetProposal().GetAuthor(),
			})
		}
	}
	return table, nil
}

// describeChange formats a change without the values of secrets and the digests of API keys.
func describeChange(change *lapisv1.Change) string {
	if change.GetRemovedKind() != "" {
		return "removed"
	}
	if secret := change.GetSecret(); secret != nil {
		fingerprint, expires := certificateSummary(secret)
		return "set to fingerprint " + fingerprint + " expiring " + expires
	}
	if account := change.GetAccount(); account != nil {
		return fmt.Sprintf("set to %d keys, priority %d, %v calls a second, burst %d",
			len(account.GetKeyDigests()), account.GetPriority(), account.GetCallsPerSecond(), account.GetBurst())
	}
	compact := prototext.MarshalOptions{}
	return "set to " + compact.Format(change)
}
