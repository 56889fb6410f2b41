package changelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func startPlatform(t *testing.T, seed uint64) (*objectapistub.Server, *objectapi.Client) {
	t.Helper()
	stub, err := objectapistub.Start(objectapistub.Options{Address: "127.0.0.1:0", Seed: seed})
	assert.NilError(t, err)
	client := objectapi.NewClient([]string{stub.Address()}, "", nil)
	t.Cleanup(func() {
		client.Close()
		stub.Close()
	})
	return stub, client
}

func poolChange(name string, slots uint32) *lapisv1.Change {
	return meshconfig.ChangeOfPool(&lapisv1.Pool{Name: name, Group: "g", Slots: slots, ConnectionLimit: 10})
}

func propose(state *meshconfig.State, operation string, changes ...*lapisv1.Change) *lapisv1.Proposal {
	return &lapisv1.Proposal{OperationId: operation, Author: operation, BaseRevision: state.Revision, Changes: changes}
}

func TestRacingOperatorsOnOneObjectHaveOneWinner(t *testing.T) {
	_, client := startPlatform(t, 1)
	base, err := changelog.New(client, time.Now).Refresh(context.Background())
	assert.NilError(t, err)
	const operators = 8
	var accepted, conflicts sync.Map
	var racing sync.WaitGroup
	for index := range operators {
		racing.Go(func() {
			operation := fmt.Sprintf("op-%d", index)
			number, err := changelog.New(client, time.Now).Accept(context.Background(), propose(base, operation, poolChange("shared", 1)))
			if err == nil {
				accepted.Store(operation, number)
				return
			}
			assert.Check(t, result.Is(err, result.OperatorConflict), "%v", err)
			conflicts.Store(operation, err.Error())
		})
	}
	racing.Wait()
	winner := ""
	accepted.Range(func(key, _ any) bool {
		assert.Equal(t, winner, "", "two winners")
		winner = key.(string)
		return true
	})
	conflicts.Range(func(_, text any) bool {
		assert.Assert(t, len(winner) > 0)
		assert.Assert(t, contains(text.(string), "operation "+winner), "%s does not name %s", text, winner)
		return true
	})
}

func contains(text, part string) bool {
	for index := 0; index+len(part) <= len(text); index++ {
		if text[index:index+len(part)] == part {
			return true
		}
	}
	return false
}

func TestChangesThatDoNotTouchBothSucceed(t *testing.T) {
	_, client := startPlatform(t, 1)
	log := changelog.New(client, time.Now)
	base, err := log.Refresh(context.Background())
	assert.NilError(t, err)
	_, err = log.Accept(context.Background(), propose(base, "one", poolChange("a", 1)))
	assert.NilError(t, err)
	number, err := changelog.New(client, time.Now).Accept(context.Background(), propose(base, "two", poolChange("b", 1)))
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(2))
}

func TestAcceptWithLostAnswersTakesEffectOnce(t *testing.T) {
	stub, client := startPlatform(t, 7)
	stub.SetFaults(objectapistub.Faults{LoseAnswerPercent: 60})
	log := changelog.New(client, time.Now)
	for index := range 10 {
		state := log.State()
		proposal := propose(state, fmt.Sprintf("op-%d", index), poolChange(fmt.Sprintf("p%d", index), 1))
		first, err := log.Accept(context.Background(), proposal)
		assert.NilError(t, err)
		again, err := changelog.New(client, time.Now).Accept(context.Background(), proposal)
		assert.NilError(t, err)
		assert.Equal(t, first, again)
	}
	stub.SetFaults(objectapistub.Faults{})
	state, err := log.Refresh(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, uint64(10))
}

func TestOperationIDIsNotReusedForOtherContent(t *testing.T) {
	_, client := startPlatform(t, 1)
	log := changelog.New(client, time.Now)
	assert.NilError(t, log.Propose(context.Background(), propose(log.State(), "op", poolChange("a", 1))))
	assert.NilError(t, log.Propose(context.Background(), propose(log.State(), "op", poolChange("a", 1))))
	err := log.Propose(context.Background(), propose(log.State(), "op", poolChange("a", 2)))
	assert.Assert(t, result.Is(err, result.OperatorOperationReused), "%v", err)
}

