package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the site.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// drain checks DRAIN: an instance takes itself off the list with DELETE, which is acknowledged, all daemons
// are killed at once, and a heartbeat that the instance sent before arrives late.
func drain(l *lab) {
	l.store.put("config", "main", configuration(7, nil))
	stays := l.addMachine("machine-1", "kgn-halfway", "kgn", serviceOrders, smallSettings)
	leaves := l.addMachine("machine-2", "kgn-newport", "kgn", serviceOrders, smallSettings)
	staying := &instance{lab: l, id: "i-staying", service: serviceOrders, machine: stays, slots: 12, work: 300 * time.Millisecond}
	leaving := &instance{lab: l, id: "i-leaving", service: serviceOrders, machine: leaves, slots: 12, work: 300 * time.Millisecond}
	for _, i := range []*instance{staying, leaving} {
		i.start()
		i.keepBeating()
	}
	l.startAll()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for _, m := range l.machines {
		sending.Go(func() {
			newClient(l, m).sendEvery(50*time.Millisecond, call{method: http.MethodPost, host: hostOrders, path: "/order/2f", deadline: 3 * time.Second}, stop)
		})
	}
	time.Sleep(contactBound + 2*time.Second)

	leaving.beating.Store(false)
	leaving.delayedBeat(3 * time.Second)
	time.Sleep(500 * time.Millisecond)
	if status := leaving.send(http.MethodDelete, nil); status/100 != 2 {
		must(0, fmt.Errorf("the DELETE got no acknowledgement: %d", status))
	}
	acknowledgedAt := time.Now()
	l.record("machine-2 acknowledged that i-leaving is gone")
	time.Sleep(300 * time.Millisecond)
	if l.trouble {
		l.killAll()
		time.Sleep(300 * time.Millisecond)
		for _, m := range l.machines {
			m.start()
		}
	}
	// The instance keeps serving for some seconds, and ends.
	time.Sleep(time.Until(acknowledgedAt.Add(7 * time.Second)))
	leaving.end()
	time.Sleep(2 * time.Second)
	close(stop)
	sending.Wait()

	late, lost := l.runsAfter(leaving.id, acknowledgedAt.Add(drainBound))
	l.finish(late > 0, fmt.Sprintf(
		"DRAIN: %d requests, taken and sent on by machines in touch, reached i-leaving more than %s after the acknowledgement that it is gone; %d of them got no answer from it", late, drainBound, lost))
}

// runsAfter counts the runs at an instance after a time, of requests sent when all daemons had run for
// contactBound, and those of them that it did not answer.
func (l *lab) runsAfter(instance string, after time.Time) (count, unanswered int) {
	inTouch := after
	for _, m := range l.machines {
		if since := m.startedAt.Add(contactBound); since.After(inTouch) {
			inTouch = since
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sentAt := map[string]time.Time{}
	for _, a := range l.answers {
		sentAt[a.id] = a.sentAt
	}
	for _, r := range l.runs {
		if r.instance != instance || !r.at.After(after) || !sentAt[r.id].After(inTouch) {
			continue
		}
		count++
		if !r.answered {
			unanswered++
		}
	}
	return count, unanswered
}
