// Package configsource follows an outside source of the configuration, where
// the source itself decides which version is in force. It keeps asking through
// outages, takes in only versions above the one in force, and leaves what is in
// force where a version cannot be used.
package configsource

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/pause"
	"github.com/lapisvane/lapisvane/internal/result"
)

// Position is a place in the source's history; the source gives it out.
type Position uint64

// Source is where configurations come from. An error with a code of 2xxx, or
// PlatformBadAnswer, says that the configuration at the returned position cannot
// be used; any other that the source was not reached.
type Source interface {
	// Latest returns the configuration as it stands, with its position; nil
	// when there is none yet.
	Latest(ctx context.Context) (*lapisv1.Configuration, Position, error)
	// Next waits for a configuration after position. It returns nil and the
	// position up to which there was none when the wait was over. Errors:
	// PlatformCompacted when the history after position is gone.
	Next(ctx context.Context, after Position, wait time.Duration) (*lapisv1.Configuration, Position, error)
}

// Waits after a failure, and the least time between two questions.
const (
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// Follower follows a source.
type Follower struct {
	Source Source
	// Apply puts a configuration in force. It is called for each one that the
	// source brings, also for one that is in force already.
	Apply func(*lapisv1.Configuration)
	// Pace is the least time between two questions, so that all daemons
	// together stay within the source's rate.
	Pace func() time.Duration
	// Wait bounds one question. A source may keep silent about a change, so it
	// is asked anew within the time in which a change must be noticed.
	Wait time.Duration
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger

	// Asked and Failed count the questions, and those that got no answer.
	Asked, Failed atomic.Int64
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	wait := retryMin
	position := Position(0)
	known := false
	for ctx.Err() == nil {
		asked := time.Now()
		next, err := f.ask(ctx, position, known)
		if ctx.Err() != nil {
			return
		}
		f.Asked.Add(1)
		if unusable(err) {
			f.Logger.Error(err, "configuration.refused", "position", uint64(next))
			err = nil
		}
		if err == nil {
			if failing {
				f.Logger.Info("source.regained", "position", uint64(next))
			}
			failing = false
			wait = retryMin
			position = next
			known = true
			if !pause.For(ctx, f.Pace()-time.Since(asked)) {
				return
			}
			continue
		}
		if result.Is(err, result.PlatformCompacted) {
			f.Logger.Info("source.history_gone", "position", uint64(position))
			known = false
			if !pause.For(ctx, f.Pace()) {
				return
			}
			continue
		}
		if !failing {
			f.Logger.Info("source.lost", "position", uint64(position), "error", err)
		}
		failing = true
		f.Failed.Add(1)
		if !pause.For(ctx, wait+time.Duration(f.Random()*float64(wait))) {
			return
		}
		wait = min(2*wait, retryMax)
	}
}

// unusable reports whether an error is about the configuration and not about the
// way to its source.
func unusable(err error) bool {
	code, ok := result.CodeOf(err)
	return err != nil && ok && (code.Validation() || code == result.PlatformBadAnswer)
}

// ask asks the source once, for the whole when no position is known.
func (f *Follower) ask(ctx context.Context, position Position, known bool) (Position, error) {
	var configuration *lapisv1.Configuration
	var err error
	if known {
		configuration, position, err = f.Source.Next(ctx, position, f.Wait)
	} else {
		configuration, position, err = f.Source.Latest(ctx)
	}
	if err == nil && configuration != nil {
		f.Apply(configuration)
	}
	return position, err
}