func TestReaderCatchesUpAcrossCompaction(t *testing.T) {
	_, client := startPlatform(t, 1)
	log := changelog.New(client, time.Now)
	stale := changelog.New(client, time.Now)
	const revisions = 1400
	for index := range revisions {
		_, err := log.Accept(context.Background(), propose(log.State(), fmt.Sprintf("op-%d", index), poolChange("a", uint32(index%100+1))))
		assert.NilError(t, err)
		if index%changelog.SnapshotEvery == 0 {
			assert.NilError(t, log.Compact(context.Background()))
		}
	}
	kept, err := client.List(context.Background(), "revisions/", "", 0)
	assert.NilError(t, err)
	assert.Assert(t, len(kept.Objects) < revisions-1, "nothing was deleted")
	fresh, err := stale.Refresh(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, fresh.Revision, uint64(revisions))
	assert.Equal(t, fresh.Digest, log.State().Digest)
}

// acceptEvent is the input or output of one operation on the accept register, for the
// linearizability check.
type acceptEvent struct {
	read      bool
	operation string
	revision  uint64
}

// registerModel is the sequential specification of the accept register: an accept of a new
// operation returns the next revision. An operation is accepted only once: a repeated accept returns
// the revision of the first. A read returns the newest revision.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		accepted := splitNames(state.(string))
		in, out := input.(acceptEvent), output.(acceptEvent)
		if in.read {
			return out.revision == uint64(len(accepted)), state
		}
		for index, operation := range accepted {
			if operation == in.operation {
				return out.revision == uint64(index+1), state
			}
		}
		return out.revision == uint64(len(accepted)+1), state.(string) + in.operation + ","
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

func splitNames(joined string) []string {
	var names []string
	start := 0
	for index := range joined {
		if joined[index] == ',' {
			names = append(names, joined[start:index])
			start = index + 1
		}
	}
	return names
}

// unconditionalStore writes the accept register without a version check.
type unconditionalStore struct{ objectapi.Store }

func (b unconditionalStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if key == changelog.HeadKey {
		expected = objectapi.VersionAny
	}
	return b.Store.Put(ctx, key, value, expected)
}

// recordHistory records the history of operators that accept and read concurrently while the store
// loses answers.
func recordHistory(t *testing.T, seed uint64, wrap func(objectapi.Store) objectapi.Store) []porcupine.Operation {
	t.Helper()
	stub, client := startPlatform(t, seed)
	stub.SetFaults(objectapistub.Faults{LoseAnswerPercent: 20, DelayMillis: 1})
	var mutex sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	var racing sync.WaitGroup
	const operators, operations = 5, 6
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		racing.Go(func() {
			log := changelog.New(wrap(client), time.Now)
			for index := range operations {
				input := acceptEvent{read: random.IntN(3) == 0, operation: fmt.Sprintf("%d-%d", operator, index)}
				call := time.Since(started).Nanoseconds()
				output, err := runOperation(log, input)
				if err != nil {
					continue
				}
				mutex.Lock()
				history = append(history, porcupine.Operation{
					ClientId: operator, Input: input, Output: output, Call: call, Return: time.Since(started).Nanoseconds(),
				})
				mutex.Unlock()
			}
		})
	}
	racing.Wait()
	return history
}

func runOperation(log *changelog.Log, input acceptEvent) (acceptEvent, error) {
	if input.read {
		state, err := log.Refresh(context.Background())
		if err != nil {
			return acceptEvent{}, err
		}
		return acceptEvent{revision: state.Revision}, nil
	}
	number, err := log.Accept(context.Background(), propose(log.State(), input.operation, poolChange("p-"+input.operation, 1)))
	return acceptEvent{revision: number}, err
}

func TestAcceptRegisterIsLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			history := recordHistory(t, seed, func(store objectapi.Store) objectapi.Store { return store })
			assert.Assert(t, len(history) > 20)
			assert.Assert(t, porcupine.CheckOperations(registerModel, history))
		})
	}
}

func TestHistoryCheckCatchesABrokenRegister(t *testing.T) {
	for seed := range uint64(10) {
		history := recordHistory(t, seed, func(store objectapi.Store) objectapi.Store { return unconditionalStore{store} })
		if !porcupine.CheckOperations(registerModel, history) {
			return
		}
	}
	t.Fatal("a register without compare-and-swap passed ten histories")
}
