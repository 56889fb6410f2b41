package identity_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
)

const (
	apply      = 2500 * time.Millisecond
	revocation = 5 * time.Second
)

var caller = &account.Account{Name: "alpha"}

func TestDecisions(t *testing.T) {
	fresh := identity.Currency{Unconfirmed: apply}
	unconfirmed := identity.Currency{Unconfirmed: apply + 1}
	behind := identity.Currency{Behind: true}
	tooOld := identity.Currency{Unconfirmed: revocation}
	for name, row := range map[string]struct {
		facts                   identity.Facts
		withoutLimit, withLimit identity.Decision
	}{
		"known":                            {identity.Facts{Caller: caller, Currency: fresh}, identity.ServeCaller, identity.ServeCaller},
		"known, not confirmed":             {identity.Facts{Caller: caller, Currency: unconfirmed}, identity.ServeCaller, identity.ServeCaller},
		"known, behind":                    {identity.Facts{Caller: caller, Currency: behind}, identity.ServeCaller, identity.ServeCaller},
		"known, too old":                   {identity.Facts{Caller: caller, Currency: tooOld}, identity.ServeCaller, identity.RefuseUnconfirmed},
		"unknown":                          {identity.Facts{Currency: fresh}, identity.RefuseUnknown, identity.RefuseUnknown},
		"unknown, not confirmed":           {identity.Facts{Currency: unconfirmed}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, not confirmed, waited":   {identity.Facts{Currency: unconfirmed, Waited: true}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, behind":                  {identity.Facts{Currency: behind}, identity.AwaitNewer, identity.AwaitNewer},
		"unknown, still behind":            {identity.Facts{Currency: behind, Waited: true}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, no longer behind":        {identity.Facts{Currency: fresh, Waited: true}, identity.RefuseUnknown, identity.RefuseUnknown},
		"unknown, too old":                 {identity.Facts{Currency: tooOld}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, behind and too old":      {identity.Facts{Currency: identity.Currency{Unconfirmed: revocation, Behind: true}}, identity.AwaitNewer, identity.RefuseUnconfirmed},
		"public without a key, behind":     {identity.Facts{Public: true, Currency: behind}, identity.ServeAnyone, identity.ServeAnyone},
		"public with a key":                {identity.Facts{Public: true, Caller: caller, Currency: fresh}, identity.ServeCaller, identity.ServeCaller},
		"public with a key that is old":    {identity.Facts{Public: true, Caller: caller, Currency: tooOld}, identity.ServeCaller, identity.ServeAnyone},
		"public, no confirmation for long": {identity.Facts{Public: true, Currency: tooOld}, identity.ServeAnyone, identity.ServeAnyone},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, identity.Decide(row.facts, identity.Bounds{Apply: apply}), row.withoutLimit)
			assert.Equal(t, identity.Decide(row.facts, identity.Bounds{Apply: apply, Revocation: revocation}), row.withLimit)
		})
	}
}

// Checks that a configuration without currency information counts as the newest.
func TestZeroCurrencyIsTheNewest(t *testing.T) {
	assert.Equal(t, identity.Decide(identity.Facts{}, identity.Bounds{}), identity.RefuseUnknown)
}

// Checks that the wait leaves most of the target latency for a retry, and is short without a
// target.
func TestWaitIsAPartOfTheTarget(t *testing.T) {
	for target, wait := range map[time.Duration]time.Duration{
		0: 200 * time.Millisecond, 250 * time.Millisecond: 50 * time.Millisecond, time.Second: 200 * time.Millisecond, time.Minute: 200 * time.Millisecond,
	} {
		assert.Equal(t, identity.WaitFor(target), wait, "target %s", target)
	}
}
