package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Intervals and delays for reading and writing the records in the platform's store.
const (
	// saveRetryMin and saveRetryMax limit the exponential backoff after failures of the store.
	saveRetryMin = 200 * time.Millisecond
	saveRetryMax = 5 * time.Second
	// idleSyncInterval is the time between two synchronizations if nothing is due.
	idleSyncInterval = time.Minute
	// remoteSaveDelay is how long daemons wait before they store a record of another daemon, so that the
	// daemon on the machine of the crashed instance can store it first. It must be above a few round trips
	// to the store. A random part of remoteSaveJitter is added, so that one write is usually enough.
	remoteSaveDelay  = time.Second
	remoteSaveJitter = 3 * time.Second
	// secondLoadDelay is the time after startup at which the records are read a second time, since
	// the first answer of the store may be some seconds old.
	secondLoadDelay = 4 * time.Second
)

// suspects synchronizes the registry of requests that are suspected of crashing instances with other
// daemons and the platform's store. It receives crashes from the origin and decides for the gateway
// whether a request is quarantined. It is safe for concurrent use.
type suspects struct {
	*quarantine.Registry
	logger logr.Logger
	// spread sends records to other daemons.
	spread func(records []quarantine.Record, from string)
	// store persists records beyond the lifetime of all daemons; nil if there is none.
	store quarantine.Store
	// changed triggers a synchronization with the store.
	changed chan struct{}
}

func newSuspects(logger logr.Logger, store quarantine.Store, spread func(records []quarantine.Record, from string)) *suspects {
	return &suspects{
		Registry: quarantine.NewRegistry(boottime.Now), logger: logger,
		store: store, spread: spread, changed: make(chan struct{}, 1),
	}
}

// Crashed implements origin.CrashReporter.
func (s *suspects) Crashed(instance string, id uint64, inFlight []quarantine.InFlight) {
	changed := s.Registry.Crashed(id, inFlight)
	s.spread(changed, "")
	s.noteChanged(changed, "instance "+instance)
}

// Answered implements origin.CrashReporter.
func (s *suspects) Answered(keys []fingerprint.Key) {
	changed := s.Registry.Answered(keys)
	s.spread(changed, "")
	s.noteChanged(changed, "answer")
}

// merge adds records from another daemon or from the store.
func (s *suspects) merge(records []quarantine.Record, from string) {
	changed := s.Merge(records)
	s.spread(changed, from)
	s.noteChanged(changed, from)
}

// storeRestored triggers a rewrite of all records. It is called after the store was restored from an
// older copy of its data, which may lack some of them.
func (s *suspects) storeRestored() {
	s.MarkAllUnstored()
	s.wake()
}

// wake triggers a synchronization with the store without blocking.
func (s *suspects) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// noteChanged logs the changed records and triggers a synchronization with the store.
func (s *suspects) noteChanged(changed []quarantine.Record, by string) {
	if len(changed) == 0 {
		return
	}
	s.wake()
	for _, record := range changed {
		s.logger.Info("request.suspected", "key", record.Key, "head", record.Head, "ended", record.Count(), "refuted", len(record.Refuted),
			"trials", record.Trials, "by", by)
	}
}

// ClaimTrial implements gateway.Quarantine.
func (s *suspects) ClaimTrial(ctx context.Context, verdict quarantine.Verdict) bool {
	if s.store == nil {
		return false
	}
	granted, err := s.store.ClaimTrial(ctx, verdict.Key, verdict.Trials)
	s.logger.Info("request.trial", "key", verdict.Key, "ended", verdict.Crashes, "trials", verdict.Trials, "granted", granted, "error", err)
	// The trial is counted no matter which daemon it was granted to, and also if the store did not
	// answer.
	s.spread(s.RecordTrial(verdict.Key, verdict.Trials+1), "")
	return granted
}

// run synchronizes the records with the store until ctx ends.
func (s *suspects) run(ctx context.Context) {
	syncer := &storeSyncer{suspects: s, started: time.Now(), due: map[fingerprint.Key]time.Time{}}
	for {
		wait := syncer.sync(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// storeSyncer synchronizes the records with the store. It is used by a single goroutine.
type storeSyncer struct {
	*suspects
	started time.Time
	// loads is the number of successful reads. retry is the backoff after the last failure, 0 after a
	// success.
	loads int
	retry time.Duration
	// due is the time at which this daemon stores a record, unless another daemon has stored it.
	due map[fingerprint.Key]time.Time
}

// sync performs the reads and writes that are due and returns the time until the next ones.
func (s *storeSyncer) sync(ctx context.Context) time.Duration {
	wait, err := s.load(ctx)
	if err == nil {
		var next time.Duration
		next, err = s.save(ctx)
		wait = min(wait, next)
	}
	if err == nil {
		s.retry = 0
		return wait
	}
	s.logger.Info("quarantine.store_failed", "error", err)
	s.retry = min(max(2*s.retry, saveRetryMin), saveRetryMax)
	return s.retry
}

// load reads the stored records at startup and a second time after secondLoadDelay.
func (s *storeSyncer) load(ctx context.Context) (next time.Duration, err error) {
	switch {
	case s.loads > 1:
		return idleSyncInterval, nil
	case s.loads == 1 && time.Since(s.started) < secondLoadDelay:
		return secondLoadDelay - time.Since(s.started), nil
	}
	records, err := s.store.Load(ctx)
	if err != nil {
		return 0, err
	}
	s.loads++
	s.merge(records, "store")
	return secondLoadDelay, nil
}

// save writes the records that the store does not have and removes those that this daemon refuted.
func (s *storeSyncer) save(ctx context.Context) (next time.Duration, err error) {
	next = idleSyncInterval
	unstored := s.Unstored()
	if len(unstored) == 0 {
		clear(s.due)
	}
	for _, record := range unstored {
		if wait := time.Until(s.dueAt(record)); wait > 0 {
			next = min(next, wait)
			continue
		}
		if err := s.store.Save(ctx, record); err != nil {
			return 0, err
		}
		delete(s.due, record.Key)
		s.MarkStored(record)
		record.Stored = true
		s.spread([]quarantine.Record{record}, "")
		s.logger.Info("quarantine.stored", "key", record.Key, "ended", record.Count())
	}
	for _, key := range s.TakeRemovals() {
		if err := s.store.Remove(ctx, key); err != nil {
			s.logger.Info("quarantine.not_removed", "key", key, "error", err)
		}
	}
	return next, nil
}

// dueAt returns the time at which this daemon stores a record: immediately for its own, after a random
// delay for records of other daemons.
func (s *storeSyncer) dueAt(record quarantine.Record) time.Time {
	at, known := s.due[record.Key]
	if !known || record.Local {
		at = time.Now()
		if !record.Local {
			at = at.Add(remoteSaveDelay + time.Duration(rand.Float64()*float64(remoteSaveJitter)))
		}
		s.due[record.Key] = at
	}
	return at
}
