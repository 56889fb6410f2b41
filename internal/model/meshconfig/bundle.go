package meshconfig

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// AccountsService is the service name of the bundle that contains the accounts. It is not a valid
// pool name, so that it cannot collide with one.
const AccountsService = "@accounts"

// serviceOf returns the service name under which a bundle is distributed.
func serviceOf(bundle *lapisv1.Bundle) string {
	if bundle.GetAccounts() != nil {
		return AccountsService
	}
	return bundle.GetPool().GetName()
}

// EncodeBundle serializes bundle and computes its digest.
func EncodeBundle(bundle *lapisv1.Bundle, revision uint64) (*lapisv1.EncodedBundle, error) {
	service := serviceOf(bundle)
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(bundle)
	if err != nil {
		return nil, result.Wrap(result.DistributionBadBundle, err, "encoding %s", service)
	}
	sum := digest.OfContent(content)
	return &lapisv1.EncodedBundle{
		Service:         service,
		Content:         content,
		Digest:          sum[:],
		ChangedRevision: revision,
	}, nil
}

// DecodeBundle decodes a bundle and verifies its digest and that it is closed (CheckClosed).
// Errors: DistributionDigestMismatch, DistributionBadBundle, DistributionNotClosed.
func DecodeBundle(encoded *lapisv1.EncodedBundle) (*lapisv1.Bundle, error) {
	sum := digest.OfContent(encoded.GetContent())
	if string(sum[:]) != string(encoded.GetDigest()) {
		return nil, result.Errorf(result.DistributionDigestMismatch, "bundle %s", encoded.GetService())
	}
	bundle := &lapisv1.Bundle{}
	if err := proto.Unmarshal(encoded.GetContent(), bundle); err != nil {
		return nil, result.Wrap(result.DistributionBadBundle, err, "bundle %s", encoded.GetService())
	}
	return bundle, CheckClosed(encoded.GetService(), bundle)
}

// CheckClosed checks that a bundle contains all pools and secrets that its routes and shares refer to,
// and that only the bundle of AccountsService contains accounts. The pools of a split are not checked,
// since they are in other bundles. Errors: DistributionNotClosed.
func CheckClosed(service string, bundle *lapisv1.Bundle) error {
	if service == AccountsService {
		return checkOnlyAccounts(bundle)
	}
	if bundle.GetAccounts() != nil {
		return result.Errorf(result.DistributionNotClosed, "bundle %s holds accounts", service)
	}
	if bundle.GetPool().GetName() != service {
		return result.Errorf(result.DistributionNotClosed, "bundle %s holds pool %q", service, bundle.GetPool().GetName())
	}
	secrets := map[string]bool{"": true}
	for _, secret := range bundle.GetSecrets() {
		secrets[secret.GetName()] = true
	}
	for _, route := range bundle.GetRoutes() {
		if route.GetPool() != service {
			return result.Errorf(result.DistributionNotClosed, "route %s lacks pool %s", route.GetName(), route.GetPool())
		}
		if !secrets[route.GetSecret()] {
			return result.Errorf(result.DistributionNotClosed, "route %s lacks secret %s", route.GetName(), route.GetSecret())
		}
	}
	for _, share := range bundle.GetShares() {
		if share.GetPool() != service {
			return result.Errorf(result.DistributionNotClosed, "share %s lacks pool %s", share.GetName(), share.GetPool())
		}
	}
	return nil
}

// checkOnlyAccounts checks that a bundle contains accounts and nothing else. Errors:
// DistributionNotClosed.
func checkOnlyAccounts(bundle *lapisv1.Bundle) error {
	others := len(bundle.GetRoutes()) + len(bundle.GetSecrets()) + len(bundle.GetShares())
	if bundle.GetAccounts() == nil || bundle.GetPool() != nil || others > 0 {
		return result.Errorf(result.DistributionNotClosed, "bundle %s holds more or less than accounts", AccountsService)
	}
	return nil
}

