package client

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Burst is a group of pipelined requests: a client sends all of them on one connection before it reads
// the first answer.
type Burst struct {
	// Classes are the classes of the requests in the order of sending.
	Classes         []Class
	BurstsPerSecond float64
}

// burstSender sends the bursts of one kind over persistent connections.
type burstSender struct {
	load      *Load
	burst     Burst
	transport *http.Transport

	// mutex protects idle, the unused connections by address.
	mutex sync.Mutex
	idle  map[string][]*pipelinedConn
}

// pipelinedConn is a connection for pipelined requests.
type pipelinedConn struct {
	net.Conn
	reader *bufio.Reader
}

// sendBursts sends bursts until ctx ends, then waits for the pending ones.
func (l *Load) sendBursts(ctx context.Context, burst Burst, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	sender := &burstSender{load: l, burst: burst, transport: transport, idle: map[string][]*pipelinedConn{}}
	defer sender.close()
	var running sync.WaitGroup
	defer running.Wait()
	for sleep.For(ctx, time.Duration(random.ExpFloat64()/burst.BurstsPerSecond*float64(time.Second))) {
		target := l.Targets[random.IntN(len(l.Targets))]
		running.Go(func() { sender.send(target) })
	}
}

// burstRequest is one request of a burst that is being sent.
type burstRequest struct {
	class    Class
	id       string
	body     []byte
	request  *http.Request
	started  time.Time
	deadline time.Time
	// sentAt is the time at which the whole burst was sent.
	sentAt time.Time
}

// send sends one burst and processes its answers.
func (s *burstSender) send(target Target) {
	address := target.Address()
	conn, err := s.acquire(address)
	if err != nil {
		s.retry(target, s.burst.Classes)
		return
	}
	requests := make([]*burstRequest, 0, len(s.burst.Classes))
	writer := bufio.NewWriter(conn)
	longest := time.Duration(0)
	for _, class := range s.burst.Classes {
		pending := s.prepare(class, target, address)
		requests = append(requests, pending)
		longest = max(longest, class.Deadline)
		// A failed write is detected when the answer is read.
		_ = pending.request.Write(writer)
	}
	_ = conn.SetDeadline(time.Now().Add(longest))
	_ = writer.Flush()
	for _, pending := range requests {
		pending.sentAt = time.Now()
	}
	s.receive(target, conn, address, requests)
}

func (s *burstSender) prepare(class Class, target Target, address string) *burstRequest {
	pending := &burstRequest{class: class, body: make([]byte, class.BodyBytes), started: time.Now()}
	pending.deadline = pending.started.Add(class.Deadline)
	pending.id = s.load.record(class, target, address, pending.body, class.Deadline.Milliseconds())
	pending.request, _ = newRequest(context.Background(), class, "http://"+address, pending.id, pending.body, class.Deadline.Milliseconds())
	return pending
}

// receive reads the answers in order. Requests after an answer that closes the connection count as not
// read by the daemon, and are retried even if they are unsafe.
func (s *burstSender) receive(target Target, conn *pipelinedConn, address string, requests []*burstRequest) {
	for index, pending := range requests {
		response, err := http.ReadResponse(conn.reader, pending.request)
		if err != nil {
			s.breakOff(target, conn, requests[index:], err)
			return
		}
		body := &errorRecorder{ReadCloser: response.Body}
		response.Body = body
		outcome, _, retry := s.load.evaluate(pending.class, pending.id, response)
		_ = response.Body.Close()
		if outcome == Served || !retry {
			s.load.Tally.add(outcome, time.Since(pending.started))
		} else {
			s.retry(target, []Class{pending.class})
		}
		if body.err != nil {
			// The rest of this answer would be taken for the next one.
			s.breakOff(target, conn, requests[index+1:], body.err)
			return
		}
		if response.Close {
			_ = conn.Close()
			s.recordUnanswered(requests[index+1:], fmt.Sprintf("closed by the answer %d to a %s", response.StatusCode, pending.class.Name))
			s.retryNotRead(target, requests[index+1:])
			return
		}
	}
	s.release(address, conn)
}

// breakOff closes a connection that cannot be read further, and handles the requests that it has not
// answered. A timeout means that the client gave them up.
func (s *burstSender) breakOff(target Target, conn *pipelinedConn, requests []*burstRequest, cause error) {
	_ = conn.Close()
	if !isTimeout(cause) {
		s.recordUnanswered(requests, cause.Error())
	}
	s.retryBroken(target, requests)
}

// recordUnanswered enters requests without an answer into the ledger.
func (s *burstSender) recordUnanswered(requests []*burstRequest, cause string) {
	for _, pending := range requests {
		s.load.Ledger.Unanswered(promise.Unanswered{Request: pending.id, SentAt: pending.sentAt, EndedAt: time.Now(), Cause: cause})
	}
}

// retryBroken handles requests whose connection broke. It retries only the safe ones, since the others
// may have run.
func (s *burstSender) retryBroken(target Target, requests []*burstRequest) {
	for _, pending := range requests {
		if pending.class.Safe {
			s.retry(target, []Class{pending.class})
			continue
		}
		s.load.Tally.add(Failed, time.Since(pending.started))
	}
}

// retryNotRead retries the requests that followed an answer that closed the connection.
func (s *burstSender) retryNotRead(target Target, requests []*burstRequest) {
	for _, pending := range requests {
		s.load.Ledger.Answered(promise.Answer{Request: pending.id, NotRead: true})
		s.retry(target, []Class{pending.class})
	}
}

// retry sends each request on a new connection.
func (s *burstSender) retry(target Target, classes []Class) {
	for _, class := range classes {
		s.load.request(class, target, s.transport, make([]byte, class.BodyBytes))
	}
}

func (s *burstSender) acquire(address string) (*pipelinedConn, error) {
	s.mutex.Lock()
	conns := s.idle[address]
	if len(conns) > 0 {
		conn := conns[len(conns)-1]
		s.idle[address] = conns[:len(conns)-1]
		s.mutex.Unlock()
		return conn, nil
	}
	s.mutex.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &pipelinedConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (s *burstSender) release(address string, conn *pipelinedConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle[address] = append(s.idle[address], conn)
}

func (s *burstSender) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conns := range s.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
