package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// keyEnvelope contains the header field names used in the tests.
var keyEnvelope = callapi.Envelope{RequestID: "Request-Id", Deadline: "Deadline-Ms", Key: "Mesh-Key", Account: "Mesh-Account"}

// API keys of the accounts in the tests.
const (
	keyOfAlpha = "k3yOfAlpha"
	keyOfBeta  = "k3yOfBeta"
)

// accountsOf returns accounts with one key each; namesAndKeys alternates account names and keys.
func accountsOf(namesAndKeys ...string) *lapisv1.Accounts {
	accounts := &lapisv1.Accounts{}
	for index := 0; index < len(namesAndKeys); index += 2 {
		digest := account.DigestOf([]byte(namesAndKeys[index+1]))
		accounts.Accounts = append(accounts.Accounts, &lapisv1.Account{
			Name: namesAndKeys[index], KeyDigests: [][]byte{digest[:]}, Priority: uint32(index + 1),
		})
	}
	return accounts
}

// keyedConfiguration returns a configuration with a route under / that needs a key, and a public route
// under /open/.
func keyedConfiguration(t testing.TB, revision uint64, accounts *lapisv1.Accounts) *lapisv1.Configuration {
	t.Helper()
	class := func() *lapisv1.CallClass {
		return &lapisv1.CallClass{Repeatable: true, MaxAttempts: 3, TargetLatencyMillis: 200, DeadlineMillis: 5000}
	}
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: revision, Accounts: accounts,
		Pools: []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
		Routes: []*lapisv1.Route{
			{Name: "keyed", Group: meshconfig.DefaultGroup, Pool: "desk", PathPrefix: "/", CallClass: class()},
			{Name: "open", Group: meshconfig.DefaultGroup, Pool: "desk", PathPrefix: "/open/", CallClass: class(), Public: true},
		},
	}, nil)
	assert.NilError(t, err)
	return configuration
}

// recordingOrigin reads and answers all calls, and records their openings and trailers.
type recordingOrigin struct {
	mutex  sync.Mutex
	opened []*lapisv1.CallOpen
	// trailers holds the trailers of all calls.
	trailers []*lapisv1.HeaderField
	// before, if not nil, is called for each call and may return an error to refuse it.
	before func(open *lapisv1.CallOpen) error
}

// Handle implements callapi.Handler.
func (r *recordingOrigin) Handle(_ context.Context, call *callapi.Call) (*callapi.Answer, error) {
	if call.Body != nil {
		if _, err := io.Copy(io.Discard, call.Body); err != nil {
			return nil, result.Wrap(result.CallUnknownOutcome, err, "reading the body")
		}
	}
	r.mutex.Lock()
	r.opened = append(r.opened, call.Open)
	if call.Trailers != nil {
		r.trailers = append(r.trailers, call.Trailers()...)
	}
	r.mutex.Unlock()
	if r.before != nil {
		if err := r.before(call.Open); err != nil {
			return nil, err
		}
	}
	return &callapi.Answer{Head: &lapisv1.CallHead{Status: 200, ContentLength: 2}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func (r *recordingOrigin) calls() []*lapisv1.CallOpen {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.opened
}

// keyedGateway is a gateway that listens on a loopback address, with instances that record their calls.
type keyedGateway struct {
	*Gateway
	t         testing.TB
	origin    *recordingOrigin
	snapshots *snapshot.Store
	address   string
}

// startKeyedGateway starts a gateway whose configuration has the accounts alpha and beta.
func startKeyedGateway(t testing.TB, adjust func(*Config)) *keyedGateway {
	t.Helper()
	site := &keyedGateway{t: t, origin: &recordingOrigin{}, snapshots: &snapshot.Store{}}
	site.configure(1, accountsOf("alpha", keyOfAlpha, "beta", keyOfBeta))
	balancer := balance.New("here", "a", "", time.Now)
	var endpoints []*lapisv1.Endpoint
	for index := range 3 {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: fmt.Sprint("desk-", index), Node: "here", Zone: "a", Slots: 6, State: lapisv1.Endpoint_STATE_READY,
		})
	}
	balancer.Update("desk", endpoints)
	config := Config{Node: "here", Snapshots: site.snapshots, Balancer: balancer, Local: site.origin, Envelope: keyEnvelope}
	if adjust != nil {
		adjust(&config)
	}
	site.Gateway = New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	site.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); site.Serve(ctx, listener, nil) }()
	t.Cleanup(func() { cancel(); <-done })
	return site
}

