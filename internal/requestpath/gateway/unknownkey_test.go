package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// keyOfGamma is the key of an account that is not in the first configuration.
const keyOfGamma = "k3yOfGamma"

// keyedRouteWait is the time that a request of the route keyed waits for a newer configuration.
const keyedRouteWait = 40 * time.Millisecond

// behindGateway is a gateway without a network whose configuration freshness the test sets.
type behindGateway struct {
	*Gateway
	snapshots *snapshot.Store
	freshness atomic.Pointer[identity.Freshness]
	asked     atomic.Int64
	lines     []string
	registry  *prometheus.Registry
}

func newBehindGateway(t *testing.T, freshness identity.Freshness) *behindGateway {
	t.Helper()
	g := &behindGateway{snapshots: &snapshot.Store{}, registry: prometheus.NewRegistry()}
	g.freshness.Store(&freshness)
	assert.NilError(t, g.snapshots.ReplaceConfiguration(keyedConfiguration(t, 1, accountsOf("alpha", keyOfAlpha))))
	logger := funcr.New(func(_, arguments string) { g.lines = append(g.lines, arguments) }, funcr.Options{})
	g.Gateway = New(Config{
		Node: "here", Snapshots: g.snapshots, Envelope: keyEnvelope, Registry: g.registry, Decisions: decision.New(logger, 1000, time.Now),
		Identity: Identity{
			Freshness: func() identity.Freshness { g.asked.Add(1); return *g.freshness.Load() },
			Bounds:    identity.Bounds{MaxApplyDelay: 2 * time.Second},
		},
	})
	return g
}

// admitKey admits a request for a path with a key; an empty key stands for none.
func (g *behindGateway) admitKey(ctx context.Context, path, key string) (admittedRequest, error) {
	rc := app.NewContext(0)
	rc.Request.SetRequestURI(path)
	rc.Request.SetHost("a.example")
	rc.Request.Header.SetMethod("GET")
	if key != "" {
		rc.Request.Header.Set(keyEnvelope.Key, key)
	}
	return g.admit(ctx, rc, g.snapshots.Current())
}

// An unknown key is refused as wrong only if the current configuration is recent enough. If a newer
// configuration is on its way, the request waits for it for a fraction of its target latency; the newer
// configuration then decides on the key and on the route.
func TestUnknownKeyWhileBehind(t *testing.T) {
	newest := identity.Freshness{SinceConfirmed: time.Second}
	unconfirmed := identity.Freshness{SinceConfirmed: 3 * time.Second}
	behind := identity.Freshness{SinceConfirmed: time.Second, Behind: true}
	const arrival = 15 * time.Millisecond
	for name, row := range map[string]struct {
		freshness identity.Freshness
		// arrives, if not nil, returns the configuration that becomes current after arrival.
		arrives func(t *testing.T) *lapisv1.Configuration
		code    result.Code
		account string
		took    time.Duration
	}{
		"the newest":          {newest, nil, result.CallUnknownKey, "", 0},
		"not confirmed":       {unconfirmed, nil, result.CallKeysUnconfirmed, "", 0},
		"nothing arrives":     {behind, nil, result.CallKeysUnconfirmed, "", keyedRouteWait},
		"the key arrives":     {behind, keyedWith("gamma", keyOfGamma), result.OK, "gamma", arrival},
		"it arrives without":  {behind, keyedWith("alpha", keyOfAlpha), result.CallUnknownKey, "", arrival},
		"accounts end":        {behind, keyedWith(), result.OK, "", arrival},
		"the route ends":      {behind, func(*testing.T) *lapisv1.Configuration { return &lapisv1.Configuration{Revision: 2} }, result.CallNoRoute, "", arrival},
		"the newest, arrives": {newest, keyedWith("gamma", keyOfGamma), result.CallUnknownKey, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newBehindGateway(t, row.freshness)
				if row.arrives != nil {
					time.AfterFunc(arrival, func() {
						g.freshness.Store(&newest)
						assert.NilError(t, g.snapshots.ReplaceConfiguration(row.arrives(t)))
					})
				}
				began := time.Now()
				found, err := g.admitKey(t.Context(), "/", keyOfGamma)
				assert.Equal(t, time.Since(began), row.took)
				code, _ := result.CodeOf(err)
				assert.Equal(t, code, row.code, "%v", err)
				if row.account != "" {
					assert.Equal(t, found.caller.account.Name, row.account)
					assert.Equal(t, found.current.Revision, uint64(2))
				}
				time.Sleep(arrival)
			})
		})
	}
}

// If the configuration is replaced while a key is looked up in the previous one, the new configuration
// decides on the key, because the freshness read after that is the freshness of the new configuration.
func TestUnknownKeyWhileTheConfigurationIsReplaced(t *testing.T) {
	g := newBehindGateway(t, identity.Freshness{})
	newest := g.config.Identity.Freshness
	g.config.Identity.Freshness = func() identity.Freshness {
		if g.snapshots.Current().Revision == 1 {
			assert.NilError(t, g.snapshots.ReplaceConfiguration(keyedWith("gamma", keyOfGamma)(t)))
		}
		return newest()
	}
	found, err := g.admitKey(t.Context(), "/", keyOfGamma)
	assert.NilError(t, err)
	assert.Equal(t, found.caller.account.Name, "gamma")
	assert.Equal(t, found.current.Revision, uint64(2))
}

