package settings_test

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// section, text and value match the gaps of the platform's templates.
var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}\n(.*?)\{\{/([a-z.-]+)\}\}\n`)
	mark    = regexp.MustCompile(`\{\{[#/][a-z.-]+\}\}\n`)
	gap     = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)
)

// filled fills the template with values; sections are kept if given is true.
func filled(template string, given bool) string {
	values := map[string]string{
		"ip": "127.0.0.1", "internal-port-range.0": "7380", "listen.outbound": `"127.0.0.1:7381"`, "listen.control": `"127.0.0.1:7382"`,
		"listen.ready": `"127.0.0.1:7383"`, "platform.address": `"127.0.0.1:7384"`, "bounds.exposure-share": "0.1",
	}
	if !given {
		template = section.ReplaceAllString(template, "")
	}
	return gap.ReplaceAllStringFunc(mark.ReplaceAllString(template, ""), func(text string) string {
		match := gap.FindStringSubmatch(text)
		switch value, known := values[match[1]]; {
		case known:
			return value
		case match[2] != "":
			return `"sidecar-1"`
		default:
			return "3000"
		}
	})
}

// Guards against a settings file that is read while the platform writes it: each part that is cut off is
// refused.
func TestNoPartOfTheFilledTemplatePassesForTheWhole(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/settings.yaml.template")
	assert.NilError(t, err)
	for _, given := range []bool{true, false} {
		whole := filled(string(template), given)
		read, err := read(t, whole)
		assert.NilError(t, err, whole)
		assert.Equal(t, read.Node, "sidecar-1")
		assertCutOffIsRefused(t, whole)
	}
}

// assertCutOffIsRefused checks each proper prefix but the one without the final line feed, which says all.
func assertCutOffIsRefused(t *testing.T, whole string) {
	t.Helper()
	for length := range len(whole) - 1 {
		_, err := read(t, whole[:length])
		assert.Assert(t, err != nil, "accepted: %q", whole[:length])
	}
}
