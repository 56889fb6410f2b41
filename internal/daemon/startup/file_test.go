package startup

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestFileIsSettledOnceItIsUnchanged(t *testing.T) {
	start := time.Now()
	type look struct {
		after time.Duration
		state fileState
		want  bool
	}
	written := func(size int64, after time.Duration) fileState {
		return fileState{size: size, modified: start.Add(after)}
	}
	for name, looks := range map[string][]look{
		"old":                   {{0, written(9, -time.Second), true}},
		"new":                   {{0, written(9, -999*time.Millisecond), false}, {time.Millisecond, written(9, -999*time.Millisecond), true}},
		"missing":               {{0, fileState{missing: true}, false}, {time.Hour, fileState{missing: true}, false}},
		"empty":                 {{0, written(0, -time.Hour), false}, {time.Hour, written(0, -time.Hour), false}},
		"growing":               {{0, written(4, 0), false}, {900 * time.Millisecond, written(8, 900*time.Millisecond), false}, {1800 * time.Millisecond, written(8, 900*time.Millisecond), false}, {1900 * time.Millisecond, written(8, 900*time.Millisecond), true}},
		"clock was ahead":       {{0, written(9, time.Hour), false}, {999 * time.Millisecond, written(9, time.Hour), false}, {time.Second, written(9, time.Hour), true}},
		"old when it appeared":  {{0, fileState{missing: true}, false}, {time.Millisecond, written(9, -time.Hour), false}, {2 * time.Millisecond, written(9, -time.Hour), true}},
		"state cannot be asked": {{0, fileState{size: -1}, true}},
	} {
		file := watchedFile{}
		for _, look := range looks {
			assert.Equal(t, file.settled(look.state, start.Add(look.after)), look.want, "%s after %s", name, look.after)
		}
	}
}

func TestFaultsOfIncompleteFilesAreTransient(t *testing.T) {
	directory := t.TempDir()
	complete, other := filepath.Join(directory, "complete"), filepath.Join(directory, "other")
	assert.NilError(t, os.WriteFile(complete, []byte("a"), 0o600))
	assert.NilError(t, os.Chtimes(complete, time.Time{}, time.Now().Add(-time.Hour)))
	transient := func(files *Files) bool {
		var failed *Error
		assert.Assert(t, errors.As(files.Failed(StepPeerTLS, "subject", errors.New("fault")), &failed))
		return failed.Transient
	}
	assert.Assert(t, !transient(NewFiles()))
	assert.Assert(t, !transient(NewFiles("", complete)))
	assert.Assert(t, transient(NewFiles(complete, other)), "missing")
	assert.Assert(t, transient(NewFiles(other, complete)), "missing")
	assert.NilError(t, os.WriteFile(other, []byte("a"), 0o600))
	assert.Assert(t, transient(NewFiles(other)), "new")
	assert.NilError(t, NewFiles(other).Failed(StepPeerTLS, "subject", nil))
}

// Guards against a start that ends because an older file is moved into place after the attempt to read it.
func TestFileThatAppearsAfterItWasReadIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	files := NewFiles(path)
	_, unread := os.ReadFile(path)
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(-time.Hour)))
	var failed *Error
	assert.Assert(t, errors.As(files.Failed(StepSettings, path, unread), &failed))
	assert.Assert(t, failed.Transient, "the whole file has not been read yet")
	assert.Assert(t, errors.As(files.Failed(StepSettings, path, errors.New("fault")), &failed))
	assert.Assert(t, !failed.Transient, "it was read as it is")
}
