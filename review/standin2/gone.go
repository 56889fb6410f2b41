package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// In three spans of 5 s, 1.7 times as many clients come, and leavingShare of the clients leave within
// leavingWithinMillis, half of their objective.
const (
	usualClients, burstClients = 36, 61
	leavingShare               = 0.3
	leavingWithinMillis        = 750
)

func disrupted(after time.Duration) bool {
	inPeriod := after % (9 * time.Second)
	return trouble() && inPeriod > 3*time.Second && inPeriod < 8*time.Second && after < 27*time.Second
}

// gone: many users come at once, so that uploads wait for a slot, and some of their clients leave. Instances must not
// get more than a few requests whose clients closed their connections over half a second before.
func gone(root, recordPath string) {
	s := newSite(root, recordPath, []string{"fleet-yard", "fleet-yard", "ride-desk"})
	s.configure(3, []string{"ride-desk", "fleet-yard"}, []route{
		{name: "depot-upload", prefix: "/pule252/", kind: "upload", service: "fleet-yard", timeout: 4000, target: 1500, attempts: 2, priority: 1},
	})
	var mutex sync.Mutex
	closedAt := map[string]time.Time{}
	var broken []string
	for _, m := range s.machines {
		m.start()
		i := m.startInstance(6, 260*time.Millisecond)
		i.arrived = func(id string, request *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			if at, left := closedAt[id]; left {
				late := time.Since(at)
				s.record.line("upload %s arrives %d ms after its client left", id, late.Milliseconds())
				if late > 500*time.Millisecond {
					broken = append(broken, fmt.Sprintf("GONE: upload %s reached an instance %d ms after its client had closed its connection", id, late.Milliseconds()))
				}
			}
		}
		go i.beats()
	}
	s.awaitReady()
	time.Sleep(3 * time.Second)
	body := make([]byte, 150_000)
	began := time.Now()
	end := began.Add(30 * time.Second)
	var clients sync.WaitGroup
	served := 0
	for number := range burstClients {
		clients.Go(func() {
			c := &client{machine: s.machines[2]}
			for time.Now().Before(end) {
				if number >= usualClients && !disrupted(time.Since(began)) {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				id := newID()
				if disrupted(time.Since(began)) && rand.Float64() < leavingShare {
					leave(c, id, body, time.Duration(rand.IntN(leavingWithinMillis))*time.Millisecond, func() {
						mutex.Lock()
						defer mutex.Unlock()
						closedAt[id] = time.Now()
					})
					continue
				}
				got := c.send(id, "POST", "/pule252/2f", 4*time.Second, body)
				mutex.Lock()
				if got.whole() {
					served++
				}
				mutex.Unlock()
				if got.status == 503 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	s.record.line("%d uploads were served", served)
	if len(broken) <= 5 {
		s.record.line("%d uploads arrived late", len(broken))
		broken = nil
	}
	s.finish(broken)
}

// leave sends a request and closes the connection after a time, unless the answer comes first.
func leave(c *client, id string, body []byte, after time.Duration, closing func()) {
	c.close()
	conn, err := net.DialTimeout("tcp", c.machine.at(portOutbound), time.Second)
	if err != nil {
		return
	}
	head := fmt.Sprintf("POST /pule252/2f HTTP/1.1\r\nHost: %s\r\nLapisvane-Request-Id: %s\r\nLapisvane-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", host, id, len(body))
	_ = conn.SetDeadline(time.Now().Add(after))
	_, _ = conn.Write(join([]byte(head), body))
	var answered [1]byte
	if count, _ := conn.Read(answered[:]); count == 0 {
		closing()
		c.machine.site.record.line("client of %s leaves after %d ms", id, after.Milliseconds())
	}
	_ = conn.Close()
}
