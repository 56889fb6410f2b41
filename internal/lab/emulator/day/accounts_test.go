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

// API keys of the test accounts. movingKey is the second key of alpha, which the tests revoke or move.
const (
	alphaKey   = "alpha0first0key00000"
	movingKey  = "alpha0second0key0000"
	betaKey    = "beta00only00key00000"
	unknownKey = "nobodys00key00000000"
)

func alphaAndBeta() []day.Account {
	return []day.Account{{Name: "alpha", Keys: []string{alphaKey, movingKey}, Priority: 1}, {Name: "beta", Keys: []string{betaKey}, Rate: 1e6}}
}

// withoutMovingKey returns the accounts after the revocation of movingKey, withMovedKey the accounts
// after its move to beta.
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

// movingClasses returns request classes that present movingKey.
func movingClasses(factor float64) []client.Class {
	classes := day.StandardClasses(factor)[:2]
	for index := range classes {
		classes[index].APIKey, classes[index].AllowedAccounts = movingKey, []string{"alpha", "beta"}
	}
	return classes
}

// lookups counts the requests that look sends.
var lookups struct {
	sync.Mutex
	count int
}

// look sends a read with an API key, empty for none, to a machine's daemon. It returns the status, 0 for
// no answer, and the header and body of the answer.
func look(t *testing.T, site *day.Site, machine *day.Machine, key string) (status int, answer string) {
	t.Helper()
	lookups.Lock()
	lookups.count++
	id := fmt.Sprint("asked-", lookups.count)
	lookups.Unlock()
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

// awaitStatus repeats a read until the answer has the wanted status.
func awaitStatus(t *testing.T, site *day.Site, machine *day.Machine, key string, wanted int) {
	t.Helper()
	await(t, fmt.Sprintf("status %d at %s", wanted, machine.Name), func() bool {
		status, _ := look(t, site, machine, key)
		return status == wanted
	})
}

// awaitUnknownKey repeats a read until the daemon refuses the key as unknown. Until the
// configuration in force is confirmed, the daemon answers 503. It must never serve the request.
func awaitUnknownKey(t *testing.T, site *day.Site, machine *day.Machine, key string) {
	t.Helper()
	await(t, "the key is unknown at "+machine.Name, func() bool {
		status, _ := look(t, site, machine, key)
		assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s answers %d", machine.Name, status)
		return status == http.StatusUnauthorized
	})
}

// declareAccounts declares accounts and waits until they are in force at all running daemons.
func declareAccounts(t *testing.T, site *day.Site, accounts []day.Account) {
	t.Helper()
	version, err := site.DeclareAccounts(accounts)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
}

// With accounts, requests are served on behalf of the account of their key, also while a daemon and an
// instance restart. The calls between instances need no key.
func TestKeyedDayKeepsPromises(t *testing.T) {
	site, tally, stop := startOptions(t, keyedOptions(), day.KeyedRoutes(), day.KeyedClasses(alphaAndBeta(), 0.5))
	awaitServed(t, tally, 100)
	assert.NilError(t, site.Machines[0].Kill(0))
	site.Ledger.DaemonsDisturbed(time.Now())
	assert.NilError(t, site.Machines[1].CrashInstance(0))
	awaitServed(t, tally, 100)
	stop()
	assertPromisesKept(t, site)
}

// A key that is revoked under load is rejected while the other keys are served. A key that moves to
// another account under load is accepted all the time, on behalf of either account.
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
				status, _ := look(t, site, machine, movingKey)
				assert.Assert(t, status != http.StatusUnauthorized, "%s answers %d", machine.Name, status)
			}
			awaitServed(t, tally, 100)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// singleDaemonSite starts a site with one daemon, which can receive configurations only from the store.
func singleDaemonSite(t *testing.T, strict bool) (*day.Site, *day.Machine) {
	t.Helper()
	options := keyedOptions()
	options.Machines = []day.Placement{{Zone: "a", Service: "desk"}}
	options.Revocation = settings.Accounts{StrictRevocation: strict, RevocationBound: tunables.Duration(2 * time.Second)}
	lookRoutes := day.KeyedRoutes()[:1]
	site, _, _ := startOptions(t, options, lookRoutes, nil)
	return site, site.Machines[0]
}

// A daemon that loses the store during a revocation accepts the keys that it knows and answers 503 for
// unknown keys, since it cannot decide. With strict revocation it answers 503 for all keys. It follows
// the revocation once the store is back.
func TestDaemonCutOffDuringARevocation(t *testing.T) {
	for _, strict := range []bool{false, true} {
		t.Run(fmt.Sprint("strict ", strict), func(t *testing.T) {
			site, machine := singleDaemonSite(t, strict)
			awaitStatus(t, site, machine, movingKey, http.StatusOK)
			awaitStatus(t, site, machine, unknownKey, http.StatusUnauthorized)
			site.Store.SetFaults(objectstore.Faults{Down: true})
			_, err := site.DeclareAccounts(withoutMovingKey())
			assert.NilError(t, err)
			awaitStatus(t, site, machine, unknownKey, http.StatusServiceUnavailable)
			statusDuringOutage := http.StatusOK
			if strict {
				statusDuringOutage = http.StatusServiceUnavailable
			}
			awaitStatus(t, site, machine, movingKey, statusDuringOutage)
			awaitStatus(t, site, machine, alphaKey, statusDuringOutage)
			site.Store.SetFaults(objectstore.Faults{})
			awaitStatus(t, site, machine, movingKey, http.StatusUnauthorized)
			awaitStatus(t, site, machine, alphaKey, http.StatusOK)
			awaitStatus(t, site, machine, unknownKey, http.StatusUnauthorized)
		})
	}
}

