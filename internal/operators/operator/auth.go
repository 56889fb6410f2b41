package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// TokensKey is the key of the platform's object that holds the operators.
const TokensKey = "operators/tokens"

// AdminGroup is the group of administrators, who may change the objects of all groups.
const AdminGroup = "*"

// tokenCacheTTL is the lifetime of the cache of operators. A revoked token stays valid for up to
// that time.
const tokenCacheTTL = 5 * time.Second

// Operator is one operator as stored in the platform.
type Operator struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// TokenSHA256 is the hexadecimal SHA-256 of the token.
	TokenSHA256 string `json:"token_sha256"`
}

// HashToken returns the value of Operator.TokenSHA256 for token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticator finds the operator of a token. It is safe for concurrent use.
type authenticator struct {
	store objectapi.Store

	// mutex protects the cache. It is held during a refresh, so that concurrent requests read the
	// operators only once.
	mutex       sync.Mutex
	operators   []Operator
	refreshedAt time.Time
}

// identify returns the operator of token. Errors: OperatorUnauthenticated,
// platform codes.
func (a *authenticator) identify(ctx context.Context, token string) (Operator, error) {
	operators, err := a.current(ctx)
	if err != nil {
		return Operator{}, err
	}
	hashed := []byte(HashToken(token))
	for _, operator := range operators {
		if subtle.ConstantTimeCompare(hashed, []byte(operator.TokenSHA256)) == 1 {
			return operator, nil
		}
	}
	return Operator{}, result.Errorf(result.OperatorUnauthenticated, "unknown token")
}

// current returns the operators, which it reads from the store when the cache is older than
// tokenCacheTTL. Errors: OperatorUnauthenticated if the store holds none, platform codes.
func (a *authenticator) current(ctx context.Context) ([]Operator, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if time.Since(a.refreshedAt) < tokenCacheTTL {
		return a.operators, nil
	}
	object, err := a.store.Get(ctx, TokensKey)
	if result.Is(err, result.PlatformNotFound) {
		return nil, result.Errorf(result.OperatorUnauthenticated, "the platform holds no operators")
	}
	if err != nil {
		return nil, err
	}
	var operators []Operator
	if err := json.Unmarshal(object.Value, &operators); err != nil {
		return nil, result.Wrap(result.PlatformBadAnswer, err, "decoding %s", TokensKey)
	}
	a.operators = operators
	a.refreshedAt = time.Now()
	return operators, nil
}

// authorize checks that all objects of the changes belong to the operator's group, both before and
// after the change. A share belongs to the group that owns its pool, which may be created by the same
// proposal, so that no group can raise its own share. A share of an unknown pool has no owner, and
// validation refuses it. Accounts belong to administrators, so that no group can raise its own limit.
// Administrators may change all objects. Errors: a *result.List of OperatorForbidden.
func authorize(operator Operator, state *meshconfig.State, changes []*lapisv1.Change) error {
	if operator.Group == AdminGroup {
		return nil
	}
	faults := &result.List{}
	proposedPools := map[string]string{}
	for _, change := range changes {
		if pool := change.GetPool(); pool != nil {
			proposedPools[pool.GetName()] = pool.GetGroup()
		}
	}
	for _, change := range changes {
		key := meshconfig.ChangeKey(change)
		for _, owner := range ownerGroups(state, proposedPools, change) {
			if owner != operator.Group {
				faults.Add(result.OperatorForbidden, "%s belongs to group %s", key, owner)
				break
			}
		}
	}
	return faults.Err()
}

// ownerGroups returns the groups that own the object of a change, before and after the change.
func ownerGroups(state *meshconfig.State, proposedPools map[string]string, change *lapisv1.Change) []string {
	var groups []string
	key := meshconfig.ChangeKey(change)
	share := change.GetShare()
	previous, existed := state.Shares[key.Name()]
	if share != nil || (key.Kind() == meshconfig.KindShare && existed) {
		for _, pool := range []string{share.GetPool(), previous.GetPool()} {
			groups = append(groups, poolOwner(state, proposedPools, pool)...)
		}
		return groups
	}
	if key.Kind() == meshconfig.KindAccount {
		return []string{AdminGroup}
	}
	if group, ok := state.GroupOf(key); ok {
		groups = append(groups, group)
	}
	switch object := change.GetObject().(type) {
	case *lapisv1.Change_Pool:
		groups = append(groups, object.Pool.GetGroup())
	case *lapisv1.Change_Route:
		groups = append(groups, object.Route.GetGroup())
	case *lapisv1.Change_Secret:
		groups = append(groups, object.Secret.GetGroup())
	}
	return groups
}

// poolOwner returns the group of an existing or proposed pool, no group for an unknown pool.
func poolOwner(state *meshconfig.State, proposed map[string]string, pool string) []string {
	if present, ok := state.Pools[pool]; ok {
		return []string{present.GetGroup()}
	}
	if group, ok := proposed[pool]; ok {
		return []string{group}
	}
	return nil
}
