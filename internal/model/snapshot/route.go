package snapshot

import (
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// compareSpecificity orders routes for matching: longer prefixes first, then routes with methods
// before routes without, then by name.
func compareSpecificity(a, b *lapisv1.Route) int {
	if difference := len(b.GetPathPrefix()) - len(a.GetPathPrefix()); difference != 0 {
		return difference
	}
	if withMethods := len(a.GetMethods()) > 0; withMethods != (len(b.GetMethods()) > 0) {
		if withMethods {
			return -1
		}
		return 1
	}
	return strings.Compare(a.GetName(), b.GetName())
}

// Match returns the route of a request, nil if no route matches. The precedence is: routes of the
// request's host before routes of any host; then the longest path prefix of whole segments; then
// routes that list the request's method before routes without methods. A route that lists only other
// methods does not match. host must be in the form of callapi.HostName: in lower case and without a
// port.
func (s *Snapshot) Match(host, path, method string) *lapisv1.Route {
	if route := matchIn(s.routes[host], path, method); route != nil || host == "" {
		return route
	}
	return matchIn(s.routes[""], path, method)
}

// matchIn returns the first matching route; routes must be sorted by compareSpecificity.
func matchIn(routes []*lapisv1.Route, path, method string) *lapisv1.Route {
	for _, route := range routes {
		if !pathHasPrefix(path, route.GetPathPrefix()) {
			continue
		}
		if len(route.GetMethods()) > 0 && !slices.Contains(route.GetMethods(), method) {
			continue
		}
		return route
	}
	return nil
}

// pathHasPrefix reports whether path begins with the whole segments of prefix: the
// prefix /dock matches /dock and /dock/1 but not /docks.
func pathHasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
