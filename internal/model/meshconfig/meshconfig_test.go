package meshconfig_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const base = `
pools: [{name: desk, group: a, slots: 6, connection_limit: 130}]
routes: [{name: docks, group: a, pool: desk, path_prefix: /docks}]
shares: [{name: desk-a, group: a, pool: desk, percent: 70}]
`

func acceptFile(t *testing.T, state *meshconfig.State, operation, file string) (*lapisv1.Revision, *meshconfig.State, error) {
	t.Helper()
	changes, err := meshconfig.ParseFile([]byte(file))
	if err != nil {
		return nil, nil, err
	}
	return state.Accept(&lapisv1.Proposal{OperationId: operation, BaseRevision: state.Revision, Changes: changes}, time.Unix(5, 0))
}

func baseState(t *testing.T) *meshconfig.State {
	t.Helper()
	_, state, err := acceptFile(t, meshconfig.NewState(), "base", base)
	assert.NilError(t, err)
	return state
}

func TestProposalIsRefusedAsAWholeWithEveryFault(t *testing.T) {
	cases := []struct {
		name, file string
		expect     []result.Code
	}{
		{"unknown key", "pools: [{nmae: x}]", []result.Code{result.ConfigUnreadable}},
		{"unknown pool and secret", "routes: [{name: r, group: a, pool: none, path_prefix: /x, secret: none}]",
			[]result.Code{result.ConfigUnknownPool, result.ConfigUnknownSecret}},
		{"shares above 100", "shares: [{name: s, group: b, pool: desk, percent: 31}]", []result.Code{result.ConfigShareOverflow}},
		{"bad names and limits", "pools: [{name: Bad_Name, group: a, slots: 0, connection_limit: 0}]",
			[]result.Code{result.ConfigBadName, result.ConfigBadLimit, result.ConfigBadLimit}},
		{"bad match", "routes: [{name: r, group: a, pool: desk, path_prefix: docks/, host: '-x', methods: ['get it']}]",
			[]result.Code{result.ConfigBadPath, result.ConfigBadHost, result.ConfigBadMethod}},
		{"same match twice", "routes: [{name: r, group: a, pool: desk, path_prefix: /docks}]", []result.Code{result.ConfigDuplicateRoute}},
		{"bad key pair", "secrets: [{name: s, group: a, certificate_pem: x, private_key_pem: y}]", []result.Code{result.ConfigBadKeyPair}},
		{"object twice", "shares: [{name: s, group: a, pool: desk, percent: 1}, {name: s, group: a, pool: desk, percent: 2}]",
			[]result.Code{result.ConfigDuplicateObject}},
		{"a key in two accounts", "accounts: [{name: a, api_keys: [k1]}, {name: b, api_keys: [k2, k1]}]", []result.Code{result.ConfigDuplicateObject}},
		{"an account without a name", "accounts: [{name: '', api_keys: [k1]}]", []result.Code{result.ConfigBadName}},
		{"a limit below 0", "accounts: [{name: a, calls_per_second: -0.5}]", []result.Code{result.ConfigBadLimit}},
		{"an account twice", "accounts: [{name: a}, {name: a}]", []result.Code{result.ConfigDuplicateObject}},
		{"a digest that is none", "accounts: [{name: a, key_digests: [k1]}]", []result.Code{result.ConfigUnreadable}},
		{"an account that is not there", "remove: [{kind: account, name: a}]", []result.Code{result.ConfigNothingToRemove}},
		{"remove what is not there", "remove: [{kind: route, name: none}]", []result.Code{result.ConfigNothingToRemove}},
		{"remove what is referred to", "remove: [{kind: pool, name: desk}]", []result.Code{result.ConfigUnknownPool, result.ConfigUnknownPool}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := acceptFile(t, baseState(t), "op", test.file)
			assert.DeepEqual(t, codesOf(err), test.expect)
		})
	}
}

func codesOf(err error) []result.Code {
	var codes []result.Code
	if list, ok := err.(*result.List); ok {
		for _, fault := range list.Faults {
			codes = append(codes, fault.Code)
		}
		return codes
	}
	code, _ := result.CodeOf(err)
	return []result.Code{code}
}

