package configsource_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	overlapCheckInterval = 50 * time.Millisecond
	overlapLength        = time.Minute
	// maxChangePause and maxDisruptionPause limit the times between two changes and between the starts of two
	// disruptions, minDisruption and maxDisruption the length of a disruption.
	maxChangePause     = 3 * time.Second
	maxDisruptionPause = 2 * time.Second
	minDisruption      = 300 * time.Millisecond
	maxDisruption      = 4300 * time.Millisecond
)

// overlapDay is a run of a fleet whose daemons and source are disrupted at random times.
type overlapDay struct {
	source *scriptedSource
	fleet  []*fleetDaemon
	random *rand.Rand
	// refusedUntil, deafUntil and muteUntil are the ends of the disruptions of each daemon, sourceUntil that of
	// the source.
	refusedUntil, deafUntil, muteUntil map[*fleetDaemon]time.Time
	sourceUntil                        time.Time
	accepted                           []acceptedVersion
}

// acceptedVersion is a version and the time at which the source accepted it.
type acceptedVersion struct {
	revision uint64
	at       time.Time
}

// A version is in force in time on every daemon in touch, whichever daemons are refused by the source or miss the
// gossip of others at the same time, and however long the source was slow or silent before.
func TestVersionIsInForceInTimeUnderOverlappingDisruptions(t *testing.T) {
	for _, daemons := range []int{3, 12} {
		for seed := range uint64(150) {
			runFleet(t, daemons, func(source *scriptedSource, fleet []*fleetDaemon) {
				day := &overlapDay{
					source: source, fleet: fleet, random: rand.New(rand.NewPCG(seed, 11)),
					refusedUntil: map[*fleetDaemon]time.Time{}, deafUntil: map[*fleetDaemon]time.Time{}, muteUntil: map[*fleetDaemon]time.Time{},
				}
				late := day.run()
				assert.Check(t, late == "", "%d daemons, seed %d: %s", daemons, seed, late)
			})
		}
	}
}

// run plays the day. It returns the first daemon that was late, empty if there was none.
func (d *overlapDay) run() (late string) {
	started := time.Now()
	d.accepted = []acceptedVersion{{3, started}}
	nextChange, nextDisruption := started, started
	for time.Since(started) < overlapLength && late == "" {
		now := time.Now()
		if now.After(nextChange) {
			d.change()
			nextChange = now.Add(d.drawUpTo(maxChangePause))
		}
		if now.After(nextDisruption) {
			d.disrupt()
			nextDisruption = now.Add(d.drawUpTo(maxDisruptionPause))
		}
		late = d.lateDaemon(now.Sub(started))
		time.Sleep(overlapCheckInterval)
	}
	// Disruptions must end before the daemons do.
	time.Sleep(maxDisruption)
	return late
}

func (d *overlapDay) drawUpTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Float64() * float64(limit))
}

func (d *overlapDay) change() {
	next := acceptedVersion{d.accepted[len(d.accepted)-1].revision + 1, time.Now()}
	d.source.add(next.revision)
	d.accepted = append(d.accepted, next)
}

// disrupt starts a random disruption, which ends by itself.
func (d *overlapDay) disrupt() {
	length := minDisruption + d.drawUpTo(maxDisruption-minDisruption)
	switch d.random.IntN(6) {
	case 0, 1:
		for _, daemon := range d.fleet {
			if d.random.IntN(3) == 0 {
				d.during(length, daemon, d.refusedUntil, func(m *fleetDaemon, struck bool) { m.refused = struck })
			}
		}
	case 2:
		d.during(length, d.drawDaemon(), d.deafUntil, func(m *fleetDaemon, struck bool) { m.inBlocked = struck })
	case 3:
		d.during(length, d.drawDaemon(), d.muteUntil, func(m *fleetDaemon, struck bool) { m.outBlocked = struck })
	case 4:
		d.delaySource(length, 800*time.Millisecond)
	case 5:
		d.delaySource(length/2, time.Hour)
	}
}

func (d *overlapDay) drawDaemon() *fleetDaemon { return d.fleet[d.random.IntN(len(d.fleet))] }

// during applies a disruption of a daemon for a time, or until a longer one of the same kind ends.
func (d *overlapDay) during(length time.Duration, daemon *fleetDaemon, until map[*fleetDaemon]time.Time, apply func(m *fleetDaemon, struck bool)) {
	if end := time.Now().Add(length); end.After(until[daemon]) {
		until[daemon] = end
	}
	daemon.set(func(m *fleetDaemon) { apply(m, true) })
	end := until[daemon]
	time.AfterFunc(length, func() {
		daemon.set(func(m *fleetDaemon) { apply(m, time.Now().Before(end)) })
	})
}

// delaySource delays the source's answers for a time, or until a longer disruption ends. sourceUntil is written in
// source.set only, which excludes the end of an earlier disruption.
func (d *overlapDay) delaySource(length, delay time.Duration) {
	end := time.Now().Add(length)
	if end.Before(d.sourceUntil) {
		return
	}
	d.source.set(func(s *scriptedSource) { s.delay, d.sourceUntil = delay, end })
	time.AfterFunc(length, func() {
		d.source.set(func(s *scriptedSource) {
			if d.sourceUntil.Equal(end) {
				s.delay = 0
			}
		})
	})
}

// inTouch reports whether the source and the daemon's way to it have been undisturbed for contactBound.
func (d *overlapDay) inTouch(daemon *fleetDaemon) bool {
	since := time.Now().Add(-contactBound)
	return since.After(d.sourceUntil) && since.After(d.refusedUntil[daemon])
}

// required returns the newest version accepted longer ago than bound.
func (d *overlapDay) required() (revision uint64) {
	for _, version := range d.accepted {
		if time.Since(version.at) > bound {
			revision = version.revision
		}
	}
	return revision
}

// lateDaemon describes the first daemon in touch that lacks the required version, empty if there is none.
func (d *overlapDay) lateDaemon(at time.Duration) string {
	required := d.required()
	for index, daemon := range d.fleet {
		if applied, _ := daemon.last(); applied < required && d.inTouch(daemon) {
			return fmt.Sprintf("at %s daemon %d has version %d, and %d was accepted more than %s before", at, index, applied, required, bound)
		}
	}
	return ""
}
