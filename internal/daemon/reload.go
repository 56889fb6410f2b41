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

// settingsPoll is how often the settings file is checked: it may change without a signal.
const settingsPoll = 2 * time.Second

// reloadable are the settings that take effect while the daemon runs, by the
// first part of their key.
var reloadable = map[string]bool{"service": true, "retries": true, "stop_limit": true}

// reloader applies changes of the settings file.
type reloader struct {
	daemon *Daemon
	path   string
	// read reads the file with the flags over it.
	read func() (*settings.Daemon, error)
	// signals asks for the file to be read.
	signals <-chan os.Signal
	seen    fileStamp
}

// fileStamp identifies a state of a file.
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

// run applies changes until ctx ends.
func (r *reloader) run(ctx context.Context) {
	r.seen = stampOf(r.path)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			if now := stampOf(r.path); now != r.seen {
				r.reload("file")
			}
		}
	}
}

// reload reads the file and puts in force what may change; a file that cannot
// be used changes nothing.
func (r *reloader) reload(cause string) {
	r.seen = stampOf(r.path)
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

// changedKeys returns the first parts of the keys whose values differ, in order.
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

// valuesByKey returns the encoded settings by the first part of their key.
func valuesByKey(read *settings.Daemon) (values map[string]json.RawMessage, err error) {
	encoded, err := json.Marshal(read)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the settings")
	}
	err = json.Unmarshal(encoded, &values)
	return values, errors.Wrap(err, "decoding the settings by key")
}
