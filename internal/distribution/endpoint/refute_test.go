package endpoint_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/endpoint"
)

func TestOnlyWrongStatementsAboutOwnInstancesAreRefuted(t *testing.T) {
	const (
		ready    = lapisv1.Endpoint_STATE_READY
		draining = lapisv1.Endpoint_STATE_DRAINING
		suspect  = lapisv1.Endpoint_STATE_SUSPECT
		gone     = lapisv1.Endpoint_STATE_GONE
	)
	cases := []struct {
		name        string
		node        string
		incarnation uint64
		instance    string
		state, own  lapisv1.Endpoint_State
		refute      bool
	}{
		{"suspect", "here", 5, "i", suspect, ready, true},
		{"gone", "here", 5, "i", gone, ready, true},
		{"suspect while draining", "here", 5, "i", suspect, draining, true},
		{"gone, stated by an earlier process", "here", 4, "i", gone, ready, true},
		{"drained by a reader", "here", 5, "i", draining, ready, false},
		{"gone on both sides", "here", 5, "i", gone, gone, false},
		{"another daemon", "there", 5, "i", suspect, ready, false},
		{"a newer process on this machine", "here", 6, "i", gone, ready, false},
		{"an instance that is not on this machine", "here", 5, "j", suspect, ready, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			statement := &lapisv1.Endpoint{Service: "s", Instance: test.instance, Node: test.node, Incarnation: test.incarnation, State: test.state}
			local := []*lapisv1.Endpoint{{Service: "s", Instance: "i", State: test.own}}
			assert.Equal(t, endpoint.ShouldRefute(statement, "here", 5, local), test.refute)
		})
	}
}