// keyedWith returns a function that creates a configuration with the given accounts, or without accounts
// if there are none.
func keyedWith(namesAndKeys ...string) func(t *testing.T) *lapisv1.Configuration {
	return func(t *testing.T) *lapisv1.Configuration {
		var accounts *lapisv1.Accounts
		if len(namesAndKeys) > 0 {
			accounts = accountsOf(namesAndKeys...)
		}
		return keyedConfiguration(t, 2, accounts)
	}
}

// Requests with known keys and requests on public routes do not wait while the configuration is behind.
func TestKnownKeysDoNotWaitWhileBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBehindGateway(t, identity.Freshness{Behind: true})
		began := time.Now()
		for _, request := range [][2]string{{"/", keyOfAlpha}, {"/open/", ""}, {"/open/", keyOfGamma}} {
			_, err := g.admitKey(t.Context(), request[0], request[1])
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, g.unknownKeyWaits.Load(), int64(0))
	})
}

// Of many requests with wrong keys only a bounded number waits, and each request reads only local state.
func TestFloodOfUnknownKeys(t *testing.T) {
	const flood = 4 * maxUnknownKeyWaits
	synctest.Test(t, func(t *testing.T) {
		g := newBehindGateway(t, identity.Freshness{Behind: true})
		g.config.Decisions = nil
		var waited atomic.Int64
		var running sync.WaitGroup
		began := time.Now()
		for range flood {
			running.Go(func() {
				_, err := g.admitKey(t.Context(), "/", "wrong")
				assert.Check(t, result.Is(err, result.CallKeysUnconfirmed))
				if time.Since(began) > 0 {
					waited.Add(1)
				}
			})
		}
		running.Wait()
		assert.Equal(t, waited.Load(), int64(maxUnknownKeyWaits))
		assert.Equal(t, time.Since(began), keyedRouteWait)
		assert.Equal(t, g.unknownKeyWaits.Load(), int64(0))
		assert.Equal(t, g.asked.Load(), int64(3*flood), "each request reads it before the wait, after the wait, and for the log line")
	})
}

// The wait for a newer configuration ends when the caller disconnects.
func TestWaitForKeysEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBehindGateway(t, identity.Freshness{Behind: true})
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer leave()
		began := time.Now()
		_, err := g.admitKey(ctx, "/", keyOfGamma)
		assert.Assert(t, result.Is(err, result.CallKeysUnconfirmed), "%v", err)
		assert.Equal(t, time.Since(began), 10*time.Millisecond)
	})
}

// With a bound on the age of revocations, a daemon without a recent confirmation serves public routes only.
// Refused callers are told that their calls did not run and when to retry.
func TestStrictRevocation(t *testing.T) {
	g := newBehindGateway(t, identity.Freshness{SinceConfirmed: 4 * time.Second})
	g.config.Identity.Bounds.MaxUnconfirmed = 5 * time.Second
	_, err := g.admitKey(t.Context(), "/", keyOfAlpha)
	assert.NilError(t, err)
	g.freshness.Store(&identity.Freshness{SinceConfirmed: 5 * time.Second})
	found, err := g.admitKey(t.Context(), "/", keyOfAlpha)
	assert.Assert(t, result.Is(err, result.CallKeysUnconfirmed), "%v", err)
	assert.Equal(t, statusOf(result.CallKeysUnconfirmed), 503)
	after := retryAfterOf(withRetryAfter(err, found.route))
	assert.Assert(t, after > 0 && after < 200*time.Millisecond, "%s", after)
	found, err = g.admitKey(t.Context(), "/open/", keyOfAlpha)
	assert.NilError(t, err)
	assert.Assert(t, found.caller.account == nil)
}

// Refusals are counted by reason. Their log line contains the start of the key's digest, but not the key.
func TestRefusedKeysAreCountedAndLogged(t *testing.T) {
	g := newBehindGateway(t, identity.Freshness{})
	for range 2 {
		_, err := g.admitKey(t.Context(), "/", keyOfGamma)
		assert.ErrorContains(t, err, "unknown")
	}
	_, err := g.admitKey(t.Context(), "/", "")
	assert.ErrorContains(t, err, "missing")
	g.freshness.Store(&identity.Freshness{SinceConfirmed: time.Minute})
	_, err = g.admitKey(t.Context(), "/", keyOfGamma)
	assert.ErrorContains(t, err, "unconfirmed")
	recorder := httptest.NewRecorder()
	promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}).ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
	for reason, count := range map[refusalReason]int{reasonUnknown: 2, reasonMissing: 1, reasonUnconfirmed: 1} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), fmt.Sprintf("lapisvane_keys_refused_total{reason=%q} %d\n", reason, count)), reason)
	}
	assert.Equal(t, len(g.lines), 4)
	assert.Assert(t, strings.Contains(g.lines[0], `"reason"="unknown" "digest"="`+digestStart(keyOfGamma)+`"`), g.lines[0])
	assert.Assert(t, strings.Contains(g.lines[2], `"reason"="missing" "digest"=""`), g.lines[2])
	assert.Assert(t, !strings.Contains(strings.Join(g.lines, "\n"), keyOfGamma))
}

// digestStart returns the part of a key's digest that log lines contain: the start of its SHA-256.
func digestStart(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:4])
}
