package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// whole reports whether the answer is a success with its stamp and its whole body.
func (a answer) whole() bool {
	stamp := a.header.Get("Lapisvane-Server-Stamp")
	return a.err == nil && a.status == 200 && stamp != "" && string(a.body) == answerBody(stamp, len(a.body)) && len(a.body) > 0
}

// client keeps one connection to the daemon of a machine.
type client struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

var requestNumber atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+requestNumber.Add(1)) }

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.machine.at(portOutbound), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// send makes one attempt and waits for its answer, for at most the deadline.
func (c *client) send(id, method, path string, deadline time.Duration, body []byte) answer {
	began := time.Now()
	got := c.try(id, method, path, deadline, body)
	got.took = time.Since(began)
	if got.err != nil || got.header.Get("Connection") == "close" {
		c.close()
	}
	c.machine.site.record.line("client at %s: %s %s %s -> status %d err %v bytes %d in %d ms", c.machine.name, method, path, id, got.status, got.err, len(got.body), got.took.Milliseconds())
	return got
}

func (c *client) try(id, method, path string, deadline time.Duration, body []byte) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nLapisvane-Request-Id: %s\r\nLapisvane-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write(join([]byte(head+"\r\n"), body)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, err: err}
}
