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
	fresh := identity.Freshness{SinceConfirmed: apply}
	unconfirmed := identity.Freshness{SinceConfirmed: apply + 1}
	behind := identity.Freshness{Behind: true}
	tooOld := identity.Freshness{SinceConfirmed: revocation}
	for name, row := range map[string]struct {
		facts                   identity.Input
		withoutLimit, withLimit identity.Decision
	}{
		"known":                            {identity.Input{Caller: caller, Freshness: fresh}, identity.ServeCaller, identity.ServeCaller},
		"known, not confirmed":             {identity.Input{Caller: caller, Freshness: unconfirmed}, identity.ServeCaller, identity.ServeCaller},
		"known, behind":                    {identity.Input{Caller: caller, Freshness: behind}, identity.ServeCaller, identity.ServeCaller},
		"known, too old":                   {identity.Input{Caller: caller, Freshness: tooOld}, identity.ServeCaller, identity.RefuseUnconfirmed},
		"unknown":                          {identity.Input{Freshness: fresh}, identity.RefuseUnknown, identity.RefuseUnknown},
		"unknown, not confirmed":           {identity.Input{Freshness: unconfirmed}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, not confirmed, waited":   {identity.Input{Freshness: unconfirmed, Waited: true}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, behind":                  {identity.Input{Freshness: behind}, identity.AwaitNewer, identity.AwaitNewer},
		"unknown, still behind":            {identity.Input{Freshness: behind, Waited: true}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, no longer behind":        {identity.Input{Freshness: fresh, Waited: true}, identity.RefuseUnknown, identity.RefuseUnknown},
		"unknown, too old":                 {identity.Input{Freshness: tooOld}, identity.RefuseUnconfirmed, identity.RefuseUnconfirmed},
		"unknown, behind and too old":      {identity.Input{Freshness: identity.Freshness{SinceConfirmed: revocation, Behind: true}}, identity.AwaitNewer, identity.RefuseUnconfirmed},
		"public without a key, behind":     {identity.Input{Public: true, Freshness: behind}, identity.ServeAnonymous, identity.ServeAnonymous},
		"public with a key":                {identity.Input{Public: true, Caller: caller, Freshness: fresh}, identity.ServeCaller, identity.ServeCaller},
		"public with a key that is old":    {identity.Input{Public: true, Caller: caller, Freshness: tooOld}, identity.ServeCaller, identity.ServeAnonymous},
		"public, no confirmation for long": {identity.Input{Public: true, Freshness: tooOld}, identity.ServeAnonymous, identity.ServeAnonymous},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, identity.Decide(row.facts, identity.Bounds{MaxApplyDelay: apply}), row.withoutLimit)
			assert.Equal(t, identity.Decide(row.facts, identity.Bounds{MaxApplyDelay: apply, MaxUnconfirmed: revocation}), row.withLimit)
		})
	}
}

// Checks that a configuration without freshness information counts as the newest.
func TestZeroCurrencyIsTheNewest(t *testing.T) {
	assert.Equal(t, identity.Decide(identity.Input{}, identity.Bounds{}), identity.RefuseUnknown)
}

// Checks that the wait leaves most of the target latency for a retry, and is short without a
// target.
func TestWaitIsAPartOfTheTarget(t *testing.T) {
	for target, wait := range map[time.Duration]time.Duration{
		0: 200 * time.Millisecond, 250 * time.Millisecond: 50 * time.Millisecond, time.Second: 200 * time.Millisecond, time.Minute: 200 * time.Millisecond,
	} {
		assert.Equal(t, identity.UpdateWait(target), wait, "target %s", target)
	}
}
