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

// inFlightCall is a call that an instance has, or had a moment ago. It is safe for concurrent use.
type inFlightCall struct {
	open *lapisv1.CallOpen
	// mutex protects the rest, which the reader of the body writes.
	mutex sync.Mutex
	// digest is that of the body so far; nil for a call without a body.
	digest hash.Hash
	// bodyBytesRead counts the body's bytes so far; whole is true once it was bodyBytesRead to its end.
	bodyBytesRead int64
	bodyComplete  bool
	// endedAt is when the call ended without an answer; inFlightCalls.mutex protects it.
	endedAt time.Time
}

// trackCall has the call's body hashed on its way to the instance.
func trackCall(call *callapi.Call) *inFlightCall {
	tracked := &inFlightCall{open: call.Open, bodyComplete: call.Body == nil}
	if call.Body != nil {
		tracked.digest = fingerprint.NewBody()
		call.Body = &hashedBody{Reader: call.Body, call: tracked}
	}
	return tracked
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
	h.call.bodyBytesRead += int64(count)
	h.call.bodyComplete = h.call.bodyComplete || err == io.EOF || h.call.bodyBytesRead == h.call.open.GetContentLength()
	return count, err
}

// isBodyComplete reports whether the whole body was sent.
func (c *inFlightCall) isBodyComplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bodyComplete
}

// keys returns the call's keys, as far as its body is known.
func (c *inFlightCall) keys() []fingerprint.Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	line, length := fingerprint.LineOf(c.open), c.open.GetContentLength()
	if !c.bodyComplete {
		return []fingerprint.Key{fingerprint.PartialOf(line, length)}
	}
	if c.digest == nil {
		return fingerprint.Of(line, nil).Whole()
	}
	return fingerprint.OfDigest(line, length, c.digest).Whole()
}

// keysWithPartial returns the keys and the partial one, under which a crash is recorded that came before the
// body was read to its end.
func (c *inFlightCall) keysWithPartial() []fingerprint.Key {
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
	// recentlyUnanswered are those that ended without an answer lately, the oldest first.
	recentlyUnanswered []*inFlightCall
	// crashed is true from when the instance was found to have crashed until it is up.
	crashed bool
	// probeMutex is held while one call finds out whether the instance crashed, so that one
	// probe answers for all calls that broke with it.
	probeMutex sync.Mutex
}

func (c *inFlightCalls) add(started *inFlightCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls == nil {
		c.calls = map[*inFlightCall]bool{}
	}
	c.calls[started] = true
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
	c.recentlyUnanswered = append(c.recentlyUnanswered, ended)
	if len(c.recentlyUnanswered) > maxRecentCalls {
		c.recentlyUnanswered = c.recentlyUnanswered[1:]
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
	for _, call := range c.recentlyUnanswered {
		if wasInFlight(call.endedAt, now) {
			calls = append(calls, call)
		}
	}
	c.recentlyUnanswered = nil
	return calls, true
}

// clearCrash forgets a crash, because the instance is up again.
func (c *inFlightCalls) clearCrash() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashed = false
}