// replaceBundle verifies a bundle and replaces the previous bundle of its service, or removes that if
// the bundle is marked as removed. Errors: those of DecodeBundle.
func (s *State) replaceBundle(encoded *lapisv1.EncodedBundle) error {
	service := encoded.GetService()
	if previous, ok := s.Bundles[service]; ok {
		s.Digest.Remove(digest.MemberOf(service, previous.GetDigest()))
		delete(s.Bundles, service)
	}
	if encoded.GetRemoved() {
		return nil
	}
	if _, err := DecodeBundle(encoded); err != nil {
		return err
	}
	s.Bundles[service] = encoded
	s.Digest.Add(digest.MemberOf(service, encoded.GetDigest()))
	return nil
}

// addAffected adds the services whose bundles may differ because of the changes, according to the
// references in s.
func (s *State) addAffected(affected map[string]bool, changes []*lapisv1.Change) {
	for _, change := range changes {
		kind, name := ChangeKey(change).split()
		switch kind {
		case KindPool:
			affected[name] = true
		case KindRoute:
			if route, ok := s.Routes[name]; ok {
				affected[route.GetPool()] = true
			}
		case KindShare:
			if share, ok := s.Shares[name]; ok {
				affected[share.GetPool()] = true
			}
		case KindSecret:
			s.addPoolsUsingSecret(affected, name)
		case KindAccount:
			affected[AccountsService] = true
		}
	}
}

func (s *State) addPoolsUsingSecret(affected map[string]bool, secret string) {
	for _, route := range s.Routes {
		if route.GetSecret() == secret {
			affected[route.GetPool()] = true
		}
	}
}

// rebuildBundles encodes the affected bundles and returns those that changed, sorted by service.
func (s *State) rebuildBundles(affected map[string]bool) ([]*lapisv1.EncodedBundle, error) {
	members := s.collectMembers(affected)
	var changed []*lapisv1.EncodedBundle
	for _, service := range slices.Sorted(maps.Keys(affected)) {
		encoded, err := s.rebuildBundle(service, members[service])
		if err != nil {
			return nil, err
		}
		if encoded != nil {
			changed = append(changed, encoded)
		}
	}
	return changed, nil
}

// rebuildBundle encodes the bundle of a service; it returns nil if the bundle did not change.
func (s *State) rebuildBundle(service string, bundle *lapisv1.Bundle) (*lapisv1.EncodedBundle, error) {
	previous, existed := s.Bundles[service]
	if !s.hasBundle(service) {
		if !existed {
			return nil, nil
		}
		removed := &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: s.Revision}
		return removed, s.replaceBundle(removed)
	}
	bundle.Pool = s.Pools[service]
	encoded, err := EncodeBundle(bundle, s.Revision)
	if err != nil {
		return nil, err
	}
	if existed && string(previous.GetDigest()) == string(encoded.GetDigest()) {
		return nil, nil
	}
	return encoded, s.replaceBundle(encoded)
}

// hasBundle reports whether the configuration has a bundle of a service.
func (s *State) hasBundle(service string) bool {
	if service == AccountsService {
		return len(s.Accounts) > 0
	}
	_, exists := s.Pools[service]
	return exists
}

// collectMembers returns the objects of each affected service except its pool, in a stable order.
func (s *State) collectMembers(affected map[string]bool) map[string]*lapisv1.Bundle {
	members := map[string]*lapisv1.Bundle{}
	for service := range affected {
		members[service] = &lapisv1.Bundle{}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		route := s.Routes[name]
		if bundle, ok := members[route.GetPool()]; ok {
			bundle.Routes = append(bundle.Routes, route)
			s.addSecret(bundle, route.GetSecret())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Shares)) {
		share := s.Shares[name]
		if bundle, ok := members[share.GetPool()]; ok {
			bundle.Shares = append(bundle.Shares, share)
		}
	}
	if bundle, ok := members[AccountsService]; ok {
		bundle.Accounts = &lapisv1.Accounts{Accounts: s.sortedAccounts()}
	}
	return members
}

func (s *State) addSecret(bundle *lapisv1.Bundle, name string) {
	if name == "" {
		return
	}
	for _, present := range bundle.GetSecrets() {
		if present.GetName() == name {
			return
		}
	}
	bundle.Secrets = append(bundle.Secrets, s.Secrets[name])
}

// DigestOf returns the digest over a set of bundles, keyed by service.
func DigestOf(bundles map[string]*lapisv1.EncodedBundle) digest.Set {
	var set digest.Set
	for service, encoded := range bundles {
		set.Add(digest.MemberOf(service, encoded.GetDigest()))
	}
	return set
}
