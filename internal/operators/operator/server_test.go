package operator_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/operators/ctl"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/operators/operator"
	"github.com/lapisvane/lapisvane/internal/operators/query"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

type emptyEndpoints struct{}

func (emptyEndpoints) Endpoints(string) []*lapisv1.Endpoint { return nil }

// testServer is an operators' interface with operators of two groups and an administrator.
type testServer struct {
	t       *testing.T
	address string
	stub    *objectapistub.Server
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	stub, err := objectapistub.Start(objectapistub.Options{Address: "127.0.0.1:0", Seed: 3})
	assert.NilError(t, err)
	store := objectapi.NewClient([]string{stub.Address()}, "", nil)
	var operators []operator.Operator
	for _, group := range []string{"archers", "bakers", operator.AdminGroup} {
		operators = append(operators, operator.Operator{Name: group, Group: group, TokenSHA256: operator.HashToken("token-" + group)})
	}
	encoded, _ := json.Marshal(operators)
	_, err = store.Put(context.Background(), operator.TokensKey, encoded, objectapi.VersionAny)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		operator.New(operator.Config{Store: store, Endpoints: emptyEndpoints{}, Logger: logr.Discard()}).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		store.Close()
		stub.Close()
	})
	return &testServer{t: t, address: listener.Addr().String(), stub: stub}
}

func (s *testServer) run(group, line string) (*opapi.Table, error) {
	command, err := query.Parse(line)
	assert.NilError(s.t, err)
	return ctl.NewClient(s.address, "token-"+group).Run(context.Background(), command)
}

// proposeAndAccept proposes and accepts the given file.
func (s *testServer) proposeAndAccept(group, content string) error {
	path := filepath.Join(s.t.TempDir(), "proposal.yaml")
	assert.NilError(s.t, os.WriteFile(path, []byte(content), 0o600))
	table, err := s.run(group, "propose "+path)
	if err != nil {
		return err
	}
	_, err = s.run(group, "accept "+table.Rows[0][0])
	return err
}

const baseProposal = `
pools: [{name: shop, group: archers, slots: 6, connection_limit: 130}]
routes: [{name: quote, group: archers, pool: shop, path_prefix: /quote}]
shares: [{name: for-bakers, group: bakers, pool: shop, percent: 30}]
`

func TestGroupsTouchOnlyWhatIsTheirs(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.proposeAndAccept("archers", baseProposal))
	cases := []struct {
		name, group, file string
		expect            result.Code
	}{
		{"a rival's pool", "bakers", "pools: [{name: shop, group: bakers, slots: 1, connection_limit: 1}]", result.OperatorForbidden},
		{"a rival's route", "bakers", "remove: [{kind: route, name: quote}]", result.OperatorForbidden},
		{"a larger share for oneself", "bakers", "shares: [{name: for-bakers, group: bakers, pool: shop, percent: 90}]", result.OperatorForbidden},
		{"a new share in a rival's pool", "bakers", "shares: [{name: more, group: bakers, pool: shop, percent: 10}]", result.OperatorForbidden},
		{"an object given to a rival", "bakers", "routes: [{name: r, group: archers, pool: shop, path_prefix: /r}]", result.OperatorForbidden},
		{"an own route to a shared pool", "bakers", "routes: [{name: bake, group: bakers, pool: shop, path_prefix: /bake}]", result.OK},
		{"the owner sets shares", "archers", "shares: [{name: for-bakers, group: bakers, pool: shop, percent: 40}]", result.OK},
		{"an administrator", operator.AdminGroup, "shares: [{name: for-bakers, group: bakers, pool: shop, percent: 35}]", result.OK},
		{"an unknown token", "strangers", "remove: [{kind: route, name: quote}]", result.OperatorUnauthenticated},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, _ := result.CodeOf(s.proposeAndAccept(test.group, test.file))
			assert.Equal(t, code, test.expect)
		})
	}
	_, err := s.run("bakers", "drain shop/shop-1")
	assert.Assert(t, result.Is(err, result.OperatorForbidden), "%v", err)
}

func TestRacingDrainsOfOnePoolAllTakeEffect(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.proposeAndAccept("archers", baseProposal))
	s.stub.SetFaults(objectapistub.Faults{LoseAnswerPercent: 20})
	var racing sync.WaitGroup
	const drains = 6
	for index := range drains {
		racing.Go(func() {
			_, err := s.run("archers", fmt.Sprintf("drain shop/shop-%d", index))
			assert.Check(t, err == nil, "%v", err)
		})
	}
	racing.Wait()
	s.stub.SetFaults(objectapistub.Faults{})
	table, err := s.run("archers", "show pools where name = shop")
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Split(table.Rows[0][4], ",")), drains, "%v", table.Rows)
}

func TestRetiredIsForever(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.proposeAndAccept("archers", baseProposal))
	_, err := s.run("archers", "retire shop/shop-1")
	assert.NilError(t, err)
	_, err = s.run("archers", "undrain shop/shop-1")
	assert.Assert(t, result.Is(err, result.ConfigRetiredIsForever), "%v", err)
}

