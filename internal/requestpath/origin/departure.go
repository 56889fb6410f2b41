package origin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Heartbeat handles a heartbeat of an instance. After it has returned for a draining instance, no
// further call starts there, and without an error no later process of this daemon starts one either.
// With an error the heartbeat must not be acknowledged. Errors: those of departure.Store.
func (o *Origin) Heartbeat(ctx context.Context, registration Registration) error {
	if registration.Draining {
		return o.storeDepartures(ctx, o.registerDraining(registration)...)
	}
	if o.mayRegister(ctx, registration) {
		o.Register(registration)
	}
	return nil
}

// Retire withdraws an incarnation like WithdrawIncarnation. With an error the retirement must not be
// acknowledged. Errors: those of departure.Store.
func (o *Origin) Retire(ctx context.Context, id string, startUnixMillis uint64) error {
	return o.storeDepartures(ctx, o.WithdrawIncarnation(id, startUnixMillis)...)
}

// storeDepartures stores the departures of withdrawn instances that are not stored yet.
func (o *Origin) storeDepartures(ctx context.Context, names ...string) error {
	if o.config.Departures == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departure.StoreTimeout)
	defer cancel()
	for _, name := range names {
		if o.isStored(name) {
			continue
		}
		startedAt := time.Now()
		if err := o.saveDeparture(ctx, name); err != nil {
			o.config.Logger.Info("instance.departure_not_stored", "instance", name, "error", err)
			return err
		}
		o.config.Logger.Info("instance.departure_stored", "instance", name, "took_ms", time.Since(startedAt).Milliseconds())
		o.markStored(name)
		o.sweepDepartures(name)
	}
	return nil
}

func (o *Origin) saveDeparture(ctx context.Context, name string) error {
	if !o.departureCalls.Allow() {
		return departure.ErrTooManyCalls
	}
	return o.config.Departures.Save(ctx, name)
}

func (o *Origin) isStored(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.withdrawn[name].stored
}

func (o *Origin) markStored(name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if left, known := o.withdrawn[name]; known {
		left.stored, left.lost = true, false
		o.withdrawn[name] = left
	}
}

// sweepDepartures removes expired departures from the store in the background, after some of the
// departures that this daemon stores. Half of the sweeps begin at the first name, because few stored
// names may follow that of the departed instance.
func (o *Origin) sweepDepartures(name string) {
	if !departure.SweepsAfterSave(rand.Float64()) {
		return
	}
	if rand.IntN(2) == 0 {
		name = ""
	}
	o.inBackground(func(ctx context.Context) {
		if err := departure.Sweep(ctx, o.config.Departures, name); err != nil {
			o.config.Logger.Info("instance.departures_not_swept", "error", err)
		}
	})
}

// DeparturesLost makes Run store the known departures again, because the store may have lost them. It
// retries until each is stored or expired.
func (o *Origin) DeparturesLost() {
	o.markLost(func(left withdrawnInstance) bool { return left.stored })
}

// markLost makes Run store the departures again that match.
func (o *Origin) markLost(matches func(withdrawnInstance) bool) {
	o.mutex.Lock()
	for name, left := range o.withdrawn {
		if matches(left) {
			left.stored, left.lost = false, true
			o.withdrawn[name] = left
		}
	}
	o.mutex.Unlock()
	select {
	case o.departuresLost <- struct{}{}:
	default:
	}
}

// restoreDepartures stores lost departures again until ctx ends.
func (o *Origin) restoreDepartures(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.departuresLost:
		}
		var retries departure.Backoff
		for names := o.lostDepartures(); len(names) > 0; names = o.lostDepartures() {
			// The error is logged.
			if o.storeDepartures(ctx, names...) != nil && !sleep.For(ctx, retries.Next(rand.Float64())) {
				return
			}
		}
	}
}

// lostDepartures returns the names of the departures to store again.
func (o *Origin) lostDepartures() (names []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pruneWithdrawn()
	for name, left := range o.withdrawn {
		if left.lost {
			names = append(names, name)
		}
	}
	return names
}

// inBackground runs a function until the origin ends; it does nothing if the origin is not running.
func (o *Origin) inBackground(run func(ctx context.Context)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if ctx := o.runContext; ctx != nil && ctx.Err() == nil {
		o.goroutines.Go(func() { run(ctx) })
	}
}

// followHistory withdraws the instances that left before the start of this process, once they are known.
// That may be after one of them registered because nothing was known.
func (o *Origin) followHistory(ctx context.Context) {
	if o.config.History == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-o.config.History.Completed():
		o.withdrawHistory()
	}
}

// withdrawHistory withdraws the instances of a complete history.
func (o *Origin) withdrawHistory() {
	o.historyApplied.Do(func() {
		for _, name := range o.config.History.Left() {
			o.withdraw(name, withdrawnByStore)
			o.markStored(name)
		}
		o.storeLacking()
	})
}

// storeLacking makes Run store the departures that the store may lack because it was restored from a backup. Those
// that other daemons name would otherwise be known to a later process only if such a daemon reaches it in time.
func (o *Origin) storeLacking() {
	if o.config.History != nil && o.config.History.MayLack() {
		o.markLost(func(left withdrawnInstance) bool { return !left.stored })
	}
}

// mayRegister reports whether a ready instance may be registered by a heartbeat. An instance that this
// daemon doesn't know may have left while an earlier process ran here.
func (o *Origin) mayRegister(ctx context.Context, registration Registration) bool {
	name := registration.incarnation().Name()
	if o.config.History == nil || o.isWithdrawn(name) || !departure.IsRequired(time.Since(o.startedAt)) {
		return true
	}
	if _, known := o.instance(registration.Service, name); known {
		return true
	}
	if err := o.config.History.Await(ctx); err != nil {
		return o.hasContinued(registration, err)
	}
	o.withdrawHistory()
	if o.config.History.IsDoubtful() && !o.isWithdrawn(name) {
		return o.hasContinued(registration, departure.ErrRestored)
	}
	o.candidates.Forget(name)
	return true
}

// hasContinued reports whether the heartbeats of an unknown instance have continued for long enough to register it
// although its departure may not be known, for the reason given.
func (o *Origin) hasContinued(registration Registration, reason error) bool {
	name := registration.incarnation().Name()
	continued := o.candidates.Record(name, registration.Sequence, time.Now())
	o.config.Logger.Info("instance.departure_unknown", "instance", name, "sequence", registration.Sequence, "continued", continued, "error", reason)
	return continued
}
