package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cutoff"] = cutoff }

// cutoff: sound instances send the head of an answer without a length as soon as they begin, and its body at the end
// of their work. A daemon beside such an instance is killed meanwhile. The daemon that took the requests from kept
// connections must not close these without an answer.
func cutoff(root, recordPath string) {
	s := newSite(root, recordPath, []string{"fleet-yard", "fleet-yard", "ride-desk"})
	s.configure(3, []string{"ride-desk", "fleet-yard"}, []route{
		{name: "fleet-report", prefix: "/lohu930/", kind: "unsafe", service: "fleet-yard", timeout: 4000, target: 2000, attempts: 2, priority: 1},
	})
	for _, m := range s.machines {
		m.start()
		i := m.startInstance(6, 0)
		if m.service == "fleet-yard" {
			i.respond = func(in incoming) (handled, keep bool) {
				if !write(in.conn, in.head(200)+"Connection: close\r\n\r\n") {
					return true, false
				}
				time.Sleep(240 * time.Millisecond)
				write(in.conn, answerBody(in.stamp, 1500))
				return true, false
			}
		}
		go i.beats()
	}
	s.awaitReady()
	time.Sleep(3 * time.Second)
	front := s.machines[2]
	var mutex sync.Mutex
	var broken []string
	served := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() {
			c := &client{machine: front}
			for kept := false; ; time.Sleep(50 * time.Millisecond) {
				select {
				case <-stop:
					return
				default:
				}
				id := newID()
				wasKept := kept && c.conn != nil
				got := c.send(id, "POST", "/lohu930/2f", 4*time.Second, []byte("report=7"))
				kept = got.err == nil
				mutex.Lock()
				if got.whole() {
					served++
				}
				closed := got.err != nil && (errors.Is(got.err, io.EOF) || errors.Is(got.err, io.ErrUnexpectedEOF) || errors.Is(got.err, syscall.ECONNRESET) || strings.Contains(got.err.Error(), "EOF"))
				if closed && wasKept && len(s.ledger.of(id)) > 0 {
					broken = append(broken, fmt.Sprintf("LOST: request %s ran, and its kept connection was closed after status %d and %d bytes (%v)", id, got.status, len(got.body), got.err))
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		for round := range 4 {
			victim := s.machines[round%2]
			victim.kill()
			time.Sleep(500 * time.Millisecond)
			victim.start()
			time.Sleep(5 * time.Second)
		}
	} else {
		time.Sleep(22 * time.Second)
	}
	close(stop)
	clients.Wait()
	s.record.line("%d requests were served, %d connections were closed", served, len(broken))
	if served < 100 {
		check(fmt.Errorf("only %d requests were served", served))
	}
	if len(broken) <= 3 {
		broken = nil
	}
	s.finish(broken)
}
