package snapshot

import (
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// compareSpecificity puts a longer prefix before a shorter one, then a route with methods before
// one without.
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

// Match returns the route for a request, nil when there is none. Conditions, in this order: routes
// of the request's host before those of any host; the longest path prefix of whole segments;
// routes that name the request's method before those that name none. A route that names other
// methods does not match. host has no port and is in lower case (callapi.HostName).
func (s *Snapshot) Match(host, path, method string) *lapisv1.Route {
	if route := matchIn(s.routes[host], path, method); route != nil || host == "" {
		return route
	}
	return matchIn(s.routes[""], path, method)
}

// matchIn returns the first of the routes, which are sorted by specificity, that matches.
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

// pathHasPrefix matches whole segments: /dock matches /dock and /dock/1 but
// not /docks.
func pathHasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