func TestReplayedLogEqualsAcceptedState(t *testing.T) {
	state := meshconfig.NewState()
	replayed := meshconfig.NewState()
	files := []string{
		base,
		"pools: [{name: yard, group: b, slots: 2, connection_limit: 10}]\nroutes: [{name: yard, group: b, pool: yard, path_prefix: /yard}]",
		"routes: [{name: docks, group: a, pool: yard, path_prefix: /docks}]",
		"remove: [{kind: share, name: desk-a}, {kind: pool, name: desk}]",
		"accounts: [{name: a, api_keys: [k1, k2], calls_per_second: 2.5}, {name: b, api_keys: [k3]}]",
		"accounts: [{name: a, api_keys: [k2]}]\nremove: [{kind: account, name: b}]",
	}
	for index, file := range files {
		revision, next, err := acceptFile(t, state, string(rune('a'+index)), file)
		assert.NilError(t, err)
		state = next
		wire, err := proto.Marshal(revision)
		assert.NilError(t, err)
		received := &lapisv1.Revision{}
		assert.NilError(t, proto.Unmarshal(wire, received))
		replayed, err = replayed.Advance(received)
		assert.NilError(t, err)
		assert.Equal(t, replayed.Digest, state.Digest)
	}
	assert.Equal(t, len(replayed.Pools), 1)
	assert.Equal(t, len(replayed.Bundles), 2)
	assert.Equal(t, len(replayed.Accounts), 1)
	restored, err := meshconfig.FromStored(replayed.Stored())
	assert.NilError(t, err)
	assert.Equal(t, restored.Digest, state.Digest)
	assert.DeepEqual(t, restored.ObjectRevisions, state.ObjectRevisions)
	assert.DeepEqual(t, restored.Operations, state.Operations)
	assert.Assert(t, proto.Equal(restored.Accounts["a"], state.Accounts["a"]))
	_, emptied, err := acceptFile(t, restored, "last", "remove: [{kind: account, name: a}]")
	assert.NilError(t, err)
	assert.Equal(t, len(emptied.Bundles), 1, "the bundle of no accounts")
}

func TestConflictIsFoundPerObject(t *testing.T) {
	state := baseState(t)
	_, state, err := acceptFile(t, state, "other", "routes: [{name: docks, group: a, pool: desk, path_prefix: /docks, repeatable: true}]")
	assert.NilError(t, err)
	touching, _ := meshconfig.ParseFile([]byte("remove: [{kind: route, name: docks}]"))
	conflict, found := state.FindConflict(&lapisv1.Proposal{BaseRevision: 1, Changes: touching})
	assert.Assert(t, found)
	assert.Equal(t, conflict, meshconfig.Conflict{Key: "route/docks", Revision: 2})
	apart, _ := meshconfig.ParseFile([]byte("shares: [{name: desk-a, group: a, pool: desk, percent: 10}]"))
	_, found = state.FindConflict(&lapisv1.Proposal{BaseRevision: 1, Changes: apart})
	assert.Assert(t, !found)
}

func TestTamperedRevisionIsRefused(t *testing.T) {
	revision, _, err := acceptFile(t, meshconfig.NewState(), "op", base)
	assert.NilError(t, err)
	cases := map[string]func(*lapisv1.Revision){
		"whole digest":   func(r *lapisv1.Revision) { r.Digest[0] ^= 1 },
		"bundle content": func(r *lapisv1.Revision) { r.Bundles[0].Content[2] ^= 1 },
		"bundle missing": func(r *lapisv1.Revision) { r.Bundles = nil },
		"gap":            func(r *lapisv1.Revision) { r.Number = 3 },
	}
	for name, tamper := range cases {
		t.Run(name, func(t *testing.T) {
			tampered := proto.Clone(revision).(*lapisv1.Revision)
			tamper(tampered)
			_, err := meshconfig.NewState().Advance(tampered)
			assert.Assert(t, err != nil)
		})
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("remove: [{kind: pool, name: desk}]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		changes, err := meshconfig.ParseFile(content)
		if err != nil {
			return
		}
		_, _, _ = meshconfig.NewState().Accept(&lapisv1.Proposal{Changes: changes}, time.Unix(0, 0))
	})
}

func FuzzDecodeBundle(f *testing.F) {
	valid, _ := meshconfig.EncodeBundle(&lapisv1.Bundle{Pool: &lapisv1.Pool{Name: "a"}}, 1)
	f.Add(valid.GetContent())
	f.Fuzz(func(t *testing.T, content []byte) {
		bundle := &lapisv1.Bundle{}
		if proto.Unmarshal(content, bundle) == nil {
			_ = meshconfig.CheckClosed("a", bundle)
			_ = meshconfig.CheckClosed(meshconfig.AccountsService, bundle)
		}
	})
}
