package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateHeartbeat checks RECOVER: instances crash and start again under new ids at the same addresses, all daemons
// are killed at once right after a configuration was acknowledged, and the first heartbeats of the crashed
// instances arrive late.
func lateHeartbeat(l *lab) {
	l.store.put("config", "main", configuration(7, nil))
	l.addMachine("machine-1", "kgn-halfway", "kgn", serviceOrders, smallSettings)
	l.addMachine("machine-2", "kgn-newport", "kgn", serviceOrders, smallSettings)
	start := func(life int) (started []*instance) {
		for index, m := range l.machines {
			i := &instance{lab: l, id: fmt.Sprintf("i-%d-life-%d", index+1, life), service: serviceOrders, machine: m, slots: 12, work: 100 * time.Millisecond}
			i.start()
			started = append(started, i)
		}
		return started
	}
	first := start(1)
	for _, i := range first {
		i.keepBeating()
	}
	l.startAll()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for _, m := range l.machines {
		sending.Go(func() {
			newClient(l, m).sendEvery(50*time.Millisecond, call{method: http.MethodGet, host: hostOrders, path: "/read/2f", deadline: 2500 * time.Millisecond}, stop)
		})
	}
	beganAt := time.Now()
	time.Sleep(8 * time.Second)

	for _, i := range first {
		i.end()
	}
	time.Sleep(300 * time.Millisecond)
	second := start(2)
	if l.trouble {
		for _, i := range second {
			i.delayedBeat(5500 * time.Millisecond)
		}
	}
	time.Sleep(600 * time.Millisecond)
	for _, i := range second {
		i.end()
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range start(3) {
		i.keepBeating()
	}
	time.Sleep(time.Second)
	l.store.put("config", "main", configuration(9, nil))
	l.record("the store acknowledged configuration 9")
	faultAt := time.Now()
	l.killAll()
	time.Sleep(700 * time.Millisecond)
	for _, m := range l.machines {
		m.start()
	}
	backAt := time.Now()
	l.record("final fault over: the machines are back")
	time.Sleep(recoveryBound + 10*time.Second)
	close(stop)
	sending.Wait()

	l.finishRecovery(beganAt, faultAt, backAt)
}
