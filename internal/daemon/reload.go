package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, since it may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadable is the set of settings, by the first part of their key, that take effect without a
// restart.
var reloadable = map[string]bool{"service": true, "retries": true, "stop_limit": true}

// reloader applies changes of the settings file to a running daemon.
type reloader struct {
	daemon *Daemon
	path   string
	// read returns the settings from the file, overridden by the flags.
	read func() (*settings.Daemon, error)
	// signals receives each SIGHUP, which triggers a reload.
	signals <-chan os.Signal
	// lastStamp identifies the state of the file at the last reload, at first that at the start.
	lastStamp fileStamp
}

// fileStamp identifies the state of a file by its size and modification time.
type fileStamp struct {
	size     int64
	modified time.Time
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), modified: info.ModTime()}
}

// run reloads the settings on signals and file changes until ctx ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			if now := stampOf(r.path); now != r.lastStamp {
				r.reload("file")
			}
		}
	}
}

// reload reads the file and applies the reloadable settings. An invalid file changes nothing.
func (r *reloader) reload(cause string) {
	r.lastStamp = stampOf(r.path)
	d := r.daemon
	next, err := r.read()
	var changed []string
	if err == nil {
		changed, err = changedKeys(d.settings.Load(), next)
	}
	if err != nil {
		d.logger.Error(err, "settings.refused", "cause", cause)
		return
	}
	applied := slices.DeleteFunc(slices.Clone(changed), func(key string) bool { return !reloadable[key] })
	waiting := slices.DeleteFunc(changed, func(key string) bool { return reloadable[key] })
	updated := *d.settings.Load()
	updated.Service, updated.Retries, updated.StopLimit = next.Service, next.Retries, next.StopLimit
	d.settings.Store(&updated)
	d.path.gateway.LimitRetries(retryLimits(updated.Retries))
	d.logger.Info("settings.reloaded", "cause", cause, "changed", strings.Join(applied, ","),
		"need_restart", strings.Join(waiting, ","))
}

// changedKeys returns the sorted top-level keys whose values differ.
func changedKeys(before, after *settings.Daemon) (changed []string, err error) {
	old, err := valuesByKey(before)
	if err != nil {
		return nil, err
	}
	now, err := valuesByKey(after)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(now)) {
		if string(old[key]) != string(now[key]) {
			changed = append(changed, key)
		}
	}
	return changed, nil
}

// valuesByKey returns the JSON encoding of each top-level key.
func valuesByKey(read *settings.Daemon) (values map[string]json.RawMessage, err error) {
	encoded, err := json.Marshal(read)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the settings")
	}
	err = json.Unmarshal(encoded, &values)
	return values, errors.Wrap(err, "decoding the settings by key")
}
