package meshconfig

import (
	"crypto/tls"
	"maps"
	"math"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Limits of configuration values.
const (
	// maxNameLength is the maximum length of a DNS label, in bytes.
	maxNameLength = 63
	// maxSlots is the maximum number of concurrent calls per instance.
	maxSlots = 4096
	// maxConnectionLimit is the maximum number of connections per instance, given by the number of
	// TCP ports.
	maxConnectionLimit = 65535
	maxSharePercent    = 100
	// maxDeadlineMillis is the maximum deadline of a route: one day, in milliseconds.
	maxDeadlineMillis = 24 * 60 * 60 * 1000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Validate checks the whole configuration; the costly checks are limited to the
// affected services, all if affected is nil. It returns a *result.List with all
// faults, in a stable order.
func (s *State) Validate(affected map[string]bool) error {
	faults := &result.List{}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		if affected == nil || affected[name] {
			validatePool(faults, s.Pools[name])
		}
	}
	s.validateRoutes(faults)
	s.validateSecrets(faults)
	s.validateShares(faults)
	if affected == nil || affected[AccountsService] {
		validateAccounts(faults, s.sortedAccounts())
	}
	return faults.Err()
}

func validateName(faults *result.List, kind Kind, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		faults.Add(result.ConfigBadName, "%s %q", kind, name)
	}
}

func validateGroup(faults *result.List, kind Kind, name, group string) {
	if len(group) > maxNameLength || !namePattern.MatchString(group) {
		faults.Add(result.ConfigBadName, "group %q of %s %q", group, kind, name)
	}
}

func validatePool(faults *result.List, pool *lapisv1.Pool) {
	validateName(faults, KindPool, pool.GetName())
	validateGroup(faults, KindPool, pool.GetName(), pool.GetGroup())
	if pool.GetSlots() == 0 || pool.GetSlots() > maxSlots {
		faults.Add(result.ConfigBadLimit, "slots %d of pool %s", pool.GetSlots(), pool.GetName())
	}
	if pool.GetConnectionLimit() == 0 || pool.GetConnectionLimit() > maxConnectionLimit {
		faults.Add(result.ConfigBadLimit, "connection_limit %d of pool %s", pool.GetConnectionLimit(), pool.GetName())
	}
	if rate := pool.GetColdCallsPerSecond(); rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		faults.Add(result.ConfigBadLimit, "cold_calls_per_second %v of pool %s", rate, pool.GetName())
	}
}

func (s *State) validateRoutes(faults *result.List) {
	matches := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		route := s.Routes[name]
		validateName(faults, KindRoute, name)
		validateGroup(faults, KindRoute, name, route.GetGroup())
		validateMatch(faults, route)
		if _, ok := s.Pools[route.GetPool()]; !ok {
			faults.Add(result.ConfigUnknownPool, "route %s refers to pool %q", name, route.GetPool())
		}
		s.validateSplit(faults, route)
		s.validateRouteSecret(faults, route)
		for _, key := range matchKeys(route) {
			if other, exists := matches[key]; exists {
				faults.Add(result.ConfigDuplicateRoute, "routes %s and %s both match %s", other, name, key)
			}
			matches[key] = name
		}
	}
}

func (s *State) validateSplit(faults *result.List, route *lapisv1.Route) {
	if len(route.GetSplit()) == 0 {
		return
	}
	total := uint64(0)
	for _, part := range route.GetSplit() {
		if _, ok := s.Pools[part.GetPool()]; !ok {
			faults.Add(result.ConfigUnknownPool, "route %s splits to pool %q", route.GetName(), part.GetPool())
		}
		total += uint64(part.GetWeight())
	}
	if total == 0 {
		faults.Add(result.ConfigBadLimit, "the weights of route %s sum to 0", route.GetName())
	}
}

func (s *State) validateRouteSecret(faults *result.List, route *lapisv1.Route) {
	if route.GetSecret() == "" {
		return
	}
	secret, ok := s.Secrets[route.GetSecret()]
	switch {
	case !ok:
		faults.Add(result.ConfigUnknownSecret, "route %s refers to secret %q", route.GetName(), route.GetSecret())
	case secret.GetGroup() != route.GetGroup():
		faults.Add(result.ConfigForeignSecret, "route %s refers to secret %q", route.GetName(), route.GetSecret())
	}
}

func validateMatch(faults *result.List, route *lapisv1.Route) {
	prefix := route.GetPathPrefix()
	if !isCleanPrefix(prefix) {
		faults.Add(result.ConfigBadPath, "path_prefix %q of route %s", prefix, route.GetName())
	}
	if route.GetHost() != "" && !hostPattern.MatchString(route.GetHost()) {
		faults.Add(result.ConfigBadHost, "host %q of route %s", route.GetHost(), route.GetName())
	}
	for _, method := range route.GetMethods() {
		if !methodPattern.MatchString(method) {
			faults.Add(result.ConfigBadMethod, "method %q of route %s", method, route.GetName())
		}
	}
	if route.GetCallClass().GetDeadlineMillis() > maxDeadlineMillis {
		faults.Add(result.ConfigBadLimit, "deadline_millis of route %s", route.GetName())
	}
}

// isCleanPrefix reports whether prefix is an absolute clean path (path.Clean); one
// trailing slash is allowed.
func isCleanPrefix(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") {
		return false
	}
	return prefix == "/" || path.Clean(prefix) == strings.TrimSuffix(prefix, "/")
}

// matchKeys returns one key per method of a route, from the method, the host and the path prefix. Two
// routes with a common key are duplicates.
func matchKeys(route *lapisv1.Route) []string {
	methods := route.GetMethods()
	if len(methods) == 0 {
		methods = []string{"*"}
	}
	keys := make([]string, 0, len(methods))
	for _, method := range methods {
		keys = append(keys, method+" "+route.GetHost()+route.GetPathPrefix())
	}
	return keys
}

// validateSecrets checks only the secrets that the revision changed, because parsing a key pair is
// costly.
func (s *State) validateSecrets(faults *result.List) {
	for _, name := range slices.Sorted(maps.Keys(s.Secrets)) {
		if s.ObjectRevisions[KeyOf(KindSecret, name)] != s.Revision {
			continue
		}
		secret := s.Secrets[name]
		validateName(faults, KindSecret, name)
		validateGroup(faults, KindSecret, name, secret.GetGroup())
		// The parser's error is left out, because it may quote its input.
		if _, err := tls.X509KeyPair(secret.GetCertificatePem(), secret.GetPrivateKeyPem()); err != nil {
			faults.Add(result.ConfigBadKeyPair, "secret %s", name)
		}
	}
}

func (s *State) validateShares(faults *result.List) {
	sums := map[string]uint32{}
	for _, name := range slices.Sorted(maps.Keys(s.Shares)) {
		share := s.Shares[name]
		validateName(faults, KindShare, name)
		validateGroup(faults, KindShare, name, share.GetGroup())
		if _, ok := s.Pools[share.GetPool()]; !ok {
			faults.Add(result.ConfigUnknownPool, "share %s refers to pool %q", name, share.GetPool())
		}
		if share.GetPercent() == 0 || share.GetPercent() > maxSharePercent {
			faults.Add(result.ConfigBadLimit, "percent %d of share %s", share.GetPercent(), name)
			continue
		}
		sums[share.GetPool()] += share.GetPercent()
	}
	for _, pool := range slices.Sorted(maps.Keys(sums)) {
		if sums[pool] > maxSharePercent {
			faults.Add(result.ConfigShareOverflow, "the shares of pool %s sum to %d percent", pool, sums[pool])
		}
	}
}
