package testsite_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
)

// requestStatus sends a request with an API key, "" for none, to a daemon and returns the HTTP status.
func requestStatus(t *testing.T, member *testsite.Member, path, key string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+member.Daemon.Addresses().Caller+path, nil)
	assert.NilError(t, err)
	request.Host = "desk.example"
	request.Header.Set("Lab-Call", "accounts")
	if key != "" {
		request.Header.Set(callapi.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Accounts that an operator adds apply at every daemon, including one that holds only some of the
// services. A changed API key replaces the old one, and without accounts no key is required.
func TestAccountsOfTheObjectAPI(t *testing.T) {
	site := startSite(t, 1, nil)
	part, err := site.StartDaemon("part", site.Daemons["edge"].Settings.Zone, []string{"desk"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	assert.NilError(t, site.WaitEndpoints(ctx, "desk", 1))
	accept := func(operation string, file meshconfig.File) {
		revision, err := site.Accept(ctx, operation, file)
		assert.NilError(t, err)
		assert.NilError(t, site.WaitInForce(ctx, revision))
	}
	check := func(statuses map[string]int) {
		t.Helper()
		for _, member := range []*testsite.Member{site.Daemons["edge"], part} {
			for key, status := range statuses {
				assert.Equal(t, requestStatus(t, member, "/lookup", key), status, "%q at %s", key, member.Settings.Node)
			}
			assert.Equal(t, requestStatus(t, member, "/open", ""), http.StatusOK)
		}
	}
	accept("public", meshconfig.File{Routes: []meshconfig.RouteFile{{Name: "open", Group: "riders", Pool: "desk", PathPrefix: "/open", Public: true}}})
	check(map[string]int{"": 200, "first": 200})
	accept("accounts", meshconfig.File{Accounts: []meshconfig.AccountFile{{Name: "riders", APIKeys: []string{"first"}}}})
	check(map[string]int{"": 401, "first": 200, "second": 401})
	accept("renewed", meshconfig.File{Accounts: []meshconfig.AccountFile{{Name: "riders", APIKeys: []string{"second"}}}})
	check(map[string]int{"": 401, "first": 401, "second": 200})
	accept("none", meshconfig.File{Remove: []meshconfig.RemoveFile{{Kind: meshconfig.KindAccount, Name: "riders"}}})
	check(map[string]int{"": 200, "first": 200})
}
