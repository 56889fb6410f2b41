package meshconfig

import (
	"maps"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// HistoryWindow is the number of revisions for which removed objects and operation ids are
	// kept. A proposal with an older base is refused as stale, because conflicts with removed
	// objects could not be detected.
	HistoryWindow = 4096
	// historyPruneInterval is the number of revisions between two prunings of the history, each of
	// which visits all objects. It is far below HistoryWindow.
	historyPruneInterval = HistoryWindow / 16
)

// State is the whole configuration at one revision. It is immutable and therefore safe for concurrent
// reads: Accept and Advance return a new State.
type State struct {
	Revision uint64
	Pools    map[string]*lapisv1.Pool
	Routes   map[string]*lapisv1.Route
	Secrets  map[string]*lapisv1.Secret
	Shares   map[string]*lapisv1.Share
	// Accounts are the accounts of callers; if there are none, callers need no API key.
	Accounts map[string]*lapisv1.Account
	// ObjectRevisions maps each object to the revision that last changed it, including
	// objects removed within HistoryWindow.
	ObjectRevisions map[ObjectKey]uint64
	// Operations maps the id of each recent operation to the revision that it created.
	Operations map[string]uint64
	// Bundles holds the encoded bundles by service: one per pool, and that of AccountsService.
	Bundles map[string]*lapisv1.EncodedBundle
	// Digest covers all Bundles.
	Digest digest.Set
	// AcceptedUnixMillis is the acceptance time of Revision, in milliseconds since 1970.
	AcceptedUnixMillis int64
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		Pools:           map[string]*lapisv1.Pool{},
		Routes:          map[string]*lapisv1.Route{},
		Secrets:         map[string]*lapisv1.Secret{},
		Shares:          map[string]*lapisv1.Share{},
		Accounts:        map[string]*lapisv1.Account{},
		ObjectRevisions: map[ObjectKey]uint64{},
		Operations:      map[string]uint64{},
		Bundles:         map[string]*lapisv1.EncodedBundle{},
	}
}

func (s *State) clone() *State {
	copied := *s
	copied.Pools = maps.Clone(s.Pools)
	copied.Routes = maps.Clone(s.Routes)
	copied.Secrets = maps.Clone(s.Secrets)
	copied.Shares = maps.Clone(s.Shares)
	copied.Accounts = maps.Clone(s.Accounts)
	copied.ObjectRevisions = maps.Clone(s.ObjectRevisions)
	copied.Operations = maps.Clone(s.Operations)
	copied.Bundles = maps.Clone(s.Bundles)
	return &copied
}

// Stored converts the state to the message that is stored in the object API.
func (s *State) Stored() *lapisv1.StoredSnapshot {
	used := map[string]bool{}
	for _, route := range s.Routes {
		used[route.GetSecret()] = true
	}
	stored := &lapisv1.StoredSnapshot{
		Revision:           s.Revision,
		ObjectRevisions:    make(map[string]uint64, len(s.ObjectRevisions)),
		Operations:         maps.Clone(s.Operations),
		Digest:             s.Digest.Bytes(),
		AcceptedUnixMillis: s.AcceptedUnixMillis,
	}
	for key, revision := range s.ObjectRevisions {
		stored.ObjectRevisions[string(key)] = revision
	}
	for _, service := range slices.Sorted(maps.Keys(s.Bundles)) {
		stored.Bundles = append(stored.Bundles, s.Bundles[service])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Secrets)) {
		if !used[name] {
			stored.UnusedSecrets = append(stored.UnusedSecrets, s.Secrets[name])
		}
	}
	return stored
}

// FromStored restores a state from its stored message. Errors: DistributionDigestMismatch,
// DistributionBadBundle.
func FromStored(stored *lapisv1.StoredSnapshot) (*State, error) {
	state := NewState()
	state.Revision = stored.GetRevision()
	state.AcceptedUnixMillis = stored.GetAcceptedUnixMillis()
	for key, revision := range stored.GetObjectRevisions() {
		state.ObjectRevisions[ObjectKey(key)] = revision
	}
	maps.Copy(state.Operations, stored.GetOperations())
	for _, secret := range stored.GetUnusedSecrets() {
		state.Secrets[secret.GetName()] = secret
	}
	for _, encoded := range stored.GetBundles() {
		if err := state.loadBundle(encoded); err != nil {
			return nil, err
		}
	}
	return state, state.checkDigest(stored.GetDigest())
}

func (s *State) checkDigest(expected []byte) error {
	set, ok := digest.ParseSet(expected)
	if !ok || set != s.Digest {
		return result.Errorf(result.DistributionDigestMismatch, "revision %d", s.Revision)
	}
	return nil
}

// loadBundle decodes and verifies a bundle and adds it and its objects to the state.
func (s *State) loadBundle(encoded *lapisv1.EncodedBundle) error {
	bundle, err := DecodeBundle(encoded)
	if err != nil {
		return err
	}
	s.Bundles[encoded.GetService()] = encoded
	s.Digest.Add(digest.MemberOf(encoded.GetService(), encoded.GetDigest()))
	if encoded.GetService() == AccountsService {
		for _, account := range bundle.GetAccounts().GetAccounts() {
			s.Accounts[account.GetName()] = account
		}
		return nil
	}
	s.Pools[bundle.GetPool().GetName()] = bundle.GetPool()
	for _, route := range bundle.GetRoutes() {
		s.Routes[route.GetName()] = route
	}
	for _, secret := range bundle.GetSecrets() {
		s.Secrets[secret.GetName()] = secret
	}
	for _, share := range bundle.GetShares() {
		s.Shares[share.GetName()] = share
	}
	return nil
}

// recordOperation records the id of the operation that created the current revision, and prunes the
// history every historyPruneInterval revisions.
func (s *State) recordOperation(operation string) {
	if operation != "" {
		s.Operations[operation] = s.Revision
	}
	if s.Revision%historyPruneInterval != 0 || s.Revision < HistoryWindow {
		return
	}
	s.pruneHistory(s.Revision - HistoryWindow)
}

// pruneHistory deletes operation ids and entries of removed objects older than revision.
func (s *State) pruneHistory(revision uint64) {
	for id, accepted := range s.Operations {
		if accepted < revision {
			delete(s.Operations, id)
		}
	}
	for key, changed := range s.ObjectRevisions {
		if changed < revision && !s.exists(key) {
			delete(s.ObjectRevisions, key)
		}
	}
}
