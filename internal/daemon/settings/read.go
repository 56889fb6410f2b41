package settings

import (
	"net/netip"
	"os"
	"strings"

	"sigs.k8s.io/yaml"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// readStrict decodes a YAML file into target and refuses unknown keys. Errors: SettingsUnreadable,
// SettingsUnknownKey, SettingsBadNumber.
func readStrict(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.SettingsUnreadable, err, "reading the settings")
	}
	if len(content) > maxFileBytes {
		return result.Errorf(result.SettingsUnreadable, "%s is larger than %d bytes", path, maxFileBytes)
	}
	return parseStrict(content, target)
}

func parseStrict(content []byte, target any) error {
	err := yaml.UnmarshalStrict(content, target)
	if err == nil {
		return nil
	}
	if code, ok := result.CodeOf(err); ok {
		return result.Wrap(code, err, "parsing the settings")
	}
	switch text := err.Error(); {
	case strings.Contains(text, "unknown field"):
		return result.Wrap(result.SettingsUnknownKey, err, "parsing the settings")
	case strings.Contains(text, "cannot unmarshal number"):
		return result.Wrap(result.SettingsBadNumber, err, "parsing the settings")
	default:
		return result.Wrap(result.SettingsUnreadable, err, "parsing the settings")
	}
}

// checker collects the faults found in a settings file.
type checker struct{ faults result.List }

// address checks that value is an IP address with a port. An empty value is a fault only if required.
func (c *checker) address(key, value string, required bool) {
	if value == "" {
		if required {
			c.faults.Add(result.SettingsMissing, "%s", key)
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.faults.Add(result.SettingsBadAddress, "%s: %q", key, value)
	}
}

func (c *checker) required(key, value string) {
	if strings.TrimSpace(value) == "" {
		c.faults.Add(result.SettingsMissing, "%s", key)
	}
}

func (c *checker) positive(key string, value float64) {
	if value <= 0 {
		c.faults.Add(result.SettingsBadNumber, "%s: %v must be above 0", key, value)
	}
}

// allOrNone checks that either all or none of the values are set.
func (c *checker) allOrNone(key string, values ...string) {
	set := 0
	for _, value := range values {
		if value != "" {
			set++
		}
	}
	if set != 0 && set != len(values) {
		c.faults.Add(result.SettingsMissing, "%s: certificate, key and authority must be set together", key)
	}
}

// Err returns the faults found as one error, or nil if there are none.
func (c *checker) Err() error { return c.faults.Err() }
