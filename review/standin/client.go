package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// call describes the requests of one client.
type call struct {
	method, host, path, key string
	deadline                time.Duration
	// bytes is the length of the body; 0 for a short one.
	bytes int
}

// client sends requests to the outbound address of one machine, each on a connection of its own, so that
// its library never sends one again.
type client struct {
	lab     *lab
	machine *machine
	http    *http.Client
}

func newClient(l *lab, m *machine) *client {
	return &client{lab: l, machine: m, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request and records it with its answer.
func (c *client) send(made call) answered {
	sent := answered{id: fmt.Sprintf("%016x", rand.Uint64()), machine: c.machine.name, sentAt: time.Now()}
	var body io.Reader
	if made.method == http.MethodPost {
		content := "order " + sent.id
		body = strings.NewReader(content + strings.Repeat("x", max(made.bytes-len(content), 0)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), made.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { sent.kept = got.Reused }})
	request := must(http.NewRequestWithContext(ctx, made.method, "http://"+c.machine.outbound+made.path, body))
	request.Host = made.host
	request.Header.Set("Lapisvane-Request-Id", sent.id)
	request.Header.Set("Lapisvane-Deadline-Ms", fmt.Sprint(made.deadline.Milliseconds()))
	if made.key != "" {
		request.Header.Set("Lapisvane-Credential", made.key)
		sent.tenant = " with the tenant's key"
	}
	response, err := c.http.Do(request)
	if err == nil {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		sent.status = response.StatusCode
		if readErr == nil {
			sent.body = strings.TrimSpace(string(content))
		}
	}
	sent.endedAt = time.Now()
	c.lab.mutex.Lock()
	defer c.lab.mutex.Unlock()
	c.lab.answers = append(c.lab.answers, sent)
	return sent
}

// sendEvery sends requests at a rate, without waiting for answers, until stop is closed. It returns when
// all of them have ended.
func (c *client) sendEvery(interval time.Duration, made call, stop <-chan struct{}) {
	var sending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer sending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			sending.Go(func() { c.send(made) })
		}
	}
}
