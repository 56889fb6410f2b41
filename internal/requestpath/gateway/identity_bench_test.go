package gateway

import (
	"fmt"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// manyAccounts returns 100 accounts with 100 keys each.
func manyAccounts() *lapisv1.Accounts {
	accounts := &lapisv1.Accounts{}
	for name := range 100 {
		made := &lapisv1.Account{Name: fmt.Sprint("account-", name)}
		for number := range 100 {
			key := accountsOf("", fmt.Sprintf("key-%d-%d", name, number)).GetAccounts()[0].GetKeyDigests()[0]
			made.KeyDigests = append(made.KeyDigests, key)
		}
		accounts.Accounts = append(accounts.Accounts, made)
	}
	return accounts
}

// benchmarkAdmit measures finding the route and the caller of a request, and creating its opening.
func benchmarkAdmit(b *testing.B, accounts *lapisv1.Accounts) {
	store := &snapshot.Store{}
	if err := store.ReplaceConfiguration(keyedConfiguration(b, 1, accounts)); err != nil {
		b.Fatal(err)
	}
	gateway := New(Config{Node: "here", Snapshots: store, Envelope: keyEnvelope})
	rc := app.NewContext(0)
	rc.Request.SetRequestURI("/path")
	rc.Request.SetHost("a.example")
	rc.Request.Header.SetMethod("GET")
	rc.Request.Header.Set(keyEnvelope.RequestID, "request")
	if accounts != nil {
		rc.Request.Header.Set(keyEnvelope.Key, "key-50-50")
	}
	b.ReportAllocs()
	for b.Loop() {
		found, err := gateway.admit(b.Context(), rc, store.Current())
		if err != nil {
			b.Fatal(err)
		}
		gateway.openingTemplate(rc, found.route, found.caller, 1, &requestBody{})
	}
}

func BenchmarkAdmitWithoutAccounts(b *testing.B) { benchmarkAdmit(b, nil) }

func BenchmarkAdmitAmongManyKeys(b *testing.B) { benchmarkAdmit(b, manyAccounts()) }
