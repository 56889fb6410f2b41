package origin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endingContext ends when its error is asked for, and still returns none.
type endingContext struct {
	context.Context
	end func()
}

func (c endingContext) Err() error {
	c.end()
	return nil
}

// Guards against work that is added to a wait group whose waiter is returning, which panics or goes on unawaited.
func TestWorkBegunWhileTheOriginEndsIsAwaited(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	made, returned, early := New(Config{}), make(chan struct{}), false
	made.runContext = endingContext{ctx, func() {
		cancel()
		select {
		case <-returned:
			early = true
		case <-time.After(100 * time.Millisecond): // Run does not return before the work has been added.
		}
	}}
	asking := make(chan struct{})
	go func() {
		<-asking
		made.awaitGoroutines(ctx)
		close(returned)
	}()
	ended := false
	made.goroutines.Go(func() { <-ctx.Done() })
	close(asking)
	made.inBackground(func(context.Context) { ended = true })
	<-returned
	assert.Assert(t, !early && ended)
}
