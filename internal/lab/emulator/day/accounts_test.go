package day_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
	"github.com/lapisvane/lapisvane/platform"
)

// Keys of the tests' accounts. A second key of alpha is the one that is revoked or moved.
const (
	keyOfAlpha  = "alpha0first0key00000"
	movingKey   = "alpha0second0key0000"
	keyOfBeta   = "beta00only00key00000"
	keyOfNobody = "nobodys00key00000000"
)

func alphaAndBeta() []day.Account {
	return []day.Account{{Name: "alpha", Keys: []string{keyOfAlpha, movingKey}, Priority: 1}, {Name: "beta", Keys: []string{keyOfBeta}, Rate: 1e6}}
}

// withoutMovingKey is alphaAndBeta with the key revoked, and withMovedKey with it at beta.
func withoutMovingKey() []day.Account {
	accounts := alphaAndBeta()
	accounts[0].Keys = accounts[0].Keys[:1]
	return accounts
}

func withMovedKey() []day.Account {
	accounts := withoutMovingKey()
	accounts[1].Keys = append(accounts[1].Keys, movingKey)
	return accounts
}

func keyedOptions() day.Options {
	options := day.DefaultOptions()
	options.Accounts = alphaAndBeta()
	return options
}

// movingClasses are requests by the key that is revoked or moved.
func movingClasses(factor float64) []client.Class {
	classes := day.StandardClasses(factor)[:2]
	for index := range classes {
		classes[index].APIKey, classes[index].AllowedAccounts = movingKey, []string{"alpha", "beta"}
	}
	return classes
}

// asked counts the requests of ask.
var asked struct {
	sync.Mutex
	count int
}

