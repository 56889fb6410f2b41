package configsource_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// An answer about the history contains each version since as a whole. A daemon that missed many versions gets the
// newest one, although the answer with all of them takes longer than any poll may.
func TestDaemonThatMissedManyVersionsGetsTheNewest(t *testing.T) {
	const changePause, perVersion, silence = 150 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, perVersion: perVersion}
		record, stop := follow(source)
		defer stop()
		time.Sleep(contactBound)
		source.set(func(s *scriptedSource) { s.delay = time.Hour })
		begun := time.Now()
		for revision := uint64(4); time.Since(begun) < silence+contactBound+bound; revision++ {
			source.add(revision)
			if time.Since(begun) > silence {
				source.set(func(s *scriptedSource) { s.delay = 0 })
			}
			applied, _ := record.last()
			inTouch := time.Since(begun) > silence+contactBound
			assert.Check(t, !inTouch || time.Duration(revision-applied)*changePause <= bound, "%s after the silence began: version %d is in force, %d was accepted", time.Since(begun), applied, revision)
			time.Sleep(changePause)
		}
	})
}
