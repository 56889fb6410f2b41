package settings_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// allKeys is a settings file with every supported key.
const allKeys = `
node: n
zone: z
region: r
peer_address: 127.0.0.1:7400
caller_address: 127.0.0.1:7401
caller_tls_address: 127.0.0.1:7402
operator_address: ""
metrics_address: 127.0.0.1:7403
instance_address: 127.0.0.1:7404
readiness_address: 127.0.0.1:7405
service: desk
link_mbit: 100
memory_mb: 284
max_descriptors: 4100
retries: {fraction: 0.2, burst: 192, window: 10s}
seeds: ["127.0.0.1:7410"]
services: ["*"]
backends: [{service: desk, instance: desk-1, address: 127.0.0.1:7420}]
peer_tls: {certificate: c, key: k, authority: a}
calls: {default_deadline: 9s, queue_length: 32, queue_time: 100ms}
evacuation_bound: 5s
accounts: {strict_revocation: true, revocation_bound: 5s}
cold_starts: {overshoot: 1.2, slack: 3}
rate_limits: {window: 5s, overshoot: 0.1, slack: 20}
rollouts: {exposure_share: 0.1, exposure_slack: 50, roll_back_bound: 5s}
sent_ahead: {requests_per_connection: 8, requests: 100, bytes_per_connection: 1000, bytes: 10000}
profile: bytes
no_seat: true
stop_limit: 6s
start_limit: 20s
verbosity: 1
decision_lines_per_second: 50
platform:
  form: objects
  addresses: ["127.0.0.1:7000"]
  token: t
  reads_per_second: 6000
  writes_per_second: 1200
  contact: 3s
  apply_bound: 2500ms
distribution:
  fanout: 8
  max_depth: 5
  seats_per_zone: 1
  seat_lease: 5s
  debounce_quiet: 6ms
  debounce_max: 60ms
  endpoint_debounce: 30ms
  heartbeat_interval: 500ms
  link_silence: 4s
  detached_grace: 2s
  suspect_after: 2s
  gone_after: 50s
  status_interval: 1500ms
  joins_per_second: 40
  catch_up_bytes_per_second: 1000
  catch_up_burst_bytes: 2000
  join_backoff_min: 60ms
  join_backoff_max: 3s
  first_source_ask: 900ms
  interest_shrink_delay: 20s
  machines_interval: 2s
`

// jsonKeys returns the JSON keys of a settings struct and of its nested structs, as "outer.inner".
func jsonKeys(of reflect.Type, prefix string) []string {
	var keys []string
	for field := range of.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		keys = append(keys, prefix+name)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, jsonKeys(inner, prefix+name+".")...)
		}
	}
	return keys
}

// Settings files for earlier builds must still load. The test file must contain every key of the
// settings structs.
func TestEveryKeyLoads(t *testing.T) {
	daemon, err := read(t, allKeys)
	assert.NilError(t, err)
	assert.Equal(t, daemon.Retries, settings.Retries{Fraction: 0.2, Burst: 192, Window: tunables.Duration(10 * time.Second)})
	assert.Equal(t, daemon.Platform.WritesPerSecond, 1200.0)
	assert.Equal(t, daemon.Platform.ApplyBound.Get(), 2500*time.Millisecond)
	assert.Assert(t, daemon.Accounts.StrictRevocation)
	assert.Equal(t, daemon.Accounts.RevocationBound.Get(), 5*time.Second)
	assert.Equal(t, daemon.Tunables().Fanout, 8)
	assert.Equal(t, daemon.Tunables().MachinesInterval.Get(), 2*time.Second)
	keys := append(jsonKeys(reflect.TypeFor[settings.Daemon](), ""), jsonKeys(reflect.TypeOf(daemon.Tunables()), "distribution.")...)
	for _, key := range keys {
		last := key[strings.LastIndex(key, ".")+1:]
		assert.Check(t, strings.Contains(allKeys, last+":"), "the test file does not contain %s", key)
	}
	slices.Sort(keys)
	assert.Equal(t, len(slices.Compact(keys)), 88, "%v", keys)
}
