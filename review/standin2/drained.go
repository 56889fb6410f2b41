package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drained"] = drained }

// drained: an instance leaves and is acknowledged. Right after that all daemons are killed while the store is down,
// and two heartbeats that the instance sent before arrive late. It must not get requests again.
func drained(root, recordPath string) {
	const drainBound = 2 * time.Second
	s := newSite(root, recordPath, []string{"fleet-yard", "fleet-yard"})
	s.configure(3, []string{"fleet-yard"}, []route{
		{name: "fleet-report", prefix: "/lohu930/", kind: "safe", service: "fleet-yard", timeout: 1500, target: 600, attempts: 2, priority: 1},
	})
	var mutex sync.Mutex
	var broken []string
	var acknowledged time.Time
	var instances []*instance
	for _, m := range s.machines {
		m.start()
		instances = append(instances, m.startInstance(6, 20*time.Millisecond))
	}
	leaving := instances[0]
	leaving.arrived = func(id string, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		if since := time.Since(acknowledged); !acknowledged.IsZero() && since > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached %s %d ms after its leaving was acknowledged", id, leaving.id, since.Milliseconds()))
		}
	}
	for _, i := range instances[1:] {
		go i.beats()
	}
	s.awaitReady()
	for range 4 {
		_ = leaving.beat("ready")
		time.Sleep(1500 * time.Millisecond)
	}
	end := time.Now().Add(15 * time.Second)
	served := 0
	var clients sync.WaitGroup
	for index := range 8 {
		clients.Go(func() {
			c := &client{machine: s.machines[index%2]}
			for ; time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
				if c.send(newID(), "GET", "/lohu930/2f", 1500*time.Millisecond, nil).whole() {
					mutex.Lock()
					served++
					mutex.Unlock()
				}
			}
		})
	}
	for range 2 {
		go func() {
			s.record.line("heartbeat of %s: %v", leaving.id, leaving.beatLate("ready", 4*time.Second))
		}()
		time.Sleep(1500 * time.Millisecond)
	}
	for leaving.tell(http.MethodDelete, nil) != nil {
		time.Sleep(100 * time.Millisecond)
	}
	mutex.Lock()
	acknowledged = time.Now()
	mutex.Unlock()
	s.record.line("the leaving of %s is acknowledged", leaving.id)
	if trouble() {
		s.store.down.Store(true)
		s.record.line("the store is down")
		for _, m := range s.machines {
			m.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range s.machines {
			m.start()
		}
		time.Sleep(4600 * time.Millisecond)
		s.store.down.Store(false)
		s.record.line("the store is back")
	}
	clients.Wait()
	s.record.line("%d requests were served", served)
	if served < 200 {
		check(fmt.Errorf("only %d requests were served", served))
	}
	s.finish(broken)
}
