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

// Label values of the metric of attempts at services with a roll-out.
const (
	versionOrdered = "ordered"
	versionOther   = "other"
	endAnswered    = "answered"
	endFailed      = "failed"
	endNone        = "none"
)

// maxVersionChanges is the maximum number of times that an instance is chosen again for one call because
// its version's share changed between the choice and the attempt.
const maxVersionChanges = 4

// versionAttempt is one attempt at a service with a roll-out. All methods do nothing on nil, which
// stands for an attempt at a service without a roll-out.
type versionAttempt struct {
	traffic *rollout.Traffic
	service string
	route   string
	// holdsSlot is true while the attempt holds a slot of the new version's share.
	holdsSlot     bool
	attempt       rollout.Attempt
	attemptsTotal *prometheus.CounterVec
	// outcome is the value of the label "end" under which the attempt is counted.
	outcome string
}

// newVersionAttempt returns a new attempt at a service, nil if the service has no roll-out.
func (g *Gateway) newVersionAttempt(service, route string) *versionAttempt {
	if g.config.Rollout == nil {
		return nil
	}
	traffic := g.config.Rollout(service)
	if traffic == nil {
		return nil
	}
	return &versionAttempt{traffic: traffic, service: service, route: route, attemptsTotal: g.metrics.versions, outcome: endNone}
}

// pickVersion chooses an instance with pick. If the service has a roll-out, pick gets an additional
// constraint on the version. Errors: CallNoEndpoint.
func (a *attempter) pickVersion(service string, pick func(version ...balance.Constraint) (*balance.Target, error)) (*balance.Target, error) {
	a.version = a.gateway.newVersionAttempt(service, a.route.GetName())
	if a.version == nil {
		return pick()
	}
	choice, holdsSlot := a.version.traffic.Choose(a.route.GetName())
	a.version.holdsSlot = holdsSlot
	target, err := pick(balance.OfVersion(choice))
	if err == nil || !holdsSlot {
		return target, err
	}
	a.version.holdsSlot = false
	return pick(balance.OfVersion(a.version.traffic.Return(a.route.GetName())))
}

// beginVersion records that the call is about to be sent to target. It reports false if the target's
// version is no longer allowed any calls, so that an instance must be chosen again. Errors: CallNoEndpoint
// after maxVersionChanges such choices.
func (a *attempter) beginVersion(target *balance.Target) (bool, error) {
	if a.version.begin(target) {
		return true, nil
	}
	a.versionChanges++
	if a.versionChanges > maxVersionChanges {
		return false, result.Errorf(result.CallNoEndpoint, "the version that calls are allowed to changed %d times", a.versionChanges)
	}
	return false, nil
}

// releaseSlot returns the slot that the attempt holds of the new version's share, if any. It is called if the
// attempt is not sent to the new version.
func (v *versionAttempt) releaseSlot() {
	if v != nil && v.holdsSlot {
		v.holdsSlot = false
		v.traffic.Return(v.route)
	}
}

// begin records that the call is about to be sent to target, and reports whether that is allowed.
func (v *versionAttempt) begin(target *balance.Target) (allowed bool) {
	if v == nil {
		return true
	}
	now := time.Now()
	v.attempt, allowed = v.traffic.Begin(v.route, target.Endpoint, now)
	if !allowed {
		v.releaseSlot()
		return false
	}
	if target.Cold(now) {
		v.traffic.MarkCold(v.attempt)
	}
	return true
}

// recordAnswer records the head of an instance's answer. Refusals by the instance are errors, which
// recordNoAnswer handles.
func (v *versionAttempt) recordAnswer(head *lapisv1.CallHead, target *balance.Target, now time.Time) {
	if v == nil {
		return
	}
	failed := head.GetStatus() >= callapi.FirstServerError
	v.outcome = endAnswered
	if failed {
		v.outcome = endFailed
	}
	v.traffic.RecordAnswer(v.attempt, failed, target.Cold(now), time.Duration(head.GetServiceMicros())*time.Microsecond, now)
}

// recordNoAnswer records the error of an attempt without an answer. end must be called afterwards.
func (v *versionAttempt) recordNoAnswer(err error) {
	if v != nil && result.Is(err, result.CallNotRunCold) {
		v.traffic.MarkCold(v.attempt)
	}
}

// end records that the attempt has ended, including the transfer of its answer's body.
func (v *versionAttempt) end() {
	if v == nil {
		return
	}
	v.traffic.Ended(v.attempt, time.Now())
	version := versionOther
	if v.attempt.New() {
		version = versionOrdered
	}
	v.attemptsTotal.WithLabelValues(v.service, version, v.outcome).Inc()
}
