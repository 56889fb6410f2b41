package day

import (
	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/platform"
)

// Account is an account in the operator's configuration.
type Account struct {
	Name string
	Keys []string
	// Priority is the priority class, 0 is the most urgent. Rate is the rate limit in requests per
	// second, 0 for no limit.
	Priority    uint32
	Rate, Burst float64
}

// addAccounts adds accounts to a configuration, and marks the public routes, which need no API key.
func addAccounts(config *platform.Config, routes []Route, accounts []Account) {
	config.Routes.Columns = append(config.Routes.Columns, platform.ColumnPublic)
	for index, route := range routes {
		config.Routes.Rows[index] = append(config.Routes.Rows[index], row(route.Public)...)
	}
	config.Tenants = &platform.Table{
		Columns: []string{platform.ColumnName, platform.ColumnKeys, platform.ColumnPriority, platform.ColumnRate, platform.ColumnBurst},
	}
	for _, account := range accounts {
		config.Tenants.Rows = append(config.Tenants.Rows, row(account.Name, account.Keys, account.Priority, account.Rate, account.Burst))
	}
}

// DeclareAccounts acts as the operator: it writes a configuration with the given accounts and returns its
// version. Keys that belong to none of the accounts are thereby revoked.
func (s *Site) DeclareAccounts(accounts []Account) (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := keysOf(s.accounts)
	s.accounts = accounts
	version, err = s.declareLocked()
	after := keysOf(accounts)
	for key := range before {
		if err == nil && !after[key] {
			s.Ledger.KeyRevoked(key)
		}
	}
	return version, err
}

func keysOf(accounts []Account) map[string]bool {
	keys := map[string]bool{}
	for _, account := range accounts {
		for _, key := range account.Keys {
			keys[key] = true
		}
	}
	return keys
}

// KeyedRoutes returns the standard routes for a site with API keys. Only the route of calls between
// instances is public.
func KeyedRoutes() []Route {
	routes := StandardRoutes()
	for index := range routes {
		routes[index].Public = routes[index].Name == "stock"
	}
	return routes
}

// KeyedClasses returns the standard reads and orders with the first key of each account, at factor
// times the standard rate.
func KeyedClasses(accounts []Account, factor float64) (classes []client.Class) {
	for _, account := range accounts {
		for _, class := range StandardClasses(factor)[:2] {
			class.Name += "-" + account.Name
			class.APIKey, class.AllowedAccounts = account.Keys[0], []string{account.Name}
			classes = append(classes, class)
		}
	}
	return classes
}
