package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/balance"
	"github.com/lapisvane/lapisvane/internal/result"
	"github.com/lapisvane/lapisvane/internal/rollout"
)

// Labels of the attempts at a service with a roll-out.
const (
	versionOrdered = "ordered"
	versionOther   = "other"
	endAnswered    = "answered"
	endFailed      = "failed"
	endNone        = "none"
)

// sending is one attempt at a service with a roll-out. All methods do nothing on nil,
// which is an attempt at a service without one.
type sending struct {
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

// pickVersion chooses an instance with pick, which takes a further constraint, by the
// roll-out of the service where there is one. Errors: CallNoEndpoint.
func (a *attempter) pickVersion(service string, pick func(version ...balance.Constraint) (*balance.Target, error)) (*balance.Target, error) {
	a.sending = a.gateway.sendingTo(service, a.route.GetName())
	if a.sending == nil {
		return pick()
	}
	required, probe := a.sending.traffic.Choose(a.route.GetName())
	a.sending.probe = probe
	target, err := pick(required)
	if err == nil || !probe {
		return target, err
	}
	a.sending.probe = false
	return pick(a.sending.traffic.Return(a.route.GetName()))
}

// sendingTo returns a new attempt at a service, nil where it has no roll-out.
func (g *Gateway) sendingTo(service, route string) *sending {
	if g.config.Traffic == nil {
		return nil
	}
	traffic := g.config.Traffic(service)
	if traffic == nil {
		return nil
	}
	return &sending{traffic: traffic, service: service, route: route, counts: g.metrics.versions, counted: endNone}
}

// giveBack returns the place of an attempt that is not made.
func (s *sending) giveBack() {
	if s != nil && s.probe {
		s.probe = false
		s.traffic.Return(s.route)
	}
}

// begin notes that the call is about to be sent to target. It reports false when that is
// not allowed any more and an instance must be chosen anew.
func (s *sending) begin(target *balance.Target) (allowed bool) {
	if s == nil {
		return true
	}
	now := time.Now()
	s.attempt, allowed = s.traffic.Begin(s.route, target.Endpoint, now)
	if !allowed {
		s.giveBack()
		return false
	}
	if target.Cold(now) {
		s.traffic.Cold(s.attempt)
	}
	return true
}

// answered notes the head of an instance's answer. Only its own failures speak against a
// version, not its refusals.
func (s *sending) answered(head *lapisv1.CallHead, target *balance.Target, now time.Time) {
	if s == nil {
		return
	}
	status := head.GetStatus()
	failed := status == http.StatusInternalServerError || status == http.StatusGatewayTimeout
	if status >= firstServerError && !failed {
		return
	}
	s.counted = endAnswered
	if failed {
		s.counted = endFailed
	}
	s.traffic.Judge(s.attempt, failed, target.Cold(now), time.Duration(head.GetServiceMicros())*time.Microsecond, now)
}

// failed notes that the attempt ended without an answer.
func (s *sending) failed(err error, now time.Time) {
	if s == nil {
		return
	}
	if result.Is(err, result.CallNotRunCold) {
		s.traffic.Cold(s.attempt)
	}
	s.endAt(now)
}

// end notes that nothing of the attempt is on its way any more.
func (s *sending) end() {
	if s != nil {
		s.endAt(time.Now())
	}
}

func (s *sending) endAt(now time.Time) {
	s.traffic.Ended(s.attempt, now)
	version := versionOther
	if s.attempt.New() {
		version = versionOrdered
	}
	s.counts.WithLabelValues(s.service, version, s.counted).Inc()
}
