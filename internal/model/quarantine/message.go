package quarantine

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Message encodes records for the exchange between daemons.
func Message(records []Record) *lapisv1.Suspects {
	message := &lapisv1.Suspects{}
	for _, record := range records {
		suspect := &lapisv1.Suspect{
			Key: record.Key[:], Head: uint64(record.Head), Refuted: record.Refuted, Trials: record.Trials,
			AgeMillis: uint64(record.Age.Milliseconds()), Stored: record.Stored,
		}
		for _, crash := range record.Crashes {
			suspect.Crashes = append(suspect.Crashes, &lapisv1.Crash{Id: crash.ID, Caller: crash.Caller})
		}
		message.Suspects = append(message.Suspects, suspect)
	}
	return message
}

// Records decodes the records of a message. It skips records whose key has the wrong length, and
// truncates lists to the bounds of a record.
func Records(message *lapisv1.Suspects) []Record {
	var records []Record
	for _, suspect := range message.GetSuspects() {
		if len(suspect.GetKey()) != len(fingerprint.Key{}) {
			continue
		}
		record := Record{
			Key: fingerprint.Key(suspect.GetKey()), Head: fingerprint.Head(suspect.GetHead()), Trials: suspect.GetTrials(), Stored: suspect.GetStored(),
			Age: time.Duration(min(suspect.GetAgeMillis(), uint64(2*suspectTTL/time.Millisecond))) * time.Millisecond,
		}
		refuted := suspect.GetRefuted()
		record.Refuted = refuted[:min(len(refuted), maxRefuted)]
		for _, crash := range suspect.GetCrashes()[:min(len(suspect.GetCrashes()), maxCrashes)] {
			record.Crashes = append(record.Crashes, Crash{ID: crash.GetId(), Caller: crash.GetCaller()})
		}
		records = append(records, record)
	}
	return records
}
