package lab

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/lab/backendstub"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/operators/operator"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// platformCommand runs the platform stand-in until it receives a signal.
type platformCommand struct {
	Address    string        `long:"address" description:"IP:port to listen on" default:"127.0.0.1:7000"`
	Token      string        `long:"token" description:"token required from clients"`
	WatchCap   int           `long:"watch-cap" description:"maximum number of concurrent watches" default:"40"`
	MachineLag time.Duration `long:"machine-lag" description:"delay until the machine list shows a change" default:"2s"`
	Operators  string        `long:"operators" description:"JSON file with the operators to load"`
	Machines   string        `long:"machines" description:"JSON file with the machine list to load"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	stub, err := objectapistub.Start(objectapistub.Options{
		Address: c.Address, Token: c.Token, WatchCap: c.WatchCap, MachineLag: c.MachineLag, Seed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	defer stub.Close()
	if err := c.load(stub); err != nil {
		return err
	}
	results.Info("platform.started", "address", stub.Address())
	stop := cli.CatchSignals().Stop()
	<-stop
	load := stub.Load()
	results.Info("platform.stopped", "requests", load.Requests, "peak_watchers", load.PeakWatchers, "refused_watches", load.RefusedWatches)
	return nil
}

func (c *platformCommand) load(stub *objectapistub.Server) error {
	if c.Operators != "" {
		content, err := os.ReadFile(c.Operators)
		if err != nil {
			return result.Wrap(result.SettingsUnreadable, err, "reading the operators file")
		}
		client := objectapi.NewClient([]string{stub.Address()}, c.Token, nil)
		if _, err := client.Put(context.Background(), operator.TokensKey, content, objectapi.VersionAny); err != nil {
			return err
		}
	}
	if c.Machines == "" {
		return nil
	}
	content, err := os.ReadFile(c.Machines)
	if err != nil {
		return result.Wrap(result.SettingsUnreadable, err, "reading the machines file")
	}
	var machines []objectapi.Machine
	if err := json.Unmarshal(content, &machines); err != nil {
		return result.Wrap(result.SettingsUnreadable, err, "decoding the machines file")
	}
	for _, machine := range machines {
		stub.SetMachine(machine)
	}
	return nil
}

// backendCommand runs a back-end stand-in until it receives a signal.
type backendCommand struct {
	Address        string        `long:"address" description:"IP:port to listen on" required:"true"`
	Instance       string        `long:"instance" description:"name of the instance" required:"true"`
	Slots          int           `long:"slots" description:"maximum number of concurrent calls" default:"6"`
	Connections    int           `long:"connections" description:"maximum number of open connections" default:"130"`
	ConnectionCost time.Duration `long:"connection-cost" description:"time to accept a connection" default:"1ms"`
	ServiceTime    time.Duration `long:"service-time" description:"time a call takes" default:"5ms"`
	ColdStart      time.Duration `long:"cold-start" description:"time after the start during which calls take ten times as long"`
	ShedAbove      int           `long:"shed-above" description:"refuse calls while more than this number run; 0 for never"`
	Draining       bool          `long:"draining" description:"refuse new calls and report them as not run"`
}

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	backend, err := backendstub.Start(backendstub.Options{
		Address: c.Address, Instance: c.Instance, Slots: c.Slots, ConnectionLimit: c.Connections,
		ConnectionCost: c.ConnectionCost, ColdStart: c.ColdStart, ColdFactor: 10,
		Behaviour: backendstub.Behaviour{ServiceTime: c.ServiceTime, ShedAbove: c.ShedAbove, Draining: c.Draining},
	})
	if err != nil {
		return err
	}
	defer backend.Close()
	results.Info("backend.started", "instance", c.Instance, "address", backend.Address())
	stop := cli.CatchSignals().Stop()
	<-stop
	results.Info("backend.stopped", "instance", c.Instance, "peak_running", backend.PeakRunning(), "connections", backend.Connections.Load())
	return nil
}

// tokenCommand prints the form in which the platform stores an operator's token.
type tokenCommand struct {
	Name  string `long:"name" description:"the operator's name" required:"true"`
	Group string `long:"group" description:"the operator's group, '*' for all" required:"true"`
	Token string `long:"token" description:"the token" required:"true"`
}

// Execute implements flags.Commander.
func (c *tokenCommand) Execute([]string) error {
	encoder := json.NewEncoder(os.Stdout)
	return encoder.Encode([]operator.Operator{{Name: c.Name, Group: c.Group, TokenSHA256: operator.HashToken(c.Token)}})
}

// faultCommand sets the faults of a running platform stand-in.
type faultCommand struct {
	Platform          string `long:"platform" description:"IP:port of the platform stand-in" default:"127.0.0.1:7000"`
	Down              bool   `long:"down" description:"answer every request with 503"`
	DelayMillis       int    `long:"delay-millis" description:"delay of every answer, in milliseconds"`
	LoseAnswerPercent int    `long:"lose-answer-percent" description:"percentage of writes that take effect without an answer"`
	EventDelayMillis  int    `long:"event-delay-millis" description:"delay of watch events, in milliseconds"`
	CrossEvents       bool   `long:"cross-events" description:"send the events of a burst in reverse order"`
	FreezeMachines    bool   `long:"freeze-machines" description:"stop updates of the machine list"`
}

// Execute implements flags.Commander.
func (c *faultCommand) Execute([]string) error {
	return putJSON(c.Platform, "/lab/faults", objectapistub.Faults{
		Down: c.Down, DelayMillis: c.DelayMillis, LoseAnswerPercent: c.LoseAnswerPercent,
		EventDelayMillis: c.EventDelayMillis, ReverseEvents: c.CrossEvents, FreezeMachines: c.FreezeMachines,
	})
}
