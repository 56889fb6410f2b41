// Package snapshot provides the configuration in force on a daemon: an immutable
// Snapshot, indexed for routing, which is replaced by an atomic pointer swap.
//
// The package owns the snapshot in force (Store), in memory only: after a restart there is none until
// the distribution plane delivers a configuration. The package starts no goroutines. It uses package
// meshconfig to decode and verify bundles.
//
// Invariants: a call uses the same snapshot for all its attempts; a revision is put in force as a
// whole or not at all, and never after a higher one.
package snapshot

import (
	"crypto/tls"
	"maps"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Service is one pool with its routes and shares. It is immutable and safe for concurrent use.
type Service struct {
	Bundle *lapisv1.Bundle
	// Drained and Retired are the ids of the pool's instances that operators have excluded from new
	// work: until further notice, and permanently.
	Drained map[string]bool
	Retired map[string]bool
	// Shares maps each group to its percentage of the pool; the percentages sum to at most 100.
	Shares map[string]uint32
	// source is the bundle that the service was decoded from.
	source *lapisv1.EncodedBundle
	// certificates holds the parsed secrets by name.
	certificates map[string]*tls.Certificate
}

// Snapshot is an immutable configuration version. It is safe for concurrent use.
type Snapshot struct {
	Revision uint64
	// AcceptedUnixMillis is the acceptance time of the revision by the acceptor's clock, in
	// milliseconds since 1970; 0 if the source does not provide it.
	AcceptedUnixMillis int64
	services           map[string]*Service
	// Limits are the limits of callers' requests; nil if the source sets none.
	Limits *lapisv1.Limits
	// Accounts are the accounts of callers; nil if callers need no API key.
	Accounts *account.Directory
	// accountsSource is the bundle that Accounts was decoded from; nil if the accounts did not come
	// in a bundle.
	accountsSource *lapisv1.EncodedBundle
	// routes holds the routes of each host, "" for any, sorted by descending
	// specificity.
	routes       map[string][]*lapisv1.Route
	certificates map[string]*tls.Certificate
}

// Build decodes and checks bundles and returns the snapshot made of them. Unchanged services are
// reused from previous, which may be nil. Errors: DistributionDigestMismatch, DistributionBadBundle
// (also for an invalid key pair), DistributionNotClosed.
func Build(revision uint64, acceptedUnixMillis int64, bundles map[string]*lapisv1.EncodedBundle, previous *Snapshot) (*Snapshot, error) {
	next := &Snapshot{
		Revision: revision, AcceptedUnixMillis: acceptedUnixMillis,
		services:     make(map[string]*Service, len(bundles)),
		certificates: map[string]*tls.Certificate{},
	}
	accounts, hasAccounts := bundles[meshconfig.AccountsService]
	if err := next.loadAccounts(accounts, previous); err != nil {
		return nil, err
	}
	pools := len(bundles)
	if hasAccounts {
		pools--
	}
	changed := previous == nil || len(previous.services) != pools
	for name, encoded := range bundles {
		if name == meshconfig.AccountsService {
			continue
		}
		if previous != nil {
			if service, ok := previous.services[name]; ok && service.source == encoded {
				next.services[name] = service
				continue
			}
		}
		service, err := buildService(encoded)
		if err != nil {
			return nil, err
		}
		next.services[name] = service
		changed = true
	}
	if !changed {
		next.routes = previous.routes
		next.certificates = previous.certificates
		return next, nil
	}
	next.index()
	return next, next.checkSplits()
}

// loadAccounts decodes the accounts from their bundle, which is nil if there are none. Unchanged
// accounts are reused from previous, which may be nil. Errors: those of meshconfig.DecodeBundle.
func (s *Snapshot) loadAccounts(encoded *lapisv1.EncodedBundle, previous *Snapshot) error {
	if encoded == nil {
		return nil
	}
	s.accountsSource = encoded
	if previous != nil && previous.accountsSource == encoded {
		s.Accounts = previous.Accounts
		return nil
	}
	bundle, err := meshconfig.DecodeBundle(encoded)
	if err != nil {
		return err
	}
	s.Accounts = account.NewDirectory(bundle.GetAccounts())
	return nil
}

func buildService(encoded *lapisv1.EncodedBundle) (*Service, error) {
	bundle, err := meshconfig.DecodeBundle(encoded)
	if err != nil {
		return nil, err
	}
	service := &Service{
		Bundle: bundle, source: encoded,
		Drained: toSet(bundle.GetPool().GetDrained()), Retired: toSet(bundle.GetPool().GetRetired()),
		Shares: map[string]uint32{}, certificates: map[string]*tls.Certificate{},
	}
	for _, share := range bundle.GetShares() {
		service.Shares[share.GetGroup()] += share.GetPercent()
	}
	for _, secret := range bundle.GetSecrets() {
		pair, err := tls.X509KeyPair(secret.GetCertificatePem(), secret.GetPrivateKeyPem())
		if err != nil {
			return nil, result.Errorf(result.DistributionBadBundle, "secret %s has no usable key pair", secret.GetName())
		}
		service.certificates[secret.GetName()] = &pair
	}
	return service, nil
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// checkSplits checks that the snapshot contains all pools that routes are split between.
// Errors: DistributionNotClosed.
func (s *Snapshot) checkSplits() error {
	for _, routes := range s.routes {
		for _, route := range routes {
			for _, part := range route.GetSplit() {
				if _, ok := s.services[part.GetPool()]; !ok {
					return result.Errorf(result.DistributionNotClosed, "route %s lacks pool %s", route.GetName(), part.GetPool())
				}
			}
		}
	}
	return nil
}

// index builds the sorted route list of each host and the map of certificates by host.
func (s *Snapshot) index() {
	s.routes = map[string][]*lapisv1.Route{}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		service := s.services[name]
		for _, route := range service.Bundle.GetRoutes() {
			s.routes[route.GetHost()] = append(s.routes[route.GetHost()], route)
			if certificate, ok := service.certificates[route.GetSecret()]; ok {
				s.certificates[route.GetHost()] = certificate
			}
		}
	}
	for _, routes := range s.routes {
		slices.SortStableFunc(routes, compareSpecificity)
	}
}

// Service returns a service; ok is false if the snapshot does not contain it.
func (s *Snapshot) Service(name string) (service *Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// ServiceNames returns the names of the services, in no particular order.
func (s *Snapshot) ServiceNames() []string {
	return slices.Collect(maps.Keys(s.services))
}

// Certificate returns the key pair for a host, or else that of routes without a
// host; nil if there is neither.
func (s *Snapshot) Certificate(host string) *tls.Certificate {
	if certificate, ok := s.certificates[host]; ok {
		return certificate
	}
	return s.certificates[""]
}

// TakesNewWork reports whether an instance, given by its incarnation name, may take new work: its id
// is neither drained nor retired by operators.
func (s *Service) TakesNewWork(instance string) bool {
	if len(s.Drained) == 0 && len(s.Retired) == 0 {
		return true
	}
	id := incarnation.Parse(instance).ID
	return !s.Drained[id] && !s.Retired[id]
}