func (s *keyedGateway) configure(revision uint64, accounts *lapisv1.Accounts) {
	s.t.Helper()
	assert.NilError(s.t, s.snapshots.ReplaceConfiguration(keyedConfiguration(s.t, revision, accounts)))
}

// send sends the raw text of a request and returns the status and the text of its answer.
func (s *keyedGateway) send(request string) (status int, answer string) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(conn, request)
	assert.NilError(s.t, err)
	var received bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &received)), nil)
	assert.NilError(s.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, received.String()
}

// get returns a request for a path with the given header lines.
func get(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}

// A request with exactly one known key, under the key's field name in any case, is a call of the key's
// account. All other requests are refused before they reach an instance, except on public routes.
func TestKeyDeterminesTheAccount(t *testing.T) {
	site := startKeyedGateway(t, nil)
	for name, row := range map[string]struct {
		path    string
		lines   []string
		status  int
		account string
	}{
		"a key":                        {"/", []string{"Mesh-Key: " + keyOfAlpha}, 200, "alpha"},
		"another account's":            {"/", []string{"Mesh-Key: " + keyOfBeta}, 200, "beta"},
		"a name in lower case":         {"/", []string{"mesh-key: " + keyOfAlpha}, 200, "alpha"},
		"a name in upper case":         {"/", []string{"MESH-KEY: " + keyOfAlpha}, 200, "alpha"},
		"a name in odd case":           {"/", []string{"mEsH-kEy: " + keyOfAlpha}, 200, "alpha"},
		"spaces around the key":        {"/", []string{"Mesh-Key:  \t" + keyOfAlpha + " "}, 200, "alpha"},
		"no space":                     {"/", []string{"Mesh-Key:" + keyOfAlpha}, 200, "alpha"},
		"no key":                       {"/", nil, 401, ""},
		"an empty key":                 {"/", []string{"Mesh-Key: "}, 401, ""},
		"an unknown key":               {"/", []string{"Mesh-Key: unknown"}, 401, ""},
		"a key in another case":        {"/", []string{"Mesh-Key: " + strings.ToUpper(keyOfAlpha)}, 401, ""},
		"a space within":               {"/", []string{"Mesh-Key: k3y OfAlpha"}, 401, ""},
		"a scheme before it":           {"/", []string{"Mesh-Key: Bearer " + keyOfAlpha}, 401, ""},
		"a part of a key":              {"/", []string{"Mesh-Key: " + keyOfAlpha[:5]}, 401, ""},
		"two keys":                     {"/", []string{"Mesh-Key: " + keyOfAlpha, "Mesh-Key: " + keyOfBeta}, 401, ""},
		"two keys, names alike":        {"/", []string{"Mesh-Key: " + keyOfAlpha, "mesh-key: " + keyOfAlpha}, 401, ""},
		"a known and an unknown one":   {"/", []string{"mesh-key: unknown", "MESH-KEY: " + keyOfAlpha}, 401, ""},
		"two keys in one line":         {"/", []string{"Mesh-Key: " + keyOfAlpha + ", " + keyOfBeta}, 401, ""},
		"the digest of a key":          {"/", []string{fmt.Sprintf("Mesh-Key: %x", account.DigestOf([]byte(keyOfAlpha)))}, 401, ""},
		"a space before the colon":     {"/", []string{"Mesh-Key : " + keyOfAlpha}, 400, ""},
		"a folded line":                {"/", []string{"Mesh-Key:", " " + keyOfAlpha}, 400, ""},
		"a key in the query":           {"/?Mesh-Key=" + keyOfAlpha, nil, 401, ""},
		"public without a key":         {"/open/", nil, 200, ""},
		"public with a key":            {"/open/", []string{"Mesh-Key: " + keyOfAlpha}, 200, "alpha"},
		"public with an unknown key":   {"/open/", []string{"Mesh-Key: unknown"}, 200, ""},
		"public with two keys":         {"/open/", []string{"Mesh-Key: " + keyOfAlpha, "Mesh-Key: " + keyOfBeta}, 200, ""},
		"an account and no key":        {"/", []string{"Mesh-Account: alpha"}, 401, ""},
		"another account than a key's": {"/", []string{"Mesh-Account: beta", "Mesh-Key: " + keyOfAlpha}, 200, "alpha"},
		"public and an account":        {"/open/", []string{"mesh-ACCOUNT: beta"}, 200, ""},
		"the account hidden as hop":    {"/open/", []string{"Connection: Mesh-Account", "Mesh-Account: beta"}, 200, ""},
		"the key hidden as hop":        {"/", []string{"Connection: Mesh-Key", "Mesh-Key: " + keyOfAlpha}, 200, "alpha"},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(site.origin.calls())
			status, answer := site.send(get(row.path, row.lines...))
			assert.Equal(t, status, row.status)
			assertNoKey(t, answer)
			calls := site.origin.calls()[before:]
			if row.status != 200 {
				assert.Equal(t, len(calls), 0, "the request reached an instance")
				return
			}
			assert.Equal(t, len(calls), 1)
			assert.Equal(t, calls[0].GetAccount(), row.account)
			assertStripped(t, calls[0])
		})
	}
}

