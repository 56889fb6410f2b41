package origin

import (
	"hash"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// inFlightCall is a call that is in flight at an instance, or was until recently. It is safe for
// concurrent use.
type inFlightCall struct {
	open *lapisv1.CallOpen
	// mutex protects the fields below, which the reader of the body writes.
	mutex sync.Mutex
	// digest is the hash of the body read so far; nil for a call without a body.
	digest hash.Hash
	// bodyBytesRead counts the bytes read so far; bodyComplete is true once the body was read to
	// its end.
	bodyBytesRead int64
	bodyComplete  bool
	// endedAt is when the call ended without a response. suspected is true once the call was returned
	// by markCrashed, since one process ends only once. inFlightCalls.mutex protects both.
	endedAt   time.Time
	suspected bool
}

// trackCall returns the record of a call, and wraps its body so that it is hashed while it is sent.
func trackCall(call *callapi.Call) *inFlightCall {
	tracked := &inFlightCall{open: call.Open, bodyComplete: call.Body == nil}
	if call.Body != nil {
		tracked.digest = fingerprint.NewBody()
		call.Body = &hashedBody{Reader: call.Body, call: tracked}
	}
	return tracked
}

// hashedBody is the body of a call that is hashed while it is read.
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

// keys returns the fingerprint keys of the call; only a partial key before its body is complete.
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

// keysWithPartial returns the keys and the partial key, under which a crash is recorded that
// happened before the body was read to its end.
func (c *inFlightCall) keysWithPartial() []fingerprint.Key {
	keys := c.keys()
	if c.open.GetContentLength() != 0 {
		keys = append(keys, fingerprint.PartialOf(fingerprint.LineOf(c.open), c.open.GetContentLength()))
	}
	return keys
}

// inFlightCalls holds the calls in flight at an instance. It is safe for concurrent use.
type inFlightCalls struct {
	// mutex protects everything below except probeMutex.
	mutex sync.Mutex
	calls map[*inFlightCall]bool
	// recentlyUnanswered holds the calls that ended without a response recently, oldest first.
	recentlyUnanswered []*inFlightCall
	// crashed is true from the detection of a crash until the instance is up again.
	crashed bool
	// takenOverAt is the time by which the process had ended without notice, because another one has
	// its address; zero if there is none.
	takenOverAt time.Time
	// probeMutex is held while one call checks whether the instance crashed, so that one probe
	// serves all calls that broke off together.
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

// remove removes a call that was answered or did not run.
func (c *inFlightCalls) remove(ended *inFlightCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, ended)
}

// removeUnanswered moves a call that ended without a response to recentlyUnanswered.
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

// poll returns the number of calls in flight, whether a crash of the instance was detected, and whether
// another process has its address.
func (c *inFlightCalls) poll() (count int, crashed, takenOver bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.calls), c.crashed, !c.takenOverAt.IsZero()
}

// recordTakeover records that another process has had the address since a time. It reports whether calls
// ended without a response when the instance's own process ended.
func (c *inFlightCalls) recordTakeover(since time.Time) (unanswered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.takenOverAt.IsZero() {
		c.takenOverAt = since
	}
	return slices.ContainsFunc(c.recentlyUnanswered, func(call *inFlightCall) bool { return wasInFlight(call.endedAt, c.takenOverAt) })
}

// markCrashed records a crash and returns the calls that were in flight; first is false if the
// crash was recorded before.
func (c *inFlightCalls) markCrashed(now time.Time) (calls []*inFlightCall, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashed {
		return nil, false
	}
	c.crashed = true
	endedBy := now
	if !c.takenOverAt.IsZero() {
		endedBy = c.takenOverAt
	}
	for call := range c.calls {
		calls = append(calls, call)
	}
	for _, call := range c.recentlyUnanswered {
		if wasInFlight(call.endedAt, endedBy) {
			calls = append(calls, call)
		}
	}
	c.recentlyUnanswered = nil
	calls = slices.DeleteFunc(calls, func(call *inFlightCall) bool { return call.suspected })
	for _, call := range calls {
		call.suspected = true
	}
	return calls, true
}

// clearCrash resets the crash because the instance is up again.
func (c *inFlightCalls) clearCrash() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashed = false
}
