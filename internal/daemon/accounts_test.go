package daemon

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// The age of the API keys that the gateway gets is the age of the last confirmation. With strict
// revocation, keys are suspended when it is too old, and each change is logged once.
func TestKeysAreSuspendedWithoutConfirmations(t *testing.T) {
	for _, strict := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var output bytes.Buffer
			config := settings.DefaultDaemon()
			config.Accounts = settings.Accounts{StrictRevocation: strict, RevocationBound: tunables.Duration(5 * time.Second)}
			freshness := &configsource.Freshness{}
			keys := identityOf(&config, freshness, logging.NewPlain(&output), prometheus.NewRegistry())
			assert.Equal(t, keys.Bounds.MaxApplyDelay, config.Platform.ApplyBound.Get())
			suspended := func() bool { return keys.Bounds.TooOld(keys.Freshness()) }

			assert.Equal(t, suspended(), strict, "before the first confirmation")
			freshness.Advance(3)
			freshness.Confirm(configsource.Versions{Configuration: 3}, boottime.Now())
			assert.Equal(t, keys.Freshness(), identity.Freshness{})
			time.Sleep(5*time.Second - time.Nanosecond)
			assert.Assert(t, !suspended())
			time.Sleep(time.Nanosecond)
			for range 3 {
				assert.Equal(t, suspended(), strict)
			}
			freshness.Confirm(configsource.Versions{Configuration: 4}, boottime.Now())
			assert.Assert(t, keys.Freshness().Behind)
			assert.Equal(t, suspended(), strict, "a newer revision is not in force here")
			freshness.Advance(4)
			assert.Assert(t, !suspended())

			lines := map[bool]int{true: 2, false: 0}[strict]
			assert.Equal(t, strings.Count(output.String(), "event=keys.suspended"), lines, output.String())
			assert.Equal(t, strings.Count(output.String(), "event=keys.resumed"), lines, output.String())
		})
	}
}
