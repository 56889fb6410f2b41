package gateway

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func FuzzCheckFraming(f *testing.F) {
	f.Add([]byte("Host: a\r\nContent-Length: 5\r\n\r\n"), true)
	f.Add([]byte("Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, raw []byte, http11 bool) {
		if checkFraming(raw, http11) != nil {
			return
		}
		lower := bytes.ToLower(raw)
		if bytes.Contains(lower, []byte("\r\ncontent-length:")) && bytes.Contains(lower, []byte("\r\ntransfer-encoding:")) {
			head, _, _ := bytes.Cut(lower, []byte("\r\n\r\n"))
			both := bytes.Contains(head, []byte("\r\ncontent-length:")) && bytes.Contains(head, []byte("\r\ntransfer-encoding:"))
			assert.Assert(t, !both, "%q passed", raw)
		}
	})
}

func TestLimitsOfRequests(t *testing.T) {
	limits := &lapisv1.Limits{HeaderBytes: 1000, BodyBytes: 5000}
	for name, row := range map[string]struct {
		limits     *lapisv1.Limits
		head       int
		body       int64
		code       result.Code
		statusCode int
	}{
		"at the limits":   {limits, 1000, 5000, result.OK, 0},
		"header too long": {limits, 1001, 0, result.CallHeadTooLarge, 431},
		"body too long":   {limits, 10, 5001, result.CallBodyTooLarge, 413},
		"length unknown":  {limits, 10, -1, result.OK, 0},
		"no limits":       {nil, 1 << 20, 1 << 40, result.OK, 0},
		"limits of 0":     {&lapisv1.Limits{}, 1 << 20, 1 << 40, result.OK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkLimits(row.limits, row.head, row.body)
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, row.code)
			if err != nil {
				assert.Equal(t, statusOf(code), row.statusCode)
				assert.Assert(t, code.NotRun())
			}
		})
	}
}

// Guards against heads that are held for longer, or grow larger, than the configuration allows.
func TestHeadLimitsFollowTheConfiguration(t *testing.T) {
	for name, row := range map[string]struct {
		configured *lapisv1.Limits
		want       pipeline.HeadLimits
	}{
		"no configuration":  {nil, pipeline.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}},
		"no limits":         {&lapisv1.Limits{}, pipeline.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}},
		"lower limits":      {&lapisv1.Limits{HeaderBytes: 16 << 10, HeaderTimeoutMillis: 3000}, pipeline.HeadLimits{Bytes: 24 << 10, Timeout: 3 * time.Second}},
		"limits out of use": {&lapisv1.Limits{HeaderBytes: 1 << 30, HeaderTimeoutMillis: 1 << 30}, pipeline.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, headLimitsOf(row.configured), row.want) })
	}
}

// Guards against request fields that are dropped on their way, or refused between daemons only, because of their name.
func TestNamesOfRequestFieldsAreTokens(t *testing.T) {
	for _, name := range []string{"", "X Odd", "X-Odd ", " X-Odd", "X\tOdd", "X\x01Odd", "X\x7fOdd", "X\xe9Odd", "X(Odd)"} {
		err := checkFraming([]byte("Host: a\r\n"+name+": 1\r\n\r\n"), true)
		assert.Check(t, result.Is(err, result.CallBadRequest), "%q: %v", name, err)
	}
	assert.NilError(t, checkFraming([]byte("Host: a\r\nx-1_a.b~|'`^#$%&*+!: 1\r\n\r\n"), true))
}