// ask sends a read to a machine's daemon with the key, empty for none, and returns the status and the
// whole answer; 0 where there is none.
func ask(t *testing.T, site *day.Site, machine *day.Machine, key string) (status int, answer string) {
	t.Helper()
	asked.Lock()
	asked.count++
	id := fmt.Sprint("asked-", asked.count)
	asked.Unlock()
	site.Ledger.Sent(promise.Request{
		ID: id, Safe: true, Caller: machine.Service, SentAt: time.Now(), Services: map[string]bool{"desk": true}, APIKey: key,
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+machine.Caller()+"/look/asked", nil)
	assert.NilError(t, err)
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "3000")
	if key != "" {
		request.Header.Set(platform.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_ = response.Header.Write(&text)
	_, _ = io.Copy(&text, response.Body)
	return response.StatusCode, text.String()
}

// awaitStatus asks until the answer has the status.
func awaitStatus(t *testing.T, site *day.Site, machine *day.Machine, key string, wanted int) {
	t.Helper()
	await(t, fmt.Sprintf("status %d at %s", wanted, machine.Name), func() bool {
		status, _ := ask(t, site, machine, key)
		return status == wanted
	})
}

// awaitUnknownKey asks until the key is refused as unknown. Until a daemon has the configuration in force
// confirmed it refuses such a key with 503, and it never serves it.
func awaitUnknownKey(t *testing.T, site *day.Site, machine *day.Machine, key string) {
	t.Helper()
	await(t, "the key is unknown at "+machine.Name, func() bool {
		status, _ := ask(t, site, machine, key)
		assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s answers %d", machine.Name, status)
		return status == http.StatusUnauthorized
	})
}

// declareAccounts declares accounts and waits until they are in force at all daemons that run.
func declareAccounts(t *testing.T, site *day.Site, accounts []day.Account) {
	t.Helper()
	version, err := site.DeclareAccounts(accounts)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
}

// A day with accounts, whose calls on need no key: all that clients send is served for their account,
// also while daemons and instances end.
func TestKeyedDayKeepsPromises(t *testing.T) {
	site, tally, stop := startOptions(t, keyedOptions(), day.KeyedRoutes(), day.KeyedClasses(alphaAndBeta(), 0.5))
	awaitServed(t, tally, 100)
	assert.NilError(t, site.Machines[0].Kill(0))
	site.Ledger.DaemonsDisturbed(time.Now())
	assert.NilError(t, site.Machines[1].Restart(0))
	awaitServed(t, tally, 100)
	stop()
	keepsPromises(t, site)
}

// A key that is revoked under load serves nobody, and others go on; one that moves to another account
// makes calls all the while, for the one or the other.
func TestRevocationAndMoveUnderLoad(t *testing.T) {
	for name, accounts := range map[string]func() []day.Account{"revoked": withoutMovingKey, "moved": withMovedKey} {
		t.Run(name, func(t *testing.T) {
			classes := append(day.KeyedClasses(alphaAndBeta(), 0.3), movingClasses(0.5)...)
			site, tally, stop := startOptions(t, keyedOptions(), day.KeyedRoutes(), classes)
			awaitServed(t, tally, 100)
			declareAccounts(t, site, accounts())
			for _, machine := range site.Machines {
				if name == "revoked" {
					awaitUnknownKey(t, site, machine, movingKey)
					continue
				}
				status, _ := ask(t, site, machine, movingKey)
				assert.Assert(t, status != http.StatusUnauthorized, "%s answers %d", machine.Name, status)
			}
			awaitServed(t, tally, 100)
			stop()
			keepsPromises(t, site)
		})
	}
}

// loneSite has one daemon, so that the store is all that tells it of configurations.
func loneSite(t *testing.T, strict bool) (*day.Site, *day.Machine) {
	t.Helper()
	options := keyedOptions()
	options.Machines = []day.Placement{{Zone: "a", Service: "desk"}}
	options.Revocation = settings.Accounts{StrictRevocation: strict, RevocationBound: tunables.Duration(2 * time.Second)}
	lookOnly := day.KeyedRoutes()[:1]
	site, _, _ := startOptions(t, options, lookOnly, nil)
	return site, site.Machines[0]
}

// A daemon that is cut off while a key is revoked goes on with the keys that it knows, says of unknown
// ones that it cannot decide, and follows once it is back. Where revocations are strict it serves no
// key meanwhile.
func TestDaemonCutOffDuringARevocation(t *testing.T) {
	for _, strict := range []bool{false, true} {
		t.Run(fmt.Sprint("strict ", strict), func(t *testing.T) {
			site, machine := loneSite(t, strict)
			awaitStatus(t, site, machine, movingKey, http.StatusOK)
			awaitStatus(t, site, machine, keyOfNobody, http.StatusUnauthorized)
			site.Store.SetFaults(objectstore.Faults{Down: true})
			_, err := site.DeclareAccounts(withoutMovingKey())
			assert.NilError(t, err)
			awaitStatus(t, site, machine, keyOfNobody, http.StatusServiceUnavailable)
			whileCut := http.StatusOK
			if strict {
				whileCut = http.StatusServiceUnavailable
			}
			awaitStatus(t, site, machine, movingKey, whileCut)
			awaitStatus(t, site, machine, keyOfAlpha, whileCut)
			site.Store.SetFaults(objectstore.Faults{})
			awaitStatus(t, site, machine, movingKey, http.StatusUnauthorized)
			awaitStatus(t, site, machine, keyOfAlpha, http.StatusOK)
			awaitStatus(t, site, machine, keyOfNobody, http.StatusUnauthorized)
		})
	}
}

// A daemon that starts anew in the middle of a revocation knows no key until it has a configuration,
// and then the newest ones.
func TestDaemonRestartedDuringARevocation(t *testing.T) {
	site, machine := loneSite(t, false)
	site.Store.SetFaults(objectstore.Faults{Down: true})
	_, err := site.DeclareAccounts(withoutMovingKey())
	assert.NilError(t, err)
	assert.NilError(t, machine.Kill(0))
	for _, key := range []string{keyOfAlpha, movingKey, keyOfNobody, ""} {
		status, _ := ask(t, site, machine, key)
		assert.Equal(t, status, http.StatusServiceUnavailable, "without a configuration")
	}
	site.Store.SetFaults(objectstore.Faults{})
	awaitStatus(t, site, machine, keyOfAlpha, http.StatusOK)
	status, _ := ask(t, site, machine, movingKey)
	assert.Equal(t, status, http.StatusUnauthorized)
}

// A store that comes back from a copy of before a revocation brings no key back, neither at daemons that
// knew of it nor at one that starts then beside them.
func TestRevokedKeysStayRevokedAcrossTheStoresReturn(t *testing.T) {
	site, _, stop := startOptions(t, keyedOptions(), day.KeyedRoutes(), nil)
	defer stop()
	held := site.Store.KeepCopy()
	declareAccounts(t, site, withoutMovingKey())
	site.Store.ComeBack(held)
	refused := func() {
		for _, machine := range site.Machines {
			status, _ := ask(t, site, machine, movingKey)
			assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s answers %d", machine.Name, status)
		}
	}
	awaitRead(t, site)
	refused()
	version, err := site.Declare(day.KeyedRoutes())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	refused()
}

// lineBuffer keeps what is written. It is safe for concurrent use.
type lineBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lineBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(content)
}

func (b *lineBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.String()
}

// page returns what a page of a daemon says.
func page(t *testing.T, address string) string {
	t.Helper()
	response, err := http.Get("http://" + address)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(content)
}

// assertNoSecret checks that a text holds no key and no whole digest of one.
func assertNoSecret(t *testing.T, where, text string) {
	t.Helper()
	for _, key := range []string{keyOfAlpha, movingKey, keyOfBeta, keyOfNobody} {
		sum := sha256.Sum256([]byte(key))
		assert.Assert(t, !strings.Contains(strings.ToLower(text), key), "key %s is in %s", key, where)
		assert.Assert(t, !strings.Contains(text, hex.EncodeToString(sum[:16])), "the digest of %s is in %s", key, where)
	}
}

// On a day with crashes, refusals and a revocation, no key is in a line, on a
// page, in an answer, at an instance or in what daemons write to the store.
func TestKeysAreInNoOutput(t *testing.T) {
	var lines lineBuffer
	options := keyedOptions()
	options.Logger, options.DecisionLines = logging.New(&lines, 9), 1_000_000
	classes := append(day.KeyedClasses(alphaAndBeta(), 0.3), movingClasses(0.3)...)
	site, tally, stop := startOptions(t, options, day.KeyedRoutes(), classes)
	awaitServed(t, tally, 50)
	var answers strings.Builder
	for _, machine := range site.Machines {
		for _, key := range []string{keyOfAlpha, movingKey, keyOfNobody, keyOfAlpha + "," + keyOfBeta} {
			_, answer := ask(t, site, machine, key)
			answers.WriteString(answer)
		}
	}
	assert.NilError(t, site.Machines[0].Restart(0))
	assert.NilError(t, site.Machines[1].Kill(0))
	site.Ledger.DaemonsDisturbed(time.Now())
	declareAccounts(t, site, withoutMovingKey())
	for _, machine := range site.Machines {
		_, answer := ask(t, site, machine, movingKey)
		answers.WriteString(answer)
	}
	awaitServed(t, tally, 50)
	stop()
	assert.Assert(t, strings.Contains(lines.text(), "event=key.refused"), "nothing was refused")
	assertNoSecret(t, "a line", lines.text())
	assertNoSecret(t, "an answer", answers.String())
	for _, machine := range site.Machines {
		addresses := machine.Daemon().Addresses()
		metrics := page(t, addresses.Metrics+"/metrics")
		assert.Assert(t, strings.Contains(metrics, "lapisvane_calls_total"))
		assertNoSecret(t, "the metrics", metrics)
		assertNoSecret(t, "the readiness", page(t, addresses.Readiness+platform.PathReadiness))
	}
	for _, kind := range []string{platform.KindQuarantine, "lapisvane-members"} {
		content, err := json.Marshal(site.Store.Objects(kind))
		assert.NilError(t, err)
		assertNoSecret(t, "the store's "+kind, string(content))
	}
	for _, breach := range site.Ledger.Breaches() {
		assert.Assert(t, breach.Kind != promise.Unasked && breach.Kind != promise.Config && breach.Kind != promise.Route, "%+v", breach)
	}
}
