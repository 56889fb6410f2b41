package operator

import (
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
)

func showRoutes(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "pool"}, {Name: "host"}, {Name: "path_prefix"}, {Name: "methods"},
		{Name: "secret"}, {Name: "class"}, {Name: "deadline_millis", Numeric: true}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Routes)) {
		route := state.Routes[name]
		table.Rows = append(table.Rows, []string{
			name, route.GetGroup(), route.GetPool(), route.GetHost(), route.GetPathPrefix(), strings.Join(route.GetMethods(), ","),
			route.GetSecret(), classOf(route.GetCallClass()), number(uint64(route.GetCallClass().GetDeadlineMillis())),
			lastChangedRevision(state, meshconfig.KindRoute, name),
		})
	}
	return table
}

// classOf formats the call class of a route.
func classOf(class *lapisv1.CallClass) string {
	words := []string{"once"}
	if class.GetRepeatable() {
		words[0] = "repeatable"
	}
	if class.GetBackground() {
		words = append(words, "background")
	}
	if class.GetUpload() {
		words = append(words, "upload")
	}
	return strings.Join(words, ",")
}

func showPools(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "slots", Numeric: true}, {Name: "connection_limit", Numeric: true},
		{Name: "drained"}, {Name: "retired"}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		table.Rows = append(table.Rows, []string{
			name, pool.GetGroup(), number(uint64(pool.GetSlots())), number(uint64(pool.GetConnectionLimit())),
			strings.Join(pool.GetDrained(), ","), strings.Join(pool.GetRetired(), ","), lastChangedRevision(state, meshconfig.KindPool, name),
		})
	}
	return table
}

func showShares(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "pool"}, {Name: "percent", Numeric: true}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Shares)) {
		share := state.Shares[name]
		table.Rows = append(table.Rows, []string{
			name, share.GetGroup(), share.GetPool(), number(uint64(share.GetPercent())), lastChangedRevision(state, meshconfig.KindShare, name),
		})
	}
	return table
}

// showAccounts lists the limits and the number of keys of each account, without the keys.
func showAccounts(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "keys", Numeric: true}, {Name: "priority", Numeric: true},
		{Name: "calls_per_second", Numeric: true}, {Name: "burst", Numeric: true}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Accounts)) {
		account := state.Accounts[name]
		table.Rows = append(table.Rows, []string{
			name, strconv.Itoa(len(account.GetKeyDigests())), number(uint64(account.GetPriority())),
			strconv.FormatFloat(account.GetCallsPerSecond(), 'g', -1, 64), number(uint64(account.GetBurst())),
			lastChangedRevision(state, meshconfig.KindAccount, name),
		})
	}
	return table
}

// showSecrets lists the fingerprint and the expiry of each key pair, without its value.
func showSecrets(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "name"}, {Name: "group"}, {Name: "fingerprint"}, {Name: "expires"}, {Name: "changed", Numeric: true},
	}}
	for _, name := range slices.Sorted(maps.Keys(state.Secrets)) {
		fingerprint, expires := certificateSummary(state.Secrets[name])
		table.Rows = append(table.Rows, []string{
			name, state.Secrets[name].GetGroup(), fingerprint, expires, lastChangedRevision(state, meshconfig.KindSecret, name),
		})
	}
	return table
}

// fingerprintBytes is the length of the prefix of a certificate's SHA-256 that is shown, enough to
// distinguish the certificates of a site.
const fingerprintBytes = 8

// certificateSummary returns the prefix of the SHA-256 of a secret's certificate and its expiry time.
// Both are empty if the secret holds no certificate, which validation refuses.
func certificateSummary(secret *lapisv1.Secret) (fingerprint, expires string) {
	block, _ := pem.Decode(secret.GetCertificatePem())
	if block == nil {
		return "", ""
	}
	sum := sha256.Sum256(block.Bytes)
	fingerprint = hex.EncodeToString(sum[:fingerprintBytes])
	if certificate, err := x509.ParseCertificate(block.Bytes); err == nil {
		expires = certificate.NotAfter.UTC().Format(time.RFC3339)
	}
	return fingerprint, expires
}

// lastChangedRevision returns the revision that last changed an object.
func lastChangedRevision(state *meshconfig.State, kind meshconfig.Kind, name string) string {
	return number(state.ObjectRevisions[meshconfig.KeyOf(kind, name)])
}

func (s *Server) showBackends(state *meshconfig.State) *opapi.Table {
	table := &opapi.Table{
		Columns: []opapi.Column{{Name: "pool"}, {Name: "instance"}, {Name: "zone"}, {Name: "node"}, {Name: "address"}, {Name: "state"}, {Name: "operator"}},
		Notes:   []string{"as seen by this daemon; a daemon with services [\"*\"] sees all"},
	}
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		for _, endpoint := range s.config.Endpoints.Endpoints(name) {
			instance := endpoint.GetInstance()
			order := ""
			if slices.Contains(pool.GetDrained(), instance) {
				order = "drained"
			}
			if slices.Contains(pool.GetRetired(), instance) {
				order = "retired"
			}
			table.Rows = append(table.Rows, []string{
				name, instance, endpoint.GetZone(), endpoint.GetNode(), endpoint.GetAddress(), stateName(endpoint.GetState()), order,
			})
		}
	}
	return table
}

func stateName(state lapisv1.Endpoint_State) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "STATE_"))
}

func (s *Server) showProposals(ctx context.Context) (*opapi.Table, error) {
	if _, err := s.log.Refresh(ctx); err != nil {
		return nil, err
	}
	proposals, err := s.log.Proposals(ctx)
	if err != nil {
		return nil, err
	}
	table := &opapi.Table{Columns: []opapi.Column{
		{Name: "proposal"}, {Name: "author"}, {Name: "group"}, {Name: "base", Numeric: true}, {Name: "changes", Numeric: true},
	}}
	for _, proposal := range proposals {
		table.Rows = append(table.Rows, []string{
			proposal.GetOperationId(), proposal.GetAuthor(), proposal.GetGroup(),
			number(proposal.GetBaseRevision()), strconv.Itoa(len(proposal.GetChanges())),
		})
	}
	return table, nil
}