// assertStripped checks that the header fields of a call contain neither a key nor an account.
func assertStripped(t *testing.T, open *lapisv1.CallOpen) {
	t.Helper()
	for _, field := range open.GetHeaders() {
		assert.Assert(t, !strings.HasPrefix(strings.ToLower(field.GetName()), "mesh-"), "%s is passed on", field.GetName())
	}
	assertNoKey(t, open.String())
}

func assertNoKey(t *testing.T, text string) {
	t.Helper()
	for _, key := range []string{keyOfAlpha, keyOfBeta} {
		assert.Assert(t, !strings.Contains(strings.ToLower(text), strings.ToLower(key)), "a key is in %q", text)
	}
}

// A call has the group and the priority of its account. On a route that needs a key, it also states the
// digest of the key.
func TestCallsCountForTheirAccount(t *testing.T) {
	site := startKeyedGateway(t, nil)
	site.send(get("/", "Mesh-Key: "+keyOfBeta))
	site.send(get("/open/", "Mesh-Key: "+keyOfBeta))
	site.send(get("/open/"))
	calls := site.origin.calls()
	digest := account.DigestOf([]byte(keyOfBeta))
	assert.Equal(t, calls[0].GetGroup(), "beta")
	assert.Equal(t, calls[0].GetAccountPriority(), uint32(3))
	assert.DeepEqual(t, calls[0].GetKeyDigest(), digest[:])
	assert.Equal(t, calls[1].GetGroup(), "beta")
	assert.Equal(t, len(calls[1].GetKeyDigest()), 0, "a public route needs no key")
	assert.Equal(t, calls[2].GetGroup(), meshconfig.DefaultGroup)
}

// Callers cannot use trailers to set fields that are reserved for lapisvane.
func TestTrailersCannotSetTheAccount(t *testing.T) {
	site := startKeyedGateway(t, nil)
	body := "5\r\nhello\r\n0\r\nMesh-Account: beta\r\nMesh-Key: " + keyOfBeta + "\r\nKept: yes\r\n\r\n"
	head := "POST /open/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\nTrailer: Mesh-Account, Mesh-Key, Kept\r\n\r\n"
	status, _ := site.send(head + body)
	assert.Equal(t, status, 200)
	assertStripped(t, site.origin.calls()[0])
	assertNoKey(t, fmt.Sprint(site.origin.trailers))
	for _, trailer := range site.origin.trailers {
		assert.Assert(t, !strings.HasPrefix(strings.ToLower(trailer.GetName()), "mesh-"), "%s is passed on", trailer.GetName())
	}
}

