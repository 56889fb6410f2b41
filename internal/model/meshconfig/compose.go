package meshconfig

import (
	"maps"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// DefaultGroup is the group of the objects of a configuration source without groups.
const DefaultGroup = "default"

// Composition is a whole configuration as provided by an outside source.
type Composition struct {
	Revision uint64
	Pools    []*lapisv1.Pool
	Routes   []*lapisv1.Route
	Limits   *lapisv1.Limits
	// Accounts is nil if callers need no API key.
	Accounts *lapisv1.Accounts
}

// Compose validates a composition as a whole and encodes it. Unchanged bundles are
// reused from previous, which may be nil. Errors: a *result.List with all faults.
func Compose(composition Composition, previous *lapisv1.Configuration) (*lapisv1.Configuration, error) {
	state := NewState()
	state.Revision = composition.Revision
	faults := &result.List{}
	affected := map[string]bool{}
	for _, pool := range composition.Pools {
		if _, duplicate := state.Pools[pool.GetName()]; duplicate {
			faults.Add(result.ConfigDuplicateObject, "pool %s", pool.GetName())
		}
		state.Pools[pool.GetName()] = pool
		affected[pool.GetName()] = true
	}
	for _, route := range composition.Routes {
		if _, duplicate := state.Routes[route.GetName()]; duplicate {
			faults.Add(result.ConfigDuplicateObject, "route %s", route.GetName())
		}
		state.Routes[route.GetName()] = route
	}
	validateAccounts(faults, composition.Accounts.GetAccounts())
	if err := faults.Err(); err != nil {
		return nil, err
	}
	if err := state.Validate(nil); err != nil {
		return nil, err
	}
	for _, encoded := range previous.GetBundles() {
		state.Bundles[encoded.GetService()] = encoded
	}
	if _, err := state.rebuildBundles(affected); err != nil {
		return nil, err
	}
	configuration := &lapisv1.Configuration{Revision: composition.Revision, Limits: composition.Limits, Accounts: composition.Accounts}
	for _, service := range slices.Sorted(maps.Keys(affected)) {
		configuration.Bundles = append(configuration.Bundles, state.Bundles[service])
	}
	return configuration, nil
}
