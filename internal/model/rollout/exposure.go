package rollout

// Bounds of the limiter.
const (
	// bucketCalls is how many calls of the new version may be saved up.
	bucketCalls = 4
	// reservedCalls is what routes that are ahead of the others leave in the bucket to them.
	reservedCalls = 0.5
	// routeShare is the largest share of one route's calls that is used to learn of it.
	routeShare = 0.25
)

// Exposure is a daemon's own part of the bound: the new version gets at most a share of
// the calls that the daemon sends to the service. It starts with nothing, so that a
// restart gives nothing; the sum over any daemons keeps to the share then too. It is
// not safe for concurrent use.
type Exposure struct {
	share  float64
	tokens float64
	routes map[string]*routeCalls
	// taken is the number of calls allowed to the new version on all routes.
	taken uint64
}

// routeCalls counts the calls of one route.
type routeCalls struct{ taken, sent uint64 }

// NewExposure returns a limiter that allows nothing yet.
func NewExposure() *Exposure { return &Exposure{routes: map[string]*routeCalls{}} }

// SetShare sets the share of the calls sent from now on; 1 allows all of them.
func (e *Exposure) SetShare(share float64) {
	e.share = share
	if share <= 0 {
		e.tokens = 0
	}
}

// Share returns the share in force.
func (e *Exposure) Share() float64 { return e.share }

// Allow reports whether a call of a route goes to the new version, and takes its place
// if so. A call that did not go there after all is given back with Return.
func (e *Exposure) Allow(route string) bool {
	calls := e.route(route)
	if e.share < 1 && !e.mayTake(calls) {
		return false
	}
	e.tokens--
	e.taken++
	calls.taken++
	return true
}

// mayTake reports whether there is room: routes that are behind the others take the
// last token, the others leave some of the bucket to them.
func (e *Exposure) mayTake(calls *routeCalls) bool {
	least := 1.0
	if calls.taken*uint64(len(e.routes)) > e.taken {
		least += reservedCalls
	}
	limit := max(routeShare, e.share)
	withinRoute := float64(calls.taken) < limit*float64(calls.sent+1)
	return e.tokens >= least && withinRoute
}

// Return gives back what Allow took.
func (e *Exposure) Return(route string) {
	calls := e.route(route)
	e.tokens = min(e.tokens+1, bucketCalls)
	e.taken--
	calls.taken--
}

// Note takes in a call that was sent to the service, to whichever version.
func (e *Exposure) Note(route string) {
	e.tokens = max(min(e.tokens+e.share, bucketCalls), 0)
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
