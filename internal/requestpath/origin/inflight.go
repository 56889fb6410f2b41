package origin

import (
	"hash"
	"io"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// inFlightCall is a call that an instance has, or had a moment ago. It is safe for concurrent
// use.
type inFlightCall struct {
	open *lapisv1.CallOpen
	// mutex protects the rest, which the reader of the body writes.
	mutex sync.Mutex
	// digest is that of the body so far; nil for a call without a body.
	digest hash.Hash
	// read counts the body's bytes so far; whole is true once it was read to its end.
	read  int64
	whole bool
	// endedAt is when the call ended without an answer; inFlightCalls.mutex protects it.
	endedAt time.Time
}

// track has the call's body hashed on its way to the instance.
func track(call *callapi.Call) *inFlightCall {
	sent := &inFlightCall{open: call.Open, whole: call.Body == nil}
	if call.Body != nil {
		sent.digest = fingerprint.NewBody()
		call.Body = &hashedBody{Reader: call.Body, call: sent}
	}
	return sent
}

// hashedBody is the body of a call that is hashed as it is read.
type hashedBody struct {
	io.Reader
	call *inFlightCall
}

func (h *hashedBody) Read(buffer []byte) (int, error) {
	count, err := h.Reader.Read(buffer)
	h.call.mutex.Lock()
	defer h.call.mutex.Unlock()
	_, _ = h.call.digest.Write(buffer[:count]) // A hash.Hash never returns an error.
	h.call.read += int64(count)
	h.call.whole = h.call.whole || err == io.EOF || h.call.read == h.call.open.GetContentLength()
	return count, err
}

// isWhole reports whether the whole body was sent.
func (c *inFlightCall) isWhole() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.whole
}

// keys returns the call's keys, as far as its body is known.
func (c *inFlightCall) keys() []fingerprint.Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	line, length := fingerprint.LineOf(c.open), c.open.GetContentLength()
	if !c.whole {
		return []fingerprint.Key{fingerprint.PartialOf(line, length)}
	}
	if c.digest == nil {
		return fingerprint.Of(line, nil).Whole()
	}
	return fingerprint.OfDigest(line, length, c.digest).Whole()
}

// allKeys returns the keys and the partial one, under which a crash is recorded that came before the
// body was read to its end.
func (c *inFlightCall) allKeys() []fingerprint.Key {
	keys := c.keys()
	if c.open.GetContentLength() != 0 {
		keys = append(keys, fingerprint.PartialOf(fingerprint.LineOf(c.open), c.open.GetContentLength()))
	}
	return keys
}

// inFlightCalls are the calls that an instance has. It is safe for concurrent use.
type inFlightCalls struct {
	// mutex protects everything below but probing.
	mutex sync.Mutex
	calls map[*inFlightCall]bool
	// recent are those that ended without an answer lately, the oldest first.
	recent []*inFlightCall
	// crashed is true from when the instance was found to have crashed until it is up.
	crashed bool
	// probing is held while one call finds out whether the instance crashed, so that one
	// probe answers for all calls that broke with it.
	probing sync.Mutex
}

func (c *inFlightCalls) add(sent *inFlightCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls == nil {
		c.calls = map[*inFlightCall]bool{}
	}
	c.calls[sent] = true
}

// remove is for a call that was answered, or did not run.
func (c *inFlightCalls) remove(ended *inFlightCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, ended)
}

// removeUnanswered is for a call that ended without an answer.
func (c *inFlightCalls) removeUnanswered(ended *inFlightCall, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, ended)
	ended.endedAt = now
	c.recent = append(c.recent, ended)
	if len(c.recent) > maxRecentCalls {
		c.recent = c.recent[1:]
	}
}

// poll returns the number of calls in flight, and whether the instance was found to have crashed.
func (c *inFlightCalls) poll() (count int, crashed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.calls), c.crashed
}

// markCrashed records that the instance crashed and returns the calls that were in flight; first is
// false when that was recorded before.
func (c *inFlightCalls) markCrashed(now time.Time) (calls []*inFlightCall, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashed {
		return nil, false
	}
	c.crashed = true
	for call := range c.calls {
		calls = append(calls, call)
	}
	for _, call := range c.recent {
		if wasInFlight(call.endedAt, now) {
			calls = append(calls, call)
		}
	}
	c.recent = nil
	return calls, true
}

// clearCrash forgets a crash, because the instance is up again.
func (c *inFlightCalls) clearCrash() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashed = false
}
