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

// Times of reading and writing the records in the platform's store.
const (
	// saveRetryMin and saveRetryMax bound the time between two tries after failures; the
	// wait doubles from one to the other.
	saveRetryMin = 200 * time.Millisecond
	saveRetryMax = 5 * time.Second
	// idleWait is the time between two rounds when nothing is due.
	idleWait = time.Minute
	// othersSave is how long the daemon beside the crashed instance has to store its record
	// before any other daemon does; it must be above a few answers of the store. The others
	// follow at random within othersSpread, so that one write is usually enough.
	othersSave   = time.Second
	othersSpread = 3 * time.Second
	// loadAgain is when a starting daemon reads the records a second time: the first
	// answer may be some seconds old.
	loadAgain = 4 * time.Second
)

// suspects joins the registry of requests under which instances crashed with other daemons
// and the platform's store. It reports crashes for the origin and answers the gateway
// whether a request is quarantined. It is safe for concurrent use.
type suspects struct {
	*quarantine.Registry
	logger logr.Logger
	// spread sends records to other daemons.
	spread func(records []quarantine.Record, from string)
	// store keeps what must outlast all daemons; nil where there is none.
	store quarantine.Store
	// dirty wakes the keeper.
	dirty chan struct{}
}

func newSuspects(logger logr.Logger, store quarantine.Store, spread func(records []quarantine.Record, from string)) *suspects {
	return &suspects{
		Registry: quarantine.NewRegistry(boottime.Now), logger: logger,
		store: store, spread: spread, dirty: make(chan struct{}, 1),
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

// merge adds what another daemon or the store knows.
func (s *suspects) merge(records []quarantine.Record, from string) {
	changed := s.Merge(records)
	s.spread(changed, from)
	s.noteChanged(changed, from)
}

// storeReturned writes again what the store may have lost.
func (s *suspects) storeReturned() {
	s.ForgetStored()
	s.wake()
}

func (s *suspects) wake() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// noteChanged logs each record that changed and wakes the keeper.
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
	granted, err := s.store.Try(ctx, verdict.Key, verdict.Trials)
	s.logger.Info("request.trial", "key", verdict.Key, "ended", verdict.Crashes, "trials", verdict.Trials, "granted", granted, "error", err)
	// The trial counts for whichever daemon it was granted, and also when the store did not answer.
	s.spread(s.NoteTrial(verdict.Key, verdict.Trials+1), "")
	return granted
}

// run keeps the records in the store until ctx ends.
func (s *suspects) run(ctx context.Context) {
	keeper := &keeper{suspects: s, started: time.Now(), due: map[fingerprint.Key]time.Time{}}
	for {
		wait := keeper.sync(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.dirty:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// keeper keeps the records in the store; only one goroutine uses it.
type keeper struct {
	*suspects
	started time.Time
	// loads counts the successful readings, and retry is the wait after the last failure, 0
	// after a success.
	loads int
	retry time.Duration
	// due is when this daemon stores a record of another daemon, unless that one has by then.
	due map[fingerprint.Key]time.Time
}

// sync does what is due and returns the time until something is due again.
func (k *keeper) sync(ctx context.Context) time.Duration {
	wait, err := k.load(ctx)
	if err == nil {
		var next time.Duration
		next, err = k.save(ctx)
		wait = min(wait, next)
	}
	if err == nil {
		k.retry = 0
		return wait
	}
	k.logger.Info("quarantine.store_failed", "error", err)
	k.retry = min(max(2*k.retry, saveRetryMin), saveRetryMax)
	return k.retry
}

// load reads the stored records at the start and once more.
func (k *keeper) load(ctx context.Context) (next time.Duration, err error) {
	switch {
	case k.loads > 1:
		return idleWait, nil
	case k.loads == 1 && time.Since(k.started) < loadAgain:
		return loadAgain - time.Since(k.started), nil
	}
	records, err := k.store.Load(ctx)
	if err != nil {
		return 0, err
	}
	k.loads++
	k.merge(records, "store")
	return loadAgain, nil
}

// save writes the records that the store lacks and removes those that this daemon refuted.
func (k *keeper) save(ctx context.Context) (next time.Duration, err error) {
	next = idleWait
	lacking := k.Unstored()
	if len(lacking) == 0 {
		clear(k.due)
	}
	for _, record := range lacking {
		if wait := time.Until(k.dueAt(record)); wait > 0 {
			next = min(next, wait)
			continue
		}
		if err := k.store.Save(ctx, record); err != nil {
			return 0, err
		}
		delete(k.due, record.Key)
		k.NoteStored(record)
		record.Stored = true
		k.spread([]quarantine.Record{record}, "")
		k.logger.Info("quarantine.stored", "key", record.Key, "ended", record.Count())
	}
	for _, key := range k.TakeRemovals() {
		if err := k.store.Remove(ctx, key); err != nil {
			k.logger.Info("quarantine.not_removed", "key", key, "error", err)
		}
	}
	return next, nil
}

// dueAt returns when this daemon stores a record.
func (k *keeper) dueAt(record quarantine.Record) time.Time {
	at, known := k.due[record.Key]
	if !known || record.Local {
		at = time.Now()
		if !record.Local {
			at = at.Add(othersSave + time.Duration(rand.Float64()*float64(othersSpread)))
		}
		k.due[record.Key] = at
	}
	return at
}
