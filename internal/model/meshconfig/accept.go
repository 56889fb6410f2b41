package meshconfig

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// GroupOf returns the group that owns the object; ok is false when it does not exist.
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
	case KindAccount:
		// The name of an account is also the group of its callers.
		_, ok = s.Accounts[name]
		return name, ok
	default:
		return "", false
	}
}

func groupOf[T interface{ GetGroup() string }](objects map[string]T, name string) (string, bool) {
	object, ok := objects[name]
	if !ok {
		return "", false
	}
	return object.GetGroup(), true
}

func (s *State) exists(key ObjectKey) bool {
	_, ok := s.GroupOf(key)
	return ok
}

// Conflict is an object that an accepted revision changed after the base of a proposal.
type Conflict struct {
	Key      ObjectKey
	Revision uint64
}

// FindConflict returns the first object of the proposal that another revision
// changed after the proposal's base; ok is false if there is none.
func (s *State) FindConflict(proposal *lapisv1.Proposal) (conflict Conflict, ok bool) {
	for _, change := range proposal.GetChanges() {
		key := ChangeKey(change)
		if changed := s.ObjectRevisions[key]; changed > proposal.GetBaseRevision() {
			return Conflict{Key: key, Revision: changed}, true
		}
	}
	return Conflict{}, false
}

// Accept returns the revision that results from accepting proposal on top of s, and
// the state after it. The caller must have excluded conflicts (FindConflict). Errors:
// a *result.List with all faults of the resulting configuration, or
// OperatorStaleProposal.
func (s *State) Accept(proposal *lapisv1.Proposal, now time.Time) (*lapisv1.Revision, *State, error) {
	if proposal.GetBaseRevision()+HistoryWindow < s.Revision {
		return nil, nil, result.Errorf(result.OperatorStaleProposal, "base %d, now %d", proposal.GetBaseRevision(), s.Revision)
	}
	if err := s.checkChanges(proposal); err != nil {
		return nil, nil, err
	}
	affected := map[string]bool{}
	s.addAffected(affected, proposal.GetChanges())
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

// checkChanges checks that no object is changed twice and that every removed object exists. Errors: a
// *result.List of ConfigDuplicateObject and ConfigNothingToRemove.
func (s *State) checkChanges(proposal *lapisv1.Proposal) error {
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
		case *lapisv1.Change_Account:
			s.Accounts[object.Account.GetName()] = object.Account
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
	case KindAccount:
		delete(s.Accounts, name)
	}
}

// Advance applies an accepted revision read from the log. It verifies that the
// revision follows s, that every bundle matches its digest and that the resulting
// configuration matches the digest written by the acceptor. Errors:
// DistributionWrongBase, DistributionDigestMismatch, DistributionBadBundle.
func (s *State) Advance(revision *lapisv1.Revision) (*State, error) {
	if revision.GetNumber() != s.Revision+1 {
		return nil, result.Errorf(result.DistributionWrongBase,
			"revision %d cannot follow %d", revision.GetNumber(), s.Revision)
	}
	next := s.clone()
	next.Revision = revision.GetNumber()
	next.AcceptedUnixMillis = revision.GetAcceptedUnixMillis()
	next.applyChanges(revision.GetProposal().GetChanges())
	next.recordOperation(revision.GetProposal().GetOperationId())
	for _, encoded := range revision.GetBundles() {
		if err := next.replaceBundle(encoded); err != nil {
			return nil, err
		}
	}
	return next, next.checkDigest(revision.GetDigest())
}
