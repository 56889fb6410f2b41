package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Limits of the tenant, and the site's bounds for them (quota-window-s, quota-overshoot, quota-slack).
const (
	tenantRate     = 5.0
	tenantBurst    = 80.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	tenantKey      = "26tta828m82thhkmgjqn"
)

// quota checks QUOTA: all daemons are killed at once during an outage of the store, and the outage ends.
func quota(l *lab) {
	tenants := &table{
		Columns: []string{"name", "api-keys", "priority", "rate-per-s", "burst"},
		Rows:    [][]any{{"hule930", []string{tenantKey}, 1, tenantRate, tenantBurst}},
	}
	l.store.put("config", "main", configuration(7, tenants))
	zones := []string{"hu-a", "hu-b", "hu-c", "hu-d"}
	var names []string
	for index, zone := range zones {
		m := l.addMachine(fmt.Sprintf("machine-%d", index+1), zone, "hu", serviceOrders, tenantSettings)
		names = append(names, m.name)
		instance := &instance{lab: l, id: fmt.Sprintf("i-%d", index+1), service: serviceOrders, machine: m, slots: 9, work: 10 * time.Millisecond}
		instance.start()
		instance.keepBeating()
	}
	l.startAll()
	time.Sleep(4 * time.Second)
	if l.trouble {
		l.store.setDown(true)
		l.record("the store is down: 503 to every call")
		time.Sleep(time.Second)
		l.killAll()
		time.Sleep(500 * time.Millisecond)
		for _, m := range l.machines {
			m.start()
		}
		l.store.setDown(true)
		// The outage ends when each daemon has asked for the other members five times without an answer.
		for until := time.Now().Add(20 * time.Second); !l.store.madeMemberCalls(names, 5) && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		l.store.setDown(false)
		l.record("the store is up again")
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for _, m := range l.machines {
		sending.Go(func() {
			newClient(l, m).sendEvery(10*time.Millisecond, call{method: http.MethodGet, host: hostOrders, path: "/read/2f", key: tenantKey, deadline: 2500 * time.Millisecond}, stop)
		})
	}
	time.Sleep(12 * time.Second)
	close(stop)
	sending.Wait()
	most, at := l.mostInWindow(quotaWindow)
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	l.finish(float64(most) > bound, fmt.Sprintf(
		"QUOTA: %d requests of the tenant were sent and run within %s from %.3f s on; allowed are %.1f", most, quotaWindow, at.Sub(l.started).Seconds(), bound))
}

// mostInWindow returns the largest number of requests that were both sent and run within a window, and
// when that begins.
func (l *lab) mostInWindow(window time.Duration) (most int, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sentAt := map[string]time.Time{}
	for _, a := range l.answers {
		sentAt[a.id] = a.sentAt
	}
	starts := []time.Time{}
	for _, r := range l.runs {
		starts = append(starts, sentAt[r.id])
	}
	slices.SortFunc(starts, time.Time.Compare)
	for _, start := range starts {
		count := 0
		for _, r := range l.runs {
			if !sentAt[r.id].Before(start) && !r.at.After(start.Add(window)) {
				count++
			}
		}
		if count > most {
			most, at = count, start
		}
	}
	return most, at
}
