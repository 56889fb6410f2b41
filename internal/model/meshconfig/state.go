package meshconfig

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Kind is the kind of a configuration object.
type Kind string

// Kinds of objects.
const (
	KindPool   Kind = "pool"
	KindRoute  Kind = "route"
	KindSecret Kind = "secret"
	KindShare  Kind = "share"
)

// ObjectKey names one configuration object as "kind/name".
type ObjectKey string

// KeyOf returns the key of an object.
func KeyOf(kind Kind, name string) ObjectKey {
	return ObjectKey(string(kind) + "/" + name)
}

// HistoryWindow is the number of revisions for which removed objects and
// operation ids are remembered. A proposal written against an older base is
// refused as stale.
const HistoryWindow = 4096

// State is the whole configuration at one revision. A State is immutable:
// Apply returns a new one.
type State struct {
	Revision uint64
	Pools    map[string]*lapisv1.Pool
	Routes   map[string]*lapisv1.Route
	Secrets  map[string]*lapisv1.Secret
	Shares   map[string]*lapisv1.Share
	// ObjectRevisions gives the last change of each object, also of objects
	// removed within HistoryWindow.
	ObjectRevisions map[ObjectKey]uint64
	// Operations maps recent operation ids to the revision they became.
	Operations map[string]uint64
	// Bundles holds the encoded bundle of each pool.
	Bundles map[string]*lapisv1.EncodedBundle
	// Digest covers all Bundles.
	Digest digest.Set
	// AcceptedUnixMillis is the acceptance time of Revision.
	AcceptedUnixMillis int64
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		Pools:           map[string]*lapisv1.Pool{},
		Routes:          map[string]*lapisv1.Route{},
		Secrets:         map[string]*lapisv1.Secret{},
		Shares:          map[string]*lapisv1.Share{},
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
	copied.ObjectRevisions = maps.Clone(s.ObjectRevisions)
	copied.Operations = maps.Clone(s.Operations)
	copied.Bundles = maps.Clone(s.Bundles)
	return &copied
}

// Stored returns the form in which the state is kept in the object API.
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

// FromStored rebuilds a state. Errors: DistributionDigestMismatch,
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
		if err := state.adoptBundle(encoded); err != nil {
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

// adoptBundle takes the objects of a verified bundle into the state.
func (s *State) adoptBundle(encoded *lapisv1.EncodedBundle) error {
	bundle, err := DecodeBundle(encoded)
	if err != nil {
		return err
	}
	s.Bundles[encoded.GetService()] = encoded
	s.Digest.Add(digest.MemberOf(encoded.GetService(), encoded.GetDigest()))
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

// Advance applies an accepted revision read from the log. It verifies that the
// revision follows s, that every bundle has its digest and that the whole has
// the digest that the acceptor wrote. Errors: DistributionWrongBase,
// DistributionDigestMismatch, DistributionBadBundle.
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

func (s *State) recordOperation(operation string) {
	if operation != "" {
		s.Operations[operation] = s.Revision
	}
	if s.Revision%(HistoryWindow/16) != 0 || s.Revision < HistoryWindow {
		return
	}
	s.forgetBefore(s.Revision - HistoryWindow)
}

// forgetBefore drops operation ids and removed objects older than revision.
func (s *State) forgetBefore(revision uint64) {
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

// EncodeBundle serializes bundle and takes its digest.
func EncodeBundle(bundle *lapisv1.Bundle, revision uint64) (*lapisv1.EncodedBundle, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(bundle)
	if err != nil {
		return nil, result.Wrap(result.DistributionBadBundle, err, "encoding %s", bundle.GetPool().GetName())
	}
	sum := digest.OfContent(content)
	return &lapisv1.EncodedBundle{
		Service:         bundle.GetPool().GetName(),
		Content:         content,
		Digest:          sum[:],
		ChangedRevision: revision,
	}, nil
}

// DecodeBundle verifies the digest and closure of encoded and decodes it.
// Errors: DistributionDigestMismatch, DistributionBadBundle,
// DistributionNotClosed.
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

// CheckClosed reports DistributionNotClosed when a route or share of the
// bundle refers to a pool or secret that the bundle lacks.
func CheckClosed(service string, bundle *lapisv1.Bundle) error {
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
