package tree_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
)

func TestAcceptedRevisionReachesEveryNode(t *testing.T) {
	c := newCluster(t)
	for index := range 12 {
		c.start(fmt.Sprintf("n%02d", index), fmt.Sprintf("z%d", index%2), "a", "b")
	}
	first := c.accept("op-1", append(service("a", 6), service("b", 6)...)...)
	c.waitInForce(first)
	second := c.accept("op-2", service("c", 6)...)
	third := c.accept("op-3", service("a", 7)...)
	c.waitInForce(third)
	c.checkHistories()
	assert.Assert(t, third == second+1)
	for _, m := range c.members {
		history := m.recorder.history()
		last := history[len(history)-1]
		assert.Equal(t, len(last.Bundles), 2)
		bundle, err := meshconfig.DecodeBundle(last.Bundles["a"])
		assert.NilError(t, err)
		assert.Equal(t, bundle.GetPool().GetSlots(), uint32(7))
	}
}

func TestReplacedNodeNeverGoesBack(t *testing.T) {
	c := newCluster(t)
	for index := range 6 {
		c.start(fmt.Sprintf("n%d", index), "z", "a")
	}
	c.waitInForce(c.accept("op-1", service("a", 6)...))
	last := c.accept("op-2", service("a", 7)...)
	c.waitInForce(last)
	c.members["n3"].kill()
	c.killed = append(c.killed, c.members["n3"])
	replaced := c.start("n3", "z", "a")
	c.waitInForce(last)
	assert.Assert(t, replaced.recorder.history()[0].Revision >= last)
	c.checkHistories()
}
