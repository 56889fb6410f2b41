package lab

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/callload"
)

// callsCommand sends calls to a daemon and checks the answers.
type callsCommand struct {
	Target   string        `long:"target" description:"address on which a daemon accepts callers" required:"true"`
	Host     string        `long:"host" description:"Host header of the requests" default:"lab.example"`
	Path     string        `long:"path" description:"path of the requests" default:"/"`
	Method   string        `long:"method" description:"method of the requests" default:"GET"`
	Workers  int           `long:"workers" description:"number of concurrent callers" default:"8"`
	Rate     float64       `long:"rate" description:"total calls per second; 0 for no limit" default:"200"`
	Duration time.Duration `long:"duration" description:"how long to make calls" default:"2s"`
	Name     string        `long:"name" description:"prefix of the calls' names" default:"calls"`
	AllDone  bool          `long:"all-done" description:"fail unless every call was answered"`
}

// Execute implements flags.Commander.
func (c *callsCommand) Execute([]string) error {
	if c.Duration <= 0 || c.Duration > maxRunTime || c.Workers <= 0 || c.Rate < 0 {
		return fmt.Errorf("workers and duration must be positive, rate must not be negative, and duration must be at most %s", maxRunTime)
	}
	load := callload.Load{
		Caller: &callload.Caller{
			Target: c.Target, Host: c.Host, Path: c.Path, Method: c.Method,
			Client: callload.NewHTTPClient(c.Workers), Header: http.Header{},
		},
		Workers: c.Workers, Rate: c.Rate, Duration: c.Duration, Name: c.Name,
	}
	tally := load.Run(context.Background())
	results.Info("calls.finished", "calls", tally.Total(), "done", tally.Done, "not_run", tally.NotRun,
		"unknown", tally.Unknown, "wrong", tally.Wrong, "instances", len(tally.ByInstance),
		"p50_ms", millis(tally.Latency.ValueAtQuantile(50)), "p99_ms", millis(tally.Latency.ValueAtQuantile(99)))
	if tally.Wrong > 0 || tally.Done == 0 || (c.AllDone && tally.Done != tally.Total()) {
		return fmt.Errorf("some calls failed: %v", tally.Results)
	}
	return nil
}
