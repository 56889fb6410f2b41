package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// placeInZones puts the three instances of an attempter into the zones a, b and c of the regions r1, r1 and
// r2, and marks the given zones as evacuated.
func placeInZones(attempt *attempter, evacuated ...string) {
	var endpoints []*lapisv1.Endpoint
	for index, target := range attempt.gateway.config.Balancer.Targets("desk") {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: target.Endpoint.GetInstance(), Node: target.Endpoint.GetNode(), Slots: 6,
			Zone: string("abc"[index]), Region: []string{"r1", "r1", "r2"}[index], State: lapisv1.Endpoint_STATE_READY,
		})
	}
	attempt.gateway.config.Balancer.Update("desk", endpoints)
	attempt.gateway.config.Evacuated = func(zone string) bool { return strings.Contains(fmt.Sprint(evacuated), zone) }
}

// Every attempt goes to a zone that is not evacuated and to an allowed region. Without such an instance the
// call is refused at once.
func TestAttemptsMeetTheConstraints(t *testing.T) {
	elsewhere := result.Errorf(result.CallNotRunEvacuated, "evacuated")
	rows := map[string]struct {
		evacuated, regions []string
		// tried lists the instances that get the call, in any order.
		tried string
		code  result.Code
	}{
		"no constraint":        {nil, nil, "desk-0 desk-1 desk-2", result.CallNotRunEvacuated},
		"a zone evacuated":     {[]string{"a"}, nil, "desk-1 desk-2", result.CallNotRunEvacuated},
		"one region":           {nil, []string{"r2"}, "desk-2", result.CallNotRunEvacuated},
		"two regions":          {nil, []string{"r2", "r1"}, "desk-0 desk-1 desk-2", result.CallNotRunEvacuated},
		"a region without any": {nil, []string{"r3"}, "", result.CallNoEndpoint},
		"all zones evacuated":  {[]string{"a", "b", "c"}, nil, "", result.CallNoEndpoint},
		"the region evacuated": {[]string{"c"}, []string{"r2"}, "", result.CallNoEndpoint},
		"half of it evacuated": {[]string{"a"}, []string{"r1"}, "desk-1", result.CallNotRunEvacuated},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			remote := &recordingRemote{err: elsewhere}
			attempt := newAttempter(t, remote, false, retry.Limits{Fraction: 1, Burst: 10})
			placeInZones(attempt, row.evacuated...)
			attempt.route.AllowedRegions = row.regions
			// The constraints apply to a split route as well.
			attempt.route.Split = []*lapisv1.WeightedPool{{Pool: "desk", Weight: 1}}
			_, err := attempt.run(t.Context())
			assert.Assert(t, result.Is(err, row.code), "%v", err)
			tried := map[string]bool{}
			for _, open := range remote.opened {
				assert.DeepEqual(t, open.GetAllowedRegions(), row.regions)
				tried[open.GetInstance()] = true
			}
			wanted := strings.Fields(row.tried)
			assert.Equal(t, len(tried), len(wanted), "%v", tried)
			for _, instance := range wanted {
				assert.Assert(t, tried[instance], "%s got no attempt", instance)
			}
			if row.code == result.CallNoEndpoint {
				assert.Assert(t, withRetryAfter(err, attempt.route).(*result.Error).RetryAfter >= time.Second)
			}
		})
	}
}

// A refusal because of a constraint by the daemon beside the instance is retried elsewhere without using
// the retry budget, also for a call that may not be repeated.
func TestRefusalsByConstraintSpendNoRetry(t *testing.T) {
	for _, code := range []result.Code{result.CallNotRunEvacuated, result.CallNotRunRegion} {
		remote := &scriptedRemote{script: []any{result.Errorf(code, "not here"), 200}}
		attempt := newAttempter(t, remote, false, retry.Limits{Fraction: 0.1, Burst: 1})
		done, err := attempt.run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, done.answer.Head.GetStatus(), uint32(200))
	}
}

// changingRemote is a remote that calls change during the first attempt.
type changingRemote struct {
	recordingRemote
	change func()
}

// Handle implements Remote.
func (c *changingRemote) Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error) {
	if len(c.opened) == 0 {
		c.change()
	}
	return c.recordingRemote.Handle(ctx, address, call)
}

// An evacuation takes effect with the next attempt. The allowed regions of a call are those of the
// configuration under which it was read.
func TestEvacuationsCountAtOnceAndRegionsStay(t *testing.T) {
	for name, row := range map[string]struct {
		evacuated string
		attempts  int
	}{
		"regions change": {"", 2},
		"evacuated also": {"ab", 1},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &changingRemote{recordingRemote: recordingRemote{err: result.Errorf(result.CallNotRunDraining, "leaving")}}
			attempt := newAttempter(t, remote, false, retry.Limits{Fraction: 1, Burst: 10})
			placeInZones(attempt)
			attempt.route.AllowedRegions = []string{"r1"}
			remote.change = func() {
				assert.NilError(t, attempt.gateway.config.Snapshots.ReplaceConfiguration(&lapisv1.Configuration{Revision: 2}))
				attempt.gateway.config.Evacuated = func(zone string) bool { return strings.Contains(row.evacuated, zone) }
			}
			_, err := attempt.run(t.Context())
			assert.Assert(t, result.Is(err, result.CallNotRunDraining), "%v", err)
			assert.Equal(t, len(remote.opened), row.attempts)
			for _, open := range remote.opened {
				assert.Assert(t, open.GetInstance() != "desk-2", "the call was sent to another region")
				assert.DeepEqual(t, open.GetAllowedRegions(), []string{"r1"})
			}
		})
	}
}

// The log line of a refused call and a metric contain the name of the constraint.
func TestRefusalsNameTheConstraint(t *testing.T) {
	lines := []string{}
	logger := funcr.New(func(_, arguments string) { lines = append(lines, arguments) }, funcr.Options{})
	attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{})
	registry := prometheus.NewRegistry()
	config := attempt.gateway.config
	config.Decisions, config.Registry = decision.New(logger, 100, time.Now), registry
	attempt.gateway = New(config)
	placeInZones(attempt, "a", "b", "c")
	_, err := attempt.run(t.Context())
	attempt.gateway.recordFailure(&app.RequestContext{}, attempt.route, err, time.Now())
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.Contains(lines[0], `"constraint"="evacuated"`), lines[0])
	recorder := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
	assert.Assert(t, strings.Contains(recorder.Body.String(), `lapisvane_calls_constrained_total{constraint="evacuated"} 1`))
}
