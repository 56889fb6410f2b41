package operator

import (
	"context"
	"strconv"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// show returns all rows of one kind; lapisctl filters them.
func (s *Server) show(ctx context.Context, kind string) (*opapi.Table, error) {
	switch kind {
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
	switch kind {
	case "routes":
		return showRoutes(state), nil
	case "pools":
		return showPools(state), nil
	case "shares":
		return showShares(state), nil
	case "accounts":
		return showAccounts(state), nil
	case "secrets":
		return showSecrets(state), nil
	case "backends":
		return s.showBackends(state), nil
	default:
		return nil, result.Errorf(result.OperatorBadCommand, "nothing to show called %q", kind)
	}
}

func number(value uint64) string { return strconv.FormatUint(value, 10) }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