// A request without a valid key is refused before its body has arrived.
func TestKeysAreCheckedBeforeTheBody(t *testing.T) {
	site := startKeyedGateway(t, nil)
	status, _ := site.send("POST / HTTP/1.1\r\nHost: a.example\r\nMesh-Key: unknown\r\nContent-Length: 5000000\r\n\r\npart")
	assert.Equal(t, status, 401)
}

// If the configuration has no accounts, requests need no key, and keys are ignored.
func TestWithoutAccountsEveryCallerIsServed(t *testing.T) {
	site := startKeyedGateway(t, nil)
	site.configure(2, nil)
	for _, lines := range [][]string{nil, {"Mesh-Key: unknown"}, {"Mesh-Key: " + keyOfAlpha, "Mesh-Account: alpha"}} {
		status, _ := site.send(get("/", lines...))
		assert.Equal(t, status, 200)
	}
	for _, open := range site.origin.calls() {
		assert.Equal(t, open.GetAccount(), "")
		assertStripped(t, open)
	}
}

// If a key is revoked before a second attempt, there is no second attempt. There is one if the key moves to
// another account, or if the route is public.
func TestRevocationBetweenAttempts(t *testing.T) {
	for name, row := range map[string]struct {
		path     string
		accounts *lapisv1.Accounts
		status   int
		calls    int
	}{
		"revoked":               {"/", accountsOf("beta", keyOfBeta), 401, 1},
		"moved":                 {"/", accountsOf("beta", keyOfAlpha), 200, 2},
		"kept":                  {"/", accountsOf("alpha", keyOfAlpha), 200, 2},
		"accounts are given up": {"/", nil, 200, 2},
		"revoked, public":       {"/open/", accountsOf("beta", keyOfBeta), 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			site := startKeyedGateway(t, nil)
			site.origin.before = func(*lapisv1.CallOpen) error {
				if len(site.origin.calls()) > 1 {
					return nil
				}
				site.configure(2, row.accounts)
				return result.Errorf(result.CallNotRunDraining, "leaving")
			}
			status, answer := site.send(get(row.path, "Mesh-Key: "+keyOfAlpha))
			assert.Equal(t, status, row.status, answer)
			assert.Equal(t, len(site.origin.calls()), row.calls)
		})
	}
}

// With a bound on the age of revocations, a key whose data becomes too old before a second attempt gets no
// second attempt. The caller is told that the call did not run.
func TestKeysThatBecomeTooOldBetweenAttempts(t *testing.T) {
	for path, calls := range map[string]int{"/": 1, "/open/": 2} {
		var freshness atomic.Pointer[identity.Freshness]
		freshness.Store(&identity.Freshness{})
		site := startKeyedGateway(t, func(config *Config) {
			config.Identity = Identity{
				Freshness: func() identity.Freshness { return *freshness.Load() },
				Bounds:    identity.Bounds{MaxApplyDelay: time.Second, MaxUnconfirmed: time.Minute},
			}
		})
		site.origin.before = func(*lapisv1.CallOpen) error {
			if len(site.origin.calls()) > 1 {
				return nil
			}
			freshness.Store(&identity.Freshness{SinceConfirmed: time.Minute})
			return result.Errorf(result.CallNotRunDraining, "leaving")
		}
		status, answer := site.send(get(path, "Mesh-Key: "+keyOfAlpha))
		assert.Equal(t, status == http.StatusServiceUnavailable, calls == 1, answer)
		assert.Equal(t, len(site.origin.calls()), calls)
	}
}

// A call that an instance may have run is not answered as refused, even if its key is revoked afterwards.
func TestRevocationKeepsAnUnknownOutcome(t *testing.T) {
	site := startKeyedGateway(t, nil)
	site.origin.before = func(*lapisv1.CallOpen) error {
		site.configure(2, accountsOf("beta", keyOfBeta))
		return result.Errorf(result.CallUnknownOutcome, "broken off")
	}
	status, _ := site.send(get("/", "Mesh-Key: "+keyOfAlpha))
	assert.Equal(t, status, 502)
	assert.Equal(t, len(site.origin.calls()), 1)
}
