package meshconfig

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// ChangeKey returns the object that change replaces or removes.
func ChangeKey(change *lapisv1.Change) ObjectKey {
	switch object := change.GetObject().(type) {
	case *lapisv1.Change_Pool:
		return KeyOf(KindPool, object.Pool.GetName())
	case *lapisv1.Change_Route:
		return KeyOf(KindRoute, object.Route.GetName())
	case *lapisv1.Change_Secret:
		return KeyOf(KindSecret, object.Secret.GetName())
	case *lapisv1.Change_Share:
		return KeyOf(KindShare, object.Share.GetName())
	default:
		return KeyOf(Kind(change.GetRemovedKind()), change.GetRemovedName())
	}
}

// GroupOf returns the group that owns the object; ok is false when it does not
// exist.
func (s *State) GroupOf(key ObjectKey) (group string, ok bool) {
	kind, name := key.split()
	switch kind {
	case KindPool:
		return groupOf(s.Pools, name)
	case KindRoute:
		return groupOf(s.Routes, name)
	case KindSecret:
		return groupOf(s.Secrets, name)
	case KindShare:
		return groupOf(s.Shares, name)
	default:
		return "", false
	}
}

type groupOwned interface{ GetGroup() string }

func groupOf[T groupOwned](objects map[string]T, name string) (string, bool) {
	object, ok := objects[name]
	if !ok {
		return "", false
	}
	return object.GetGroup(), true
}

func (k ObjectKey) split() (Kind, string) {
	for index := range len(k) {
		if k[index] == '/' {
			return Kind(k[:index]), string(k[index+1:])
		}
	}
	return "", string(k)
}

// Kind returns the kind of the object.
func (k ObjectKey) Kind() Kind {
	kind, _ := k.split()
	return kind
}

// Name returns the name of the object.
func (k ObjectKey) Name() string {
	_, name := k.split()
	return name
}

func (s *State) exists(key ObjectKey) bool {
	_, ok := s.GroupOf(key)
	return ok
}

// Conflict names the accepted revision that a proposal collides with.
type Conflict struct {
	Key      ObjectKey
	Revision uint64
}

// FindConflict returns the first object of the proposal that another revision
// changed after the proposal's base; ok is false when there is none.
func (s *State) FindConflict(proposal *lapisv1.Proposal) (conflict Conflict, ok bool) {
	for _, change := range proposal.GetChanges() {
		key := ChangeKey(change)
		if changed := s.ObjectRevisions[key]; changed > proposal.GetBaseRevision() {
			return Conflict{Key: key, Revision: changed}, true
		}
	}
	return Conflict{}, false
}

// Accept returns the revision that accepting proposal on top of s makes, and
// the state after it. The caller must already have excluded conflicts. Errors:
// a *result.List with every fault of the resulting configuration, or
// OperatorStaleProposal.
func (s *State) Accept(proposal *lapisv1.Proposal, now time.Time) (*lapisv1.Revision, *State, error) {
	if proposal.GetBaseRevision()+HistoryWindow < s.Revision {
		return nil, nil, result.Errorf(result.OperatorStaleProposal, "base %d, now %d", proposal.GetBaseRevision(), s.Revision)
	}
	if err := s.checkRemovals(proposal); err != nil {
		return nil, nil, err
	}
	affected := s.affectedServices(proposal.GetChanges())
	next := s.clone()
	next.Revision = s.Revision + 1
	next.AcceptedUnixMillis = now.UnixMilli()
	next.applyChanges(proposal.GetChanges())
	next.recordOperation(proposal.GetOperationId())
	next.addAffected(affected, proposal.GetChanges())
	if err := next.Validate(affected); err != nil {
		return nil, nil, err
	}
	bundles, err := next.rebuildBundles(affected)
	if err != nil {
		return nil, nil, err
	}
	revision := &lapisv1.Revision{
		Number:             next.Revision,
		Proposal:           proposal,
		Bundles:            bundles,
		Digest:             next.Digest.Bytes(),
		AcceptedUnixMillis: next.AcceptedUnixMillis,
	}
	return revision, next, nil
}

func (s *State) checkRemovals(proposal *lapisv1.Proposal) error {
	faults := &result.List{}
	seen := map[ObjectKey]bool{}
	for _, change := range proposal.GetChanges() {
		key := ChangeKey(change)
		if seen[key] {
			faults.Add(result.ConfigDuplicateObject, "%s", key)
		}
		seen[key] = true
		if change.GetRemovedKind() != "" && !s.exists(key) {
			faults.Add(result.ConfigNothingToRemove, "%s", key)
		}
	}
	return faults.Err()
}

func (s *State) applyChanges(changes []*lapisv1.Change) {
	for _, change := range changes {
		switch object := change.GetObject().(type) {
		case *lapisv1.Change_Pool:
			s.Pools[object.Pool.GetName()] = object.Pool
		case *lapisv1.Change_Route:
			s.Routes[object.Route.GetName()] = object.Route
		case *lapisv1.Change_Secret:
			s.Secrets[object.Secret.GetName()] = object.Secret
		case *lapisv1.Change_Share:
			s.Shares[object.Share.GetName()] = object.Share
		default:
			s.removeObject(Kind(change.GetRemovedKind()), change.GetRemovedName())
		}
		s.ObjectRevisions[ChangeKey(change)] = s.Revision
	}
}

func (s *State) removeObject(kind Kind, name string) {
	switch kind {
	case KindPool:
		delete(s.Pools, name)
	case KindRoute:
		delete(s.Routes, name)
	case KindSecret:
		delete(s.Secrets, name)
	case KindShare:
		delete(s.Shares, name)
	}
}

// affectedServices returns the services whose bundle may change, judged by the
// references before the changes.
func (s *State) affectedServices(changes []*lapisv1.Change) map[string]bool {
	affected := map[string]bool{}
	s.addAffected(affected, changes)
	return affected
}

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
			s.addUsersOf(affected, name)
		}
	}
}

func (s *State) addUsersOf(affected map[string]bool, secret string) {
	for _, route := range s.Routes {
		if route.GetSecret() == secret {
			affected[route.GetPool()] = true
		}
	}
}

// rebuildBundles encodes the affected bundles anew and returns those that
// changed, in order of service.
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

func (s *State) rebuildBundle(service string, bundle *lapisv1.Bundle) (*lapisv1.EncodedBundle, error) {
	previous, existed := s.Bundles[service]
	pool, exists := s.Pools[service]
	if !exists {
		if !existed {
			return nil, nil
		}
		removed := &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: s.Revision}
		return removed, s.replaceBundle(removed)
	}
	bundle.Pool = pool
	encoded, err := EncodeBundle(bundle, s.Revision)
	if err != nil {
		return nil, err
	}
	if existed && string(previous.GetDigest()) == string(encoded.GetDigest()) {
		return nil, nil
	}
	return encoded, s.replaceBundle(encoded)
}

// collectMembers gathers the objects of each affected service in a stable
// order.
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

// DigestOf returns the digest over the bundles of the given services.
func DigestOf(bundles map[string]*lapisv1.EncodedBundle) digest.Set {
	var set digest.Set
	for service, encoded := range bundles {
		set.Add(digest.MemberOf(service, encoded.GetDigest()))
	}
	return set
}
