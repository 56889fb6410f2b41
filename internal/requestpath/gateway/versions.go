package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Labels of the attempts at a service with a roll-out.
const (
	versionOrdered = "ordered"
	versionOther   = "other"
	endAnswered    = "answered"
	endFailed      = "failed"
	endNone        = "none"
)

// maxVersionChanges bounds how often an instance is chosen again for one call because its
// version's share changed between the choice and the attempt.
const maxVersionChanges = 4

// versionAttempt is one attempt at a service with a roll-out. All methods do nothing on nil, which
// is an attempt at a service without one.
type versionAttempt struct {
	traffic *rollout.Traffic
	service string
	route   string
	// probe is true when the attempt has a place of the new version's share.
	probe   bool
	attempt rollout.Attempt
	counts  *prometheus.CounterVec
	// counted is the end of the attempt as it is counted.
	counted string
}

// versionAttemptAt returns a new attempt at a service, nil where it has no roll-out.
func (g *Gateway) versionAttemptAt(service, route string) *versionAttempt {
	if g.config.Rollout == nil {
		return nil
	}
	traffic := g.config.Rollout(service)
	if traffic == nil {
		return nil
	}
	return &versionAttempt{traffic: traffic, service: service, route: route, counts: g.metrics.versions, counted: endNone}
}

// pickVersion chooses an instance with pick, which takes a further constraint, by the roll-out of
// the service where there is one. Errors: CallNoEndpoint.
func (a *attempter) pickVersion(service string, pick func(version ...balance.Constraint) (*balance.Target, error)) (*balance.Target, error) {
	a.version = a.gateway.versionAttemptAt(service, a.route.GetName())
	if a.version == nil {
		return pick()
	}
	choice, probe := a.version.traffic.Choose(a.route.GetName())
	a.version.probe = probe
	target, err := pick(balance.OfVersion(choice))
	if err == nil || !probe {
		return target, err
	}
	a.version.probe = false
	return pick(balance.OfVersion(a.version.traffic.Return(a.route.GetName())))
}

// mayBegin notes that the call is about to be sent to target. It reports false when the target's
// version may get no call any more, so that an instance must be chosen again. Errors:
// CallNoEndpoint where that has happened too often.
func (a *attempter) mayBegin(target *balance.Target) (bool, error) {
	if a.version.begin(target) {
		return true, nil
	}
	a.versionChanges++
	if a.versionChanges > maxVersionChanges {
		return false, result.Errorf(result.CallNoEndpoint, "the version that may be called changed %d times", a.versionChanges)
	}
	return false, nil
}

// giveBack returns the place of an attempt that is not made.
func (v *versionAttempt) giveBack() {
	if v != nil && v.probe {
		v.probe = false
		v.traffic.Return(v.route)
	}
}

// begin notes that the call is about to be sent to target, and reports whether that is allowed.
func (v *versionAttempt) begin(target *balance.Target) (allowed bool) {
	if v == nil {
		return true
	}
	now := time.Now()
	v.attempt, allowed = v.traffic.Begin(v.route, target.Endpoint, now)
	if !allowed {
		v.giveBack()
		return false
	}
	if target.Cold(now) {
		v.traffic.Cold(v.attempt)
	}
	return true
}

// answered notes the head of an instance's answer. Its refusals come as errors.
func (v *versionAttempt) answered(head *lapisv1.CallHead, target *balance.Target, now time.Time) {
	if v == nil {
		return
	}
	failed := head.GetStatus() >= callapi.FirstServerError
	v.counted = endAnswered
	if failed {
		v.counted = endFailed
	}
	v.traffic.Judge(v.attempt, failed, target.Cold(now), time.Duration(head.GetServiceMicros())*time.Microsecond, now)
}

// notAnswered notes why the attempt ends without an answer; end follows.
func (v *versionAttempt) notAnswered(err error) {
	if v != nil && result.Is(err, result.CallNotRunCold) {
		v.traffic.Cold(v.attempt)
	}
}

// end notes that nothing of the attempt is on its way any more.
func (v *versionAttempt) end() {
	if v == nil {
		return
	}
	v.traffic.Ended(v.attempt, time.Now())
	version := versionOther
	if v.attempt.New() {
		version = versionOrdered
	}
	v.counts.WithLabelValues(v.service, version, v.counted).Inc()
}
