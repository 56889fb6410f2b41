package scalerun

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/objectapistub"
	"github.com/lapisvane/lapisvane/internal/topology"
)

// restartNowAndThen restarts daemons at scaledRestarts times the daily rate.
func (d *scaleDriver) restartNowAndThen(ctx context.Context) error {
	const interval = 2 * time.Second
	part := restartsPerDay / 86400 * scaledRestarts * interval.Seconds()
	for callload.SleepUntil(ctx, time.Now().Add(interval)) {
		order := Disturbance{RestartPart: part}
		if err := d.forAll(func(address string) error { return experiment.PutJSON(address, "/disturb", order) }); err != nil {
			return err
		}
	}
	return nil
}

func (d *scaleDriver) order(order Disturbance) error {
	return d.forAll(func(address string) error { return experiment.PutJSON(address, "/disturb", order) })
}

// herd replaces 30 percent of all daemons at once.
func (d *scaleDriver) herd(context.Context) error { return d.order(Disturbance{RestartPart: 0.3}) }

// rack takes a part of one zone down and brings it back.
func (d *scaleDriver) rack(ctx context.Context) error {
	const machinesPerProcess = 10
	if err := d.order(Disturbance{StopZone: topology.ScaleLayout.Zones[2], StopCount: machinesPerProcess}); err != nil {
		return err
	}
	callload.SleepUntil(ctx, time.Now().Add(4*time.Second))
	return d.order(Disturbance{StartAll: true})
}

// cut returns a disturbance that cuts a zone or region off and joins it again.
func (d *scaleDriver) cut(name string) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := d.order(Disturbance{Isolate: []string{name}}); err != nil {
			return err
		}
		callload.SleepUntil(ctx, time.Now().Add(9*time.Second))
		return d.order(Disturbance{Join: []string{name}})
	}
}

// outage takes the source down for longer than a lease and restarts some
// daemons meanwhile.
func (d *scaleDriver) outage(ctx context.Context) error {
	if err := experiment.PutJSON(d.command.Platform, "/lab/faults", objectapistub.Faults{Down: true}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := d.order(Disturbance{RestartPart: 0.02}); err != nil {
		return err
	}
	callload.SleepUntil(ctx, time.Now().Add(9*time.Second))
	return experiment.PutJSON(d.command.Platform, "/lab/faults", objectapistub.Faults{})
}
