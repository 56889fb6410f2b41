package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const validSettings = `
node: n
zone: z
peer_address: 127.0.0.1:7400
platform: {addresses: [127.0.0.1:7000]}
`

func read(t *testing.T, content string) (*settings.Daemon, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return settings.ReadDaemon(path, func(*settings.Daemon) {})
}

func TestFaultsNameNumberAndKey(t *testing.T) {
	cases := []struct {
		name, content string
		code          result.Code
		key           string
	}{
		{"unknown key", validSettings + "colour: red", result.SettingsUnknownKey, "colour"},
		{"unknown tunable", validSettings + "distribution: {fanuot: 3}", result.SettingsUnknownKey, "fanuot"},
		{"missing zone", strings.Replace(validSettings, "zone: z", "", 1), result.SettingsMissing, "zone"},
		{"host name as address", strings.Replace(validSettings, "127.0.0.1:7400", "localhost:7400", 1), result.SettingsBadAddress, "peer_address"},
		{"address without port", validSettings + "caller_address: 127.0.0.1", result.SettingsBadAddress, "caller_address"},
		{"negative limit", validSettings + "calls: {queue_length: -1}", result.SettingsBadNumber, "calls.queue_length"},
		{"no request per connection", validSettings + "sent_ahead: {requests_per_connection: 0}", result.SettingsBadNumber, "sent_ahead.requests_per_connection"},
		{"limit per connection above the total", validSettings + "sent_ahead: {bytes_per_connection: 9, bytes: 8}", result.SettingsBadNumber, "sent_ahead.bytes"},
		{"negative duration", validSettings + "stop_limit: -3s", result.SettingsBadNumber, "stop_limit"},
		{"no time for a start", validSettings + "start_limit: 0s", result.SettingsBadNumber, "start_limit"},
		{"strict without a bound", validSettings + "accounts: {strict_revocation: true}", result.SettingsMissing, "accounts.revocation_bound"},
		{"strict without a platform", validSettings + "accounts: {strict_revocation: true, revocation_bound: 5s}", result.SettingsMissing, "platform.form"},
		{"negative revocation bound", validSettings + "accounts: {revocation_bound: -1s}", result.SettingsBadNumber, "accounts.revocation_bound"},
		{"strict is not a boolean", validSettings + "accounts: {strict_revocation: very}", result.SettingsUnreadable, "strict_revocation"},
		{"rate limits without a window", validSettings + "rate_limits: {overshoot: 0.1}", result.SettingsBadNumber, "rate_limits.window"},
		{"rate limits without overshoot", validSettings + "rate_limits: {window: 5s}", result.SettingsBadNumber, "rate_limits.overshoot"},
		{"rate limits without a platform", validSettings + "rate_limits: {window: 5s, overshoot: 0.1}", result.SettingsMissing, "platform.form"},
		{"bad duration", validSettings + "stop_limit: soon", result.SettingsBadNumber, "soon"},
		{"link silence below two heartbeat intervals", validSettings + "distribution: {link_silence: 1s}", result.SettingsBadNumber, "link_silence"},
		{"half of the TLS files", validSettings + "peer_tls: {key: k}", result.SettingsMissing, "peer_tls"},
		{"unknown profile", validSettings + "profile: fast", result.SettingsBadNumber, "profile"},
		{"back end without a name", validSettings + "backends: [{service: s, address: 127.0.0.1:1}]", result.SettingsMissing, "backends[0].instance"},
		{"not YAML", "{", result.SettingsUnreadable, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := read(t, test.content)
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, test.code, "%v", err)
			assert.Assert(t, strings.Contains(err.Error(), test.key), "%v", err)
		})
	}
}

func TestFlagsWinAndProfilesDiffer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings+"distribution: {fanout: 5}"), 0o600))
	daemon, err := settings.ReadDaemon(path, func(d *settings.Daemon) { d.Zone = "flag"; d.Profile = settings.ProfileBytes })
	assert.NilError(t, err)
	assert.Equal(t, daemon.Zone, "flag")
	assert.Equal(t, daemon.Tunables().Fanout, 5)
	plain, err := read(t, validSettings)
	assert.NilError(t, err)
	assert.Assert(t, daemon.Tunables().DebounceQuiet > plain.Tunables().DebounceQuiet)
}

func TestExamplesAreValid(t *testing.T) {
	examples, err := filepath.Glob("../../../examples/daemon-*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(examples), 3)
	for _, path := range examples {
		_, err := settings.ReadDaemon(path, func(*settings.Daemon) {})
		assert.NilError(t, err, path)
	}
}

// Guards against a start that gives up while a predecessor with the same settings may still drain.
func TestDefaultStartOutlastsADefaultStop(t *testing.T) {
	defaults := settings.DefaultDaemon()
	assert.Assert(t, defaults.StartLimit > defaults.StopLimit)
}