func TestWaitReportsExpiry(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.proposeAndAccept("archers", baseProposal))
	_, err := s.run("archers", "wait in-force 1 for "+(200*time.Millisecond).String())
	assert.Assert(t, result.Is(err, result.OperatorWaitExpired), "%v", err)
	_, err = s.run("archers", "wait in-force 99")
	assert.Assert(t, result.Is(err, result.OperatorUnknownRevision), "%v", err)
}

func TestPlatformOutageIsReported(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.proposeAndAccept("archers", baseProposal))
	s.stub.SetFaults(objectapistub.Faults{Down: true})
	_, err := s.run("archers", "show routes")
	assert.Assert(t, result.Is(err, result.PlatformUnavailable), "%v", err)
}

func TestSecretsAreNeverShown(t *testing.T) {
	s := startServer(t)
	authority, err := testsite.NewCertificateAuthority("test")
	assert.NilError(t, err)
	pair, err := authority.Issue("shop.example")
	assert.NilError(t, err)
	file, err := json.Marshal(map[string]any{
		"pools":   []any{map[string]any{"name": "shop", "group": "archers", "slots": 6, "connection_limit": 9}},
		"routes":  []any{map[string]any{"name": "r", "group": "archers", "pool": "shop", "path_prefix": "/", "secret": "key"}},
		"secrets": []any{map[string]any{"name": "key", "group": "archers", "certificate_pem": string(pair.Certificate), "private_key_pem": string(pair.Key)}},
	})
	assert.NilError(t, err)
	assert.NilError(t, s.proposeAndAccept("archers", string(file)))
	line := strings.Split(string(pair.Key), "\n")[1]
	for _, command := range []string{"show secrets", "show routes", "show pools", "show proposals", "diff 0 1", "show versions"} {
		table, err := s.run("bakers", command)
		assert.NilError(t, err)
		answer, err := json.Marshal(table)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(answer), line), "%s shows the key", command)
	}
	code, _ := result.CodeOf(s.proposeAndAccept("bakers", "routes: [{name: steal, group: bakers, pool: shop, path_prefix: /s, secret: key}]"))
	assert.Equal(t, code, result.ConfigForeignSecret)
}

// Only administrators may change accounts. All operators see the limits of accounts, but no answer
// contains a key or its digest.
func TestAccountsAreShownWithoutKeys(t *testing.T) {
	s := startServer(t)
	const key = "key0of0the0archers"
	file := "accounts: [{name: archers, api_keys: [" + key + ", other], priority: 1, calls_per_second: 2.5, burst: 7}, {name: none}]"
	code, _ := result.CodeOf(s.proposeAndAccept("archers", file))
	assert.Equal(t, code, result.OperatorForbidden)
	assert.NilError(t, s.proposeAndAccept(operator.AdminGroup, file))
	code, _ = result.CodeOf(s.proposeAndAccept("archers", "remove: [{kind: account, name: archers}]"))
	assert.Equal(t, code, result.OperatorForbidden)
	table, err := s.run("archers", "show accounts where keys > 0")
	assert.NilError(t, err)
	assert.DeepEqual(t, table.Rows, [][]string{{"archers", "2", "1", "2.5", "7", "1"}})
	table, err = s.run("archers", "diff 0 1")
	assert.NilError(t, err)
	assert.Equal(t, table.Rows[0][2], "set to 2 keys, priority 1, 2.5 calls a second, burst 7")
	digest := account.DigestOf([]byte(key))
	for _, command := range []string{"show accounts", "show proposals", "diff 0 1", "show versions", "show pools"} {
		table, err := s.run("archers", command)
		assert.NilError(t, err)
		answer, err := json.Marshal(table)
		assert.NilError(t, err)
		for _, secret := range []string{key, hex.EncodeToString(digest[:]), string(digest[:4])} {
			assert.Assert(t, !strings.Contains(string(answer), secret), "%s shows %q", command, secret)
		}
	}
}

// Guards against memory that grows with input that never ends, which is held before the operator is
// authenticated.
func TestInputWithoutEndIsRefused(t *testing.T) {
	server := startServer(t)
	const chunked = "POST " + opapi.PathPropose + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, opening := range map[string]string{
		"head":        "GET " + opapi.PathShow + " HTTP/1.1\r\nHost: a\r\n",
		"trailers":    chunked + "1\r\nx\r\n0\r\n",
		"empty lines": "",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			_, err = conn.Write([]byte(opening))
			assert.NilError(t, err)
			piece := []byte(strings.Repeat("X-Field: value\r\n", 4<<10))
			if opening == "" {
				piece = []byte(strings.Repeat("\r\n", 32<<10))
			}
			sent, count := 0, 0
			for ; err == nil && sent < 8*opapi.MaxRequestBytes; sent += count {
				count, err = conn.Write(piece)
			}
			assert.Assert(t, err != nil, "%d bytes were sent", sent)
		})
	}
	_, err := server.run(operator.AdminGroup, "show versions")
	assert.NilError(t, err)
}
