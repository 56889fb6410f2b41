package tunables

import (
	"encoding/json"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Duration is a time.Duration that is encoded as a string such as "250ms" in settings files.
type Duration time.Duration

// UnmarshalJSON decodes a duration string. Errors: SettingsBadNumber.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return result.Wrap(result.SettingsBadNumber, err, "a duration is written as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return result.Wrap(result.SettingsBadNumber, err, "a duration is written as \"250ms\"")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Get returns the duration as a time.Duration.
func (d Duration) Get() time.Duration { return time.Duration(d) }
