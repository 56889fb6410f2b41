package rollout

// Parameters of the limiter.
const (
	// bucketCapacity is the maximum number of tokens; each token is one call to the new version.
	bucketCapacity = 4
	// reservedTokens is the number of tokens left for other routes by a route that has more than
	// its equal share.
	reservedTokens = 0.5
	// maxRouteShare is the maximum share of one route's calls that goes to the new version, unless
	// the share in force is larger.
	maxRouteShare = 0.25
)

// Exposure is a daemon's limiter of the calls to the new version: at most a share of the calls that
// the daemon sends to the service. It starts without tokens, so that a restart grants no extra
// calls; therefore the sum over all daemons keeps to the share as well. It is not safe for
// concurrent use.
type Exposure struct {
	share  float64
	tokens float64
	routes map[string]*routeCalls
	// allowed is the number of calls allowed to the new version on all routes.
	allowed uint64
}

// routeCalls counts the calls of one route.
type routeCalls struct{ allowed, sent uint64 }

// NewExposure returns a limiter with a share of 0.
func NewExposure() *Exposure { return &Exposure{routes: map[string]*routeCalls{}} }

// SetShare sets the share for subsequent calls; 1 allows all of them.
func (e *Exposure) SetShare(share float64) {
	e.share = share
	if share <= 0 {
		e.tokens = 0
	}
}

// Share returns the share in force.
func (e *Exposure) Share() float64 { return e.share }

// Allow reports whether a call of a route goes to the new version, and takes a token if so. If the
// call is sent elsewhere after all, the caller must call Return.
func (e *Exposure) Allow(route string) bool {
	calls := e.route(route)
	if e.share < 1 && !e.mayAllow(calls) {
		return false
	}
	e.tokens--
	e.allowed++
	calls.allowed++
	return true
}

// mayAllow reports whether one more call of a route may go to the new version: a token is available
// and the route stays within maxRouteShare. A route with more than an equal share of the allowed calls
// must leave reservedTokens; the others may take the last token.
func (e *Exposure) mayAllow(calls *routeCalls) bool {
	needed := 1.0
	if calls.allowed*uint64(len(e.routes)) > e.allowed {
		needed += reservedTokens
	}
	limit := max(maxRouteShare, e.share)
	withinRoute := float64(calls.allowed) < limit*float64(calls.sent+1)
	return e.tokens >= needed && withinRoute
}

// Return returns the token that Allow took.
func (e *Exposure) Return(route string) {
	calls := e.route(route)
	e.tokens = min(e.tokens+1, bucketCapacity)
	e.allowed--
	calls.allowed--
}

// Note counts a call that was sent to the service, to any version.
func (e *Exposure) Note(route string) {
	e.tokens = max(min(e.tokens+e.share, bucketCapacity), 0)
	e.route(route).sent++
}

func (e *Exposure) route(name string) *routeCalls {
	calls, known := e.routes[name]
	if !known {
		calls = &routeCalls{}
		e.routes[name] = calls
	}
	return calls
}