// A daemon that restarts during a revocation answers 503 for all keys until it has a configuration, and
// then uses the newest accounts.
func TestDaemonRestartedDuringARevocation(t *testing.T) {
	site, machine := singleDaemonSite(t, false)
	site.Store.SetFaults(objectstore.Faults{Down: true})
	_, err := site.DeclareAccounts(withoutMovingKey())
	assert.NilError(t, err)
	assert.NilError(t, machine.Kill(0))
	for _, key := range []string{alphaKey, movingKey, unknownKey, ""} {
		status, _ := look(t, site, machine, key)
		assert.Equal(t, status, http.StatusServiceUnavailable, "without a configuration")
	}
	site.Store.SetFaults(objectstore.Faults{})
	awaitStatus(t, site, machine, alphaKey, http.StatusOK)
	status, _ := look(t, site, machine, movingKey)
	assert.Equal(t, status, http.StatusUnauthorized)
}

// A store that is restored from a backup taken before a revocation must not make the daemons accept
// the revoked key again.
func TestRevokedKeysStayRevokedAcrossTheStoresReturn(t *testing.T) {
	site, _, stop := startOptions(t, keyedOptions(), day.KeyedRoutes(), nil)
	defer stop()
	snapshot := site.Store.TakeBackup()
	declareAccounts(t, site, withoutMovingKey())
	site.Store.Restore(snapshot)
	assertRefused := func() {
		for _, machine := range site.Machines {
			status, _ := look(t, site, machine, movingKey)
			assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s answers %d", machine.Name, status)
		}
	}
	awaitRead(t, site)
	assertRefused()
	version, err := site.Declare(day.KeyedRoutes())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	assertRefused()
}

// lineBuffer is a buffer for log lines. It is safe for concurrent use.
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

// getPage returns the body of an HTTP page of a daemon.
func getPage(t *testing.T, address string) string {
	t.Helper()
	response, err := http.Get("http://" + address)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(content)
}

// assertNoSecret checks that a text contains no API key and no complete digest of one.
func assertNoSecret(t *testing.T, where, text string) {
	t.Helper()
	for _, key := range []string{alphaKey, movingKey, betaKey, unknownKey} {
		sum := sha256.Sum256([]byte(key))
		assert.Assert(t, !strings.Contains(strings.ToLower(text), key), "key %s is in %s", key, where)
		assert.Assert(t, !strings.Contains(text, hex.EncodeToString(sum[:16])), "the digest of %s is in %s", key, where)
	}
}

// With crashes, refusals and a revocation, no API key appears in a log line, on a page, in an answer, at
// an instance or in an object that daemons write to the store.
func TestKeysAreInNoOutput(t *testing.T) {
	var lines lineBuffer
	options := keyedOptions()
	options.Logger, options.DecisionLines = logging.New(&lines, 9), 1_000_000
	classes := append(day.KeyedClasses(alphaAndBeta(), 0.3), movingClasses(0.3)...)
	site, tally, stop := startOptions(t, options, day.KeyedRoutes(), classes)
	awaitServed(t, tally, 50)
	var answers strings.Builder
	for _, machine := range site.Machines {
		for _, key := range []string{alphaKey, movingKey, unknownKey, alphaKey + "," + betaKey} {
			_, answer := look(t, site, machine, key)
			answers.WriteString(answer)
		}
	}
	assert.NilError(t, site.Machines[0].CrashInstance(0))
	assert.NilError(t, site.Machines[1].Kill(0))
	site.Ledger.DaemonsDisturbed(time.Now())
	declareAccounts(t, site, withoutMovingKey())
	for _, machine := range site.Machines {
		_, answer := look(t, site, machine, movingKey)
		answers.WriteString(answer)
	}
	awaitServed(t, tally, 50)
	stop()
	assert.Assert(t, strings.Contains(lines.text(), "event=key.refused"), "no key was refused")
	assertNoSecret(t, "a log line", lines.text())
	assertNoSecret(t, "an answer", answers.String())
	for _, machine := range site.Machines {
		addresses := machine.Daemon().Addresses()
		metrics := getPage(t, addresses.Metrics+"/metrics")
		assert.Assert(t, strings.Contains(metrics, "lapisvane_calls_total"))
		assertNoSecret(t, "the metrics", metrics)
		assertNoSecret(t, "the readiness", getPage(t, addresses.Readiness+platform.PathReadiness))
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
