package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

// refused: an instance spoils a few of its answers with a byte that is no UTF-8. Unsafe requests that it has run
// must not be answered with a promise that they have not.
func refused(root, recordPath string) {
	const spoiledShare = 0.02
	s := newSite(root, recordPath, []string{"ride-desk", "ride-desk", "fleet-yard", "fleet-yard"})
	s.configure(3, []string{"ride-desk", "fleet-yard"}, []route{
		{name: "unlock-charge", prefix: "/pufi791/", kind: "unsafe", service: "ride-desk", timeout: 600, target: 250, attempts: 2, priority: 1},
	})
	for index, m := range s.machines {
		m.start()
		i := m.startInstance(6, 20*time.Millisecond)
		if index == 0 && trouble() {
			i.respond = func(in incoming) (handled, keep bool) {
				if rand.Float64() >= spoiledShare {
					return false, true
				}
				s.record.line("%s spoils its answer to %s", in.instance.id, in.id)
				content := answerBody(in.stamp, 600)
				return true, write(in.conn, in.head(200)+fmt.Sprintf("X-Dock: caf\xe9\r\nContent-Length: %d\r\n\r\n", len(content))+content)
			}
		}
		go i.beats()
	}
	s.awaitReady()
	time.Sleep(3 * time.Second)
	var mutex sync.Mutex
	var broken []string
	served := 0
	var clients sync.WaitGroup
	for _, m := range s.machines {
		for range 4 {
			clients.Go(func() {
				c := &client{machine: m}
				for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(90 * time.Millisecond) {
					id := newID()
					got := c.send(id, "POST", "/pufi791/2f", 600*time.Millisecond, []byte("bike=7&fare=250"))
					ran := s.ledger.of(id)
					mutex.Lock()
					if got.whole() {
						served++
					}
					if len(ran) > 0 && (got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421) {
						broken = append(broken, fmt.Sprintf("REFUSED: unsafe request %s ran at %s and its client got %d (%s)", id, ran[0].instance, got.status, got.body))
					}
					if len(ran) > 1 {
						broken = append(broken, fmt.Sprintf("TWICE: unsafe request %s ran %d times", id, len(ran)))
					}
					mutex.Unlock()
				}
			})
		}
	}
	clients.Wait()
	s.record.line("%d requests were served", served)
	if served < 500 {
		check(fmt.Errorf("only %d requests were served", served))
	}
	s.finish(broken)
}
