package snapshot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// Precedence of routes: the request's host before any host, then the longest prefix of whole segments,
// then routes that list the method before routes without methods.
func TestMatch(t *testing.T) {
	route := func(name, host, prefix string, methods ...string) *lapisv1.Route {
		return &lapisv1.Route{Name: name, Group: meshconfig.DefaultGroup, Pool: "desk", Host: host, PathPrefix: prefix, Methods: methods}
	}
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: 1,
		Pools:    []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
		Routes: []*lapisv1.Route{
			route("all", "", "/"), route("dock", "", "/dock"), route("dock-orders", "", "/dock/orders"),
			route("dock-writes", "", "/dock", "POST", "PUT"), route("slash", "", "/slash/"),
			route("host", "a.example", "/dock"),
		},
	}, nil)
	assert.NilError(t, err)
	store := &snapshot.Store{}
	assert.NilError(t, store.ReplaceConfiguration(configuration))
	for name, row := range map[string]struct {
		host, path, method, route string
	}{
		"the prefix itself":             {"", "/dock", "GET", "dock"},
		"below the prefix":              {"", "/dock/1", "GET", "dock"},
		"not within a segment":          {"", "/docks", "GET", "all"},
		"the longest prefix":            {"", "/dock/orders/7", "GET", "dock-orders"},
		"the method named":              {"", "/dock/1", "PUT", "dock-writes"},
		"the longer prefix over it":     {"", "/dock/orders", "POST", "dock-orders"},
		"a prefix that ends in a slash": {"", "/slash/1", "GET", "slash"},
		"not without its slash":         {"", "/slash", "GET", "all"},
		"the host before any host":      {"a.example", "/dock/orders", "POST", "host"},
		"any host where it has none":    {"a.example", "/other", "GET", "all"},
		"an unknown host":               {"b.example", "/dock", "GET", "dock"},
	} {
		t.Run(name, func(t *testing.T) {
			matched := store.Current().Match(row.host, row.path, row.method)
			assert.Equal(t, matched.GetName(), row.route)
		})
	}
}
