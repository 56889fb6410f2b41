package ctl_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/operators/ctl"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// failingDaemon answers every request with one fault and records the request bodies.
type failingDaemon struct {
	t      *testing.T
	code   result.Code
	bodies []string
}

func (d *failingDaemon) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	assert.Check(d.t, err)
	d.bodies = append(d.bodies, string(content))
	writer.WriteHeader(http.StatusServiceUnavailable)
	failure := opapi.Failure{Faults: []opapi.Fault{{Code: uint32(d.code), Name: d.code.String(), Detail: "detail"}}}
	assert.Check(d.t, json.NewEncoder(writer).Encode(failure))
}

func TestOnlyChangesOfUnknownOutcomeAreRepeated(t *testing.T) {
	cases := []struct {
		command string
		code    result.Code
		sent    int
	}{
		{"drain shop/shop-1", result.OperatorOutcomeUnknown, 3},
		{"drain shop/shop-1", result.PlatformUnavailable, 3},
		{"drain shop/shop-1", result.OperatorConflict, 1},
		{"accept p-1", result.OperatorOutcomeUnknown, 3},
		{"show routes", result.PlatformUnavailable, 1},
	}
	for _, test := range cases {
		t.Run(test.command+" "+test.code.String(), func(t *testing.T) {
			daemon := &failingDaemon{t: t, code: test.code}
			server := httptest.NewServer(daemon)
			defer server.Close()
			output := &strings.Builder{}
			session := &ctl.Session{
				Client: ctl.NewClient(strings.TrimPrefix(server.URL, "http://"), "token"),
				Format: ctl.OutputTable, Out: output, Err: output,
			}
			_, err := session.Execute(context.Background(), test.command)
			assert.Assert(t, result.Is(err, test.code), "%v", err)
			assert.Equal(t, len(daemon.bodies), test.sent)
			for _, body := range daemon.bodies {
				assert.Equal(t, body, daemon.bodies[0], "a repeated change must have the same operation id")
			}
		})
	}
}

func TestFailuresDoNotEndASession(t *testing.T) {
	server := httptest.NewServer(&failingDaemon{t: t, code: result.OperatorForbidden})
	defer server.Close()
	output, failures := &strings.Builder{}, &strings.Builder{}
	session := &ctl.Session{
		Client: ctl.NewClient(strings.TrimPrefix(server.URL, "http://"), "token"),
		Format: ctl.OutputTable, Out: output, Err: failures,
	}
	lines := strings.NewReader("nonsense\n\nshow routes\nhelp\nquit\nshow routes\n")
	assert.NilError(t, session.Interactive(context.Background(), lines))
	assert.Assert(t, strings.Contains(failures.String(), "3005"), "%s", failures)
	assert.Equal(t, strings.Count(failures.String(), "3002"), 1, "%s", failures)
	assert.Assert(t, strings.Contains(output.String(), "Commands:"), "%s", output)
}
