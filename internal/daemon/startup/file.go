package startup

import (
	"io/fs"
	"os"
	"time"

	"github.com/pkg/errors"
)

// settleTime is how long a file must be unchanged before a fault in it counts as permanent. Files that a
// platform writes at the start of a process are complete within milliseconds.
const settleTime = time.Second

// fileState is the state of a file at one look.
type fileState struct {
	missing bool
	// size is in bytes, or -1 if the system does not tell the state of the file.
	size     int64
	modified time.Time
}

// watchedFile follows the state of a file over several looks.
type watchedFile struct {
	last fileState
	// since is the time of the first look that showed last.
	since time.Time
}

// settled records the state at a look and reports whether the file can be taken for complete: it is
// neither missing nor empty, and was modified or first seen in this state a settleTime ago. A
// modification time in the future, after a step of the clock, says nothing. Neither does one in the past
// at the first look after a change: the step may have read the file before the change.
func (w *watchedFile) settled(state fileState, now time.Time) bool {
	changed := !w.since.IsZero() && state != w.last
	if changed || w.since.IsZero() {
		w.last, w.since = state, now
	}
	if changed || state.missing || state.size == 0 {
		return false
	}
	return now.Sub(state.modified) >= settleTime || now.Sub(w.since) >= settleTime
}

// Files follows the files that a step reads, in order to tell files that are being written from wrong
// ones. It is not safe for concurrent use.
type Files struct {
	paths   []string
	watched []watchedFile
}

// NewFiles returns Files for the paths; empty ones are left out. It must be called before the step reads
// them.
func NewFiles(paths ...string) *Files {
	files := &Files{}
	for _, path := range paths {
		if path != "" {
			files.paths = append(files.paths, path)
			files.watched = append(files.watched, watchedFile{last: stateOf(path), since: time.Now()})
		}
	}
	return files
}

// Failed returns the Error of a step that could not use the files, or nil for a nil cause. It must be
// called right after the step has read them. The error is transient while one of them may be incomplete.
func (f *Files) Failed(step, subject string, cause error) error {
	if cause == nil {
		return nil
	}
	settled := true
	for index, path := range f.paths {
		settled = f.watched[index].settled(stateOf(path), time.Now()) && settled
	}
	return &Error{Step: step, Subject: subject, Cause: cause, Transient: !settled || isTransient(cause)}
}

// stateOf returns the state of a file.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fileState{missing: true}
	case err != nil:
		return fileState{size: -1}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}
