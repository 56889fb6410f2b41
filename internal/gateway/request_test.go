package gateway

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetryBudgetIsAFractionOfCalls(t *testing.T) {
	budget := newRetryBudget(DefaultRetryLimits)
	const calls = 10_000
	retries := 0
	for range calls {
		budget.earn("s")
		for budget.spend("s") {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= calls*DefaultRetryLimits.Fraction+DefaultRetryLimits.Burst, "%d retries of %d calls", retries, calls)
	assert.Assert(t, float64(retries) >= calls*DefaultRetryLimits.Fraction-DefaultRetryLimits.Burst)
	assert.Assert(t, !budget.spend("never called"))
}

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
