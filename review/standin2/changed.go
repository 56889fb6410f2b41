package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["changed"] = changed }

// changed: safe requests have a body in chunks. A daemon beside an instance freezes and wakes again. Each instance that
// runs a request must have got the body that the client sent.
func changed(root, recordPath string) {
	const bodyBytes, freezes = 2000, 14
	s := newSite(root, recordPath, []string{"ffeiliau", "ffeiliau", "ffeiliau", "ffeiliau", "archeb"})
	s.configure(3, []string{"ffeiliau", "archeb"}, []route{
		{name: "job-status", prefix: "/lohu930/", kind: "safe", service: "ffeiliau", timeout: 6000, target: 2500, attempts: 2, priority: 2},
	})
	var mutex sync.Mutex
	var broken []string
	for _, m := range s.machines {
		m.start()
		i := m.startInstance(6, 880*time.Millisecond)
		i.began = func(in incoming) {
			if want := bodyOf(in.id, bodyBytes); !bytes.Equal(in.body, want) {
				mutex.Lock()
				defer mutex.Unlock()
				broken = append(broken, fmt.Sprintf("UNASKED: %s runs request %s with a body of %d bytes instead of the %d that its client sent", in.instance.id, in.id, len(in.body), len(want)))
				s.record.line("%s", broken[len(broken)-1])
			}
		}
		go i.beats()
	}
	s.awaitReady()
	time.Sleep(3 * time.Second)
	front := s.machines[4]
	served := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 18 {
		clients.Go(func() {
			c := &client{machine: front}
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := newID()
				got := c.sendChunked(id, "/lohu930/2f", 6*time.Second, bodyOf(id, bodyBytes))
				mutex.Lock()
				if got.whole() {
					served++
				}
				for _, r := range s.ledger.of(id) {
					if r.body != bodyBytes && got.err == nil && strings.HasPrefix(got.header.Get("Lapisvane-Server-Stamp"), r.instance+".") {
						s.record.line("the client of %s got the answer of the run with the changed body", id)
					}
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := range freezes {
		if victim := s.machines[round%4]; trouble() {
			victim.signal(syscall.SIGSTOP)
			time.Sleep(1200 * time.Millisecond)
			victim.signal(syscall.SIGCONT)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	s.record.line("%d requests were served", served)
	if served < 50 {
		check(fmt.Errorf("only %d requests were served", served))
	}
	s.finish(broken)
}

// bodyOf returns the body that a client sends with the request of an id.
func bodyOf(id string, size int) []byte { return []byte(answerBody("body of "+id+" ", size)) }

// sendChunked is like send for a POST with a body in two chunks.
func (c *client) sendChunked(id, path string, deadline time.Duration, body []byte) answer {
	began := time.Now()
	got := c.tryChunked(id, path, deadline, body)
	got.took = time.Since(began)
	if got.err != nil || got.header.Get("Connection") == "close" {
		c.close()
	}
	c.machine.site.record.line("client at %s: POST %s %s, %d bytes in chunks -> status %d err %v bytes %d in %d ms", c.machine.name, path, id, len(body), got.status, got.err, len(got.body), got.took.Milliseconds())
	return got
}

func (c *client) tryChunked(id, path string, deadline time.Duration, body []byte) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	var message bytes.Buffer
	writer := bufio.NewWriter(&message)
	_, _ = fmt.Fprintf(writer, "POST %s HTTP/1.1\r\nHost: %s\r\nLapisvane-Request-Id: %s\r\nLapisvane-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, id, deadline.Milliseconds())
	half := len(body) / 2
	_, _ = fmt.Fprintf(writer, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	_ = writer.Flush()
	if _, err := c.conn.Write(message.Bytes()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, err: err}
}
