package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// replacement checks RECOVER: the instances of a service are replaced one after the other, with their
// machines, twice; then all daemons are killed right after a configuration was acknowledged.
func replacement(l *lab) {
	tenants := &table{
		Columns: []string{"name", "api-keys", "priority", "rate-per-s", "burst"},
		Rows:    [][]any{{"hule930", []string{tenantKey}, 1, 40.0, 40.0}},
	}
	l.store.put("config", "main", configuration(7, tenants))
	zones := []string{"hu-a", "hu-b", "hu-c"}
	number := 0
	add := func(zone string) (*machine, *instance) {
		number++
		m := l.addMachine(fmt.Sprintf("machine-%d", number), zone, "hu", serviceOrders, tenantSettings)
		i := &instance{lab: l, id: fmt.Sprintf("i-%d", number), service: serviceOrders, machine: m, slots: 9, work: 20 * time.Millisecond}
		i.start()
		i.keepBeating()
		return m, i
	}
	var present []*instance
	for _, zone := range zones {
		_, i := add(zone)
		present = append(present, i)
	}
	l.startAll()
	time.Sleep(2 * time.Second)
	traffic := newTraffic(l, call{method: http.MethodGet, host: hostOrders, path: "/read/2f", key: tenantKey, deadline: 2500 * time.Millisecond})
	traffic.use(present)
	beganAt := time.Now()
	time.Sleep(10 * time.Second)

	for round := 0; l.trouble && round < 2; round++ {
		for index, zone := range zones {
			m, i := add(zone)
			m.start()
			for until := time.Now().Add(10 * time.Second); !m.isReady() && time.Now().Before(until); {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			old := present[index]
			present[index] = i
			traffic.use(present)
			old.leave(2500 * time.Millisecond)
			old.machine.terminate()
		}
	}
	time.Sleep(2 * time.Second)
	l.store.put("config", "main", configuration(9, tenants))
	l.record("the store acknowledged configuration 9")
	faultAt := time.Now()
	for _, i := range present {
		i.machine.kill()
	}
	time.Sleep(700 * time.Millisecond)
	for _, i := range present {
		i.machine.start()
	}
	backAt := time.Now()
	l.record("final fault over: the machines are back")
	time.Sleep(recoveryBound + 10*time.Second)
	traffic.stop()

	l.finishRecovery(beganAt, faultAt, backAt)
}

// leave lets an instance leave as planned: it says that it drains, keeps serving for drain and a little
// longer, takes itself off the list and ends.
func (i *instance) leave(drain time.Duration) {
	i.draining.Store(true)
	_, body := i.beat()
	i.lab.record("instance %s says that it drains: %d", i.id, i.send(http.MethodPut, body))
	time.Sleep(drain + 300*time.Millisecond)
	i.beating.Store(false)
	i.lab.record("instance %s takes itself off the list: %d", i.id, i.send(http.MethodDelete, nil))
	i.end()
}

// terminate stops the daemon with SIGTERM, and with SIGKILL after the site's grace-s of 6 s.
func (m *machine) terminate() {
	_ = m.process.Process.Signal(syscall.SIGTERM)
	killing := time.AfterFunc(6*time.Second, func() { _ = m.process.Process.Kill() })
	_ = m.process.Wait()
	killing.Stop()
	m.lab.record("daemon %s stopped for good", m.name)
}

// traffic sends requests to the machines in use.
type traffic struct {
	ended   chan struct{}
	sending sync.WaitGroup
	mutex   sync.Mutex
	clients []*client
}

// newTraffic starts to send twenty requests a second, to one machine in use after the other.
func newTraffic(l *lab, made call) *traffic {
	t := &traffic{ended: make(chan struct{})}
	t.sending.Go(func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for turn := 0; ; turn++ {
			select {
			case <-t.ended:
				return
			case <-ticker.C:
			}
			t.mutex.Lock()
			if len(t.clients) > 0 {
				next := t.clients[turn%len(t.clients)]
				t.sending.Go(func() { next.send(made) })
			}
			t.mutex.Unlock()
		}
	})
	return t
}

// use replaces the machines in use by those of the instances.
func (t *traffic) use(present []*instance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clients = nil
	for _, i := range present {
		t.clients = append(t.clients, newClient(i.lab, i.machine))
	}
}

func (t *traffic) stop() {
	close(t.ended)
	t.sending.Wait()
}
