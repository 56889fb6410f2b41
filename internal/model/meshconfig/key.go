package meshconfig

import (
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Kind is the kind of a configuration object.
type Kind string

const (
	KindPool   Kind = "pool"
	KindRoute  Kind = "route"
	KindSecret Kind = "secret"
	KindShare  Kind = "share"
	// KindAccount is the kind of accounts, which only administrators may change.
	KindAccount Kind = "account"
)

// ObjectKey identifies one configuration object as "kind/name".
type ObjectKey string

// KeyOf returns the key of an object.
func KeyOf(kind Kind, name string) ObjectKey {
	return ObjectKey(string(kind) + "/" + name)
}

func (k ObjectKey) split() (Kind, string) {
	kind, name, found := strings.Cut(string(k), "/")
	if !found {
		return "", string(k)
	}
	return Kind(kind), name
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

// ChangeKey returns the key of the object that change replaces or removes.
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
	case *lapisv1.Change_Account:
		return KeyOf(KindAccount, object.Account.GetName())
	default:
		return KeyOf(Kind(change.GetRemovedKind()), change.GetRemovedName())
	}
}
