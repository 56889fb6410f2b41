package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Outlier detection: an instance that several attempts in a row could not reach, or that broke
// off, is ejected for a time that doubles with each further failure. Any answer ends the row,
// also a failure that the instance answers itself: that one only raises its cost (cost.go),
// because an instance that fails 40 calls in 100 answers too often to be ejected.
const (
	// ejectAfter is the number of failures in a row that eject an instance. It is above 1, so that
	// one broken connection ejects nobody.
	ejectAfter = 3
	// ejectBase and ejectMax bound the time of an ejection. The base must be longer than a failed
	// dial is remembered (callmux, 200 ms), or the call that tries the instance again would only
	// meet the remembered failure.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// ejectDoublings bounds how often the time doubles, so that the shift does not overflow;
	// ejectMax is reached before.
	ejectDoublings = 10
	// soundShare is the share of failures, 0 to 1, below which an instance counts as sound. It is
	// above 0, since failures fade and never quite reach it, and far below the 0.4 of an instance
	// that fails part of its calls (docs/design/0012).
	soundShare = 0.1
)

// ejectionFor returns how long an instance is ejected after so many failures in a row, 0 for
// not at all.
func ejectionFor(failures int) time.Duration {
	if failures < ejectAfter {
		return 0
	}
	return min(ejectBase<<min(failures-ejectAfter, ejectDoublings), ejectMax)
}

// mostlySound reports whether so many sound instances are more than half of all.
func mostlySound(sound, all int) bool { return 2*sound > all }

// isDoubtful reports whether an instance should get calls only where no healthy one is
// left: heartbeats (its own, or its daemon's) are missing, or this daemon ejected it.
func isDoubtful(state lapisv1.Endpoint_State, ejected bool) bool {
	return state == lapisv1.Endpoint_STATE_SUSPECT || ejected
}
