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

// Burst is a row of requests that a client sends on one connection before the
// first of them is answered.
type Burst struct {
	// Classes are the kinds of the requests, in their order.
	Classes   []Class
	PerSecond float64
}

// sender sends the bursts of one kind over connections that it keeps.
type sender struct {
	load      *Load
	burst     Burst
	transport *http.Transport

	// mutex protects idle, the kept connections by address.
	mutex sync.Mutex
	idle  map[string][]*aheadConn
}

// aheadConn is a connection on which requests are sent ahead.
type aheadConn struct {
	net.Conn
	reader *bufio.Reader
}

// sendBursts sends bursts until ctx ends, and waits for those on their way.
func (l *Load) sendBursts(ctx context.Context, burst Burst, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	sending := &sender{load: l, burst: burst, transport: transport, idle: map[string][]*aheadConn{}}
	defer sending.close()
	var running sync.WaitGroup
	defer running.Wait()
	for sleep.For(ctx, time.Duration(random.ExpFloat64()/burst.PerSecond*float64(time.Second))) {
		target := l.Targets[random.IntN(len(l.Targets))]
		running.Go(func() { sending.send(target) })
	}
}

// sent is one request of a burst on its way.
type sent struct {
	class    Class
	id       string
	body     []byte
	request  *http.Request
	started  time.Time
	deadline time.Time
	// sentAt is when the whole burst was sent.
	sentAt time.Time
}

// send sends one burst and handles its answers.
func (s *sender) send(target Target) {
	address := target.Address()
	conn, err := s.take(address)
	if err != nil {
		s.retry(target, s.burst.Classes)
		return
	}
	requests := make([]*sent, 0, len(s.burst.Classes))
	writer := bufio.NewWriter(conn)
	longest := time.Duration(0)
	for _, class := range s.burst.Classes {
		one := s.prepare(class, target, address)
		requests = append(requests, one)
		longest = max(longest, class.Deadline)
		// A failed write shows when the answer is read.
		_ = one.request.Write(writer)
	}
	_ = conn.SetDeadline(time.Now().Add(longest))
	_ = writer.Flush()
	for _, one := range requests {
		one.sentAt = time.Now()
	}
	s.receive(target, conn, address, requests)
}

func (s *sender) prepare(class Class, target Target, address string) *sent {
	one := &sent{class: class, body: make([]byte, class.BodyBytes), started: time.Now()}
	one.deadline = one.started.Add(class.Deadline)
	one.id = s.load.announce(class, target, address, one.body, class.Deadline.Milliseconds())
	one.request, _ = newRequest(context.Background(), class, "http://"+address, one.id, one.body, class.Deadline.Milliseconds())
	return one
}

// receive reads the answers in their order. Behind an answer that closes the
// connection nothing counts as read, and is sent again whatever its kind.
func (s *sender) receive(target Target, conn *aheadConn, address string, requests []*sent) {
	for index, one := range requests {
		response, err := http.ReadResponse(conn.reader, one.request)
		if err != nil {
			_ = conn.Close()
			if !isTimeout(err) {
				s.noteUnanswered(requests[index:], err.Error())
			}
			s.retryBroken(target, requests[index:])
			return
		}
		outcome, _, again := s.load.evaluate(one.class, one.id, response)
		_ = response.Body.Close()
		if outcome == Served || !again {
			s.load.Tally.add(outcome, time.Since(one.started))
		} else {
			s.retry(target, []Class{one.class})
		}
		if response.Close {
			_ = conn.Close()
			s.noteUnanswered(requests[index+1:], fmt.Sprintf("closed by the answer %d to a %s", response.StatusCode, one.class.Name))
			s.notRead(target, requests[index+1:])
			return
		}
	}
	s.put(address, conn)
}

// noteUnanswered enters requests without an answer into the ledger.
func (s *sender) noteUnanswered(requests []*sent, how string) {
	for _, one := range requests {
		s.load.Ledger.Unanswered(promise.Unanswered{Request: one.id, SentAt: one.sentAt, EndedAt: time.Now(), Cause: how})
	}
}

// retryBroken is for requests whose connection broke: only what may run twice is sent again.
func (s *sender) retryBroken(target Target, requests []*sent) {
	for _, one := range requests {
		if one.class.Safe {
			s.retry(target, []Class{one.class})
			continue
		}
		s.load.Tally.add(Failed, time.Since(one.started))
	}
}

// notRead sends again what stood behind a closing answer.
func (s *sender) notRead(target Target, requests []*sent) {
	for _, one := range requests {
		s.load.Ledger.Answered(promise.Answer{Request: one.id, NotRead: true})
		s.retry(target, []Class{one.class})
	}
}

// retry sends requests on connections of their own.
func (s *sender) retry(target Target, classes []Class) {
	for _, class := range classes {
		s.load.request(class, target, s.transport, make([]byte, class.BodyBytes))
	}
}

func (s *sender) take(address string) (*aheadConn, error) {
	s.mutex.Lock()
	kept := s.idle[address]
	if len(kept) > 0 {
		conn := kept[len(kept)-1]
		s.idle[address] = kept[:len(kept)-1]
		s.mutex.Unlock()
		return conn, nil
	}
	s.mutex.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &aheadConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (s *sender) put(address string, conn *aheadConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle[address] = append(s.idle[address], conn)
}

func (s *sender) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, kept := range s.idle {
		for _, conn := range kept {
			_ = conn.Close()
		}
	}
}
