package containment

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// divide panics if divisor is 0, and contains it.
func divide(dividend, divisor int) (quotient int, err error) {
	defer Recover("division", func(cause error) { err = cause })
	return dividend / divisor, nil
}

// Guards against a test that passes although something panicked.
func TestNothingIsContainedUnlessEnabled(t *testing.T) {
	defer func() { assert.Assert(t, recover() != nil) }()
	_, _ = divide(1, 0)
	t.Error("the panic was contained")
}

func TestEachPanicIsCountedAndTheFirstOneReported(t *testing.T) {
	stacks := 0
	defer Enable(func(work string, cause any, stack []byte) {
		stacks++
		assert.Equal(t, work, "division")
		assert.Assert(t, strings.Contains(string(stack), "divide"))
	})()
	before := Contained()
	for range 3 {
		_, err := divide(1, 0)
		var panicked *PanicError
		assert.Assert(t, errors.As(err, &panicked), "%v", err)
	}
	quotient, err := divide(4, 2)
	assert.NilError(t, err)
	assert.Equal(t, quotient, 2)
	assert.Equal(t, Contained()-before, int64(3))
	assert.Equal(t, stacks, 1)
}
