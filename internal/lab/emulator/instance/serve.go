package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

// Request header fields that control how an instance handles the request.
const (
	// HeaderAnswerBytes is the size of the answer's body in bytes.
	HeaderAnswerBytes = "Emulator-Answer-Bytes"
	// HeaderCall is the path of a call that the instance makes while it runs the request. The call goes
	// to the request's host, through the daemon on the instance's machine.
	HeaderCall = "Emulator-Call"
	// HeaderCrash marks a poison request; the value is its name.
	HeaderCrash = "Emulator-Crash"
)

// PathHealth is the path of an instance's health check.
const PathHealth = "/health"

const defaultAnswerBytes = 200

// resetDelay is the time between a partial answer and the reset of its connection. Without it the reset
// could discard the part that was sent.
const resetDelay = 5 * time.Millisecond

// disposition is the state of a connection after a request.
type disposition int

const (
	connectionKept disposition = iota
	connectionClosed
	// connectionHangs leaves the connection open without any further answer.
	connectionHangs
)

// accept accepts connections until the instance ends.
func (i *Instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mutex.Lock()
		i.conns[conn] = true
		i.mutex.Unlock()
		i.goroutines.Go(func() {
			i.serveConnection(conn)
			_ = conn.Close()
			i.mutex.Lock()
			delete(i.conns, conn)
			i.mutex.Unlock()
		})
	}
}

// serveConnection serves the requests of one connection.
func (i *Instance) serveConnection(conn net.Conn) {
	reader := bufio.NewReader(conn)
	idle := time.Duration(0)
	for i.stopped.Err() == nil {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if idleTimeout := i.currentBehaviour().IdleTimeout; idleTimeout > 0 && idle > idleTimeout {
			reset(conn)
			return
		}
		if i.currentBehaviour().Silent {
			<-i.stopped.Done()
			return
		}
		result, nextIdle := i.serve(conn, reader, request)
		if result == connectionClosed {
			return
		}
		idle = nextIdle
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve answers one request and returns the idle time of the connection after the answer.
func (i *Instance) serve(conn net.Conn, reader *bufio.Reader, request *http.Request) (result disposition, idle time.Duration) {
	id := request.Header.Get(platform.HeaderRequestID)
	if request.URL.Path == PathHealth {
		return i.health(conn), 0
	}
	i.options.Ledger.Arrived(id)
	expected := request.Header.Get(platform.HeaderExpectedInstance)
	misdirected := expected != "" && expected != i.ID()
	if !misdirected {
		i.recordDelivery(id, request.Header.Get(HeaderCrash))
	}
	behaviour := i.currentBehaviour()
	if i.chance(behaviour.EarlyRefusalShare) && request.ContentLength > 0 {
		return i.refuse(conn, request, http.StatusServiceUnavailable, connectionClosed), 0
	}
	if misdirected {
		_, _ = io.Copy(io.Discard, request.Body)
		return i.refuse(conn, request, http.StatusMisdirectedRequest, connectionKept), 0
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return connectionClosed, 0
	}
	ctx, cancel, ended := i.watch(request, reader)
	defer cancel()
	result = i.handle(ctx, conn, request, id, body)
	switch result {
	case connectionClosed:
		_ = conn.Close()
	case connectionHangs:
		<-ended
		// Later requests are read but not answered.
		_, _ = io.Copy(io.Discard, reader)
		return connectionClosed, 0
	}
	answered := time.Now()
	// The watch ends when the next request begins or the connection ends.
	<-ended
	return result, time.Since(answered)
}

// handle works on a request and answers it.
func (i *Instance) handle(ctx context.Context, conn net.Conn, request *http.Request, id string, body []byte) disposition {
	acquired, full := i.acquireSlot(ctx)
	if full && i.currentBehaviour().OnFull == OnFullHang {
		return connectionHangs
	}
	if !acquired {
		return i.refuse(conn, request, http.StatusServiceUnavailable, connectionClosed)
	}
	defer i.releaseSlot()
	behaviour := i.currentBehaviour()
	stamp := i.run(request, id, body)
	if behaviour.Endless.Repeated != "" {
		i.options.Ledger.RunFailed(stamp)
		behaviour.Endless.write(conn, id)
		return connectionClosed
	}
	status := http.StatusOK
	if name := request.Header.Get(HeaderCrash); name != "" {
		i.options.Ledger.RunFailed(stamp)
		i.crashUnder(name)
		return connectionClosed
	}
	if !i.perform(ctx, request, behaviour) || i.chance(behaviour.FailureShare) {
		status = http.StatusInternalServerError
	}
	if i.chance(behaviour.LostAnswerShare) {
		i.options.Ledger.RunFailed(stamp)
		return connectionClosed
	}
	return i.answer(conn, request, behaviour, status, stamp)
}

// write sends the answer to the request with an ID until the connection ends.
func (e EndlessAnswer) write(conn net.Conn, id string) {
	_, err := io.WriteString(conn, strings.ReplaceAll(e.Opening, RequestIDPlaceholder, id))
	for err == nil {
		_, err = io.WriteString(conn, e.Repeated)
	}
}

// crashUnder crashes the instance after it has worked on a poison request for a service time.
func (i *Instance) crashUnder(name string) {
	if !sleep.For(i.stopped, i.options.ServiceTime) {
		return
	}
	i.options.Ledger.CrashedUnder(name, i.Name(), time.Now())
	// Runs in the background, since the end of the instance waits for this request.
	i.crashOnce.Do(func() { go i.options.OnPoisonCrash(i) })
	<-i.stopped.Done()
}

// watch returns a context that ends at the request's deadline or when its connection ends. The returned
// channel is closed once the watch no longer reads from the connection.
func (i *Instance) watch(request *http.Request, reader *bufio.Reader) (context.Context, context.CancelFunc, <-chan struct{}) {
	ctx, cancel := context.WithCancel(i.stopped)
	if millis, err := strconv.Atoi(request.Header.Get(platform.HeaderDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(i.stopped, time.Duration(millis)*time.Millisecond)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	return ctx, cancel, ended
}

// acquireSlot waits for a slot. It fails if the capacity is reached, the queue is full or ctx ends.
func (i *Instance) acquireSlot(ctx context.Context) (acquired, full bool) {
	if capacity := i.currentBehaviour().Capacity; capacity > 0 && i.running.Load()+i.waiting.Load() >= int64(capacity) {
		return false, true
	}
	select {
	case i.slots <- struct{}{}:
		i.running.Add(1)
		return true, false
	default:
	}
	if i.waiting.Add(1) > int64(i.options.QueueLength) {
		i.waiting.Add(-1)
		return false, true
	}
	defer i.waiting.Add(-1)
	select {
	case i.slots <- struct{}{}:
		i.running.Add(1)
		return true, false
	case <-ctx.Done():
		return false, false
	}
}

func (i *Instance) releaseSlot() {
	i.running.Add(-1)
	<-i.slots
}

// run records the start of a run and returns its stamp, which identifies the run.
func (i *Instance) run(request *http.Request, id string, body []byte) string {
	stamp := fmt.Sprintf("%s.%s.%d", i.Name(), id, i.sequence.Add(1))
	millis, _ := strconv.Atoi(request.Header.Get(platform.HeaderDeadline))
	i.options.Ledger.Ran(promise.Run{
		Timeout: time.Duration(millis) * time.Millisecond, Request: id, Instance: i.Name(), Service: i.options.Service, BodyDigest: promise.DigestOf(body),
		Caller: request.Header.Get(platform.HeaderCallerService), Stamp: stamp, At: time.Now(),
		Account: request.Header.Get(platform.HeaderAccount), Header: request.Header,
	})
	return stamp
}

// perform spends the service time and makes the call that the request asks for. It reports whether both
// were completed before ctx ended.
func (i *Instance) perform(ctx context.Context, request *http.Request, behaviour Behaviour) bool {
	factor := max(behaviour.Slowdown, 1)
	if i.slowStart.remaining(time.Now()) > 0 {
		factor *= coldSlowdown
	}
	i.mutex.Lock()
	spread := 0.5 + i.random.Float64()
	i.mutex.Unlock()
	if !sleep.For(ctx, time.Duration(float64(i.options.ServiceTime)*factor*spread)) {
		return false
	}
	if path := request.Header.Get(HeaderCall); path != "" {
		return i.call(ctx, request, path)
	}
	return true
}

func (i *Instance) call(ctx context.Context, parent *http.Request, path string) bool {
	id := parent.Header.Get(platform.HeaderRequestID) + ".1." + strconv.FormatUint(i.sequence.Add(1), 10)
	i.options.Ledger.Sent(promise.Request{
		ID: id, Safe: true, Caller: i.options.Service, SentAt: time.Now(),
		Services: map[string]bool{parent.Header.Get(HeaderCall + "-Service"): true}, DaemonAddress: i.options.OutboundAddress,
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.options.OutboundAddress+path, nil)
	if err != nil {
		return false
	}
	request.Host = parent.Host
	request.Header.Set(platform.HeaderRequestID, id)
	if poison := parent.Header.Get(HeaderCall + "-Crash"); poison != "" {
		request.Header.Set(HeaderCrash, poison)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	response, err := i.httpClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	i.options.Ledger.StatementPassedOn(id, response.Header.Get(platform.HeaderStamp), StatementOf(response.Header), time.Now())
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func (i *Instance) health(conn net.Conn) disposition {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", platform.HeaderInstance, i.ID(),
		platform.HeaderColdRemaining, i.slowStart.remaining(time.Now()).Milliseconds())
	if _, err := io.WriteString(conn, head); err != nil {
		return connectionClosed
	}
	return connectionKept
}

// refuse sends an answer stating that the request did not run.
func (i *Instance) refuse(conn net.Conn, request *http.Request, status int, after disposition) disposition {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n", status, http.StatusText(status),
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderInstance, i.ID())
	if status != http.StatusMisdirectedRequest {
		head += platform.HeaderNotExecuted + ": 1\r\n"
	}
	if after == connectionClosed {
		head += "Connection: close\r\n"
	}
	_, err := io.WriteString(conn, head+statementFields(i.currentStatement())+"\r\n")
	if err != nil {
		return connectionClosed
	}
	return after
}

// statementFields returns the header fields of a statement.
func statementFields(statement promise.Statement) string {
	fields := ""
	if statement.PerSecond > 0 {
		fields += fmt.Sprintf("%s: %g\r\n", platform.HeaderLimit, statement.PerSecond)
	}
	if statement.Leaving {
		fields += platform.HeaderLeaving + ": 1\r\n"
	}
	return fields
}

// StatementOf returns what an instance states about itself in the header of an answer.
func StatementOf(header http.Header) promise.Statement {
	perSecond, _ := strconv.ParseFloat(header.Get(platform.HeaderLimit), 64)
	return promise.Statement{PerSecond: perSecond, Leaving: header.Get(platform.HeaderLeaving) != ""}
}

// answer sends the answer with the faults that the behaviour injects.
func (i *Instance) answer(conn net.Conn, request *http.Request, behaviour Behaviour, status int, stamp string) disposition {
	size := defaultAnswerBytes
	if wanted, err := strconv.Atoi(request.Header.Get(HeaderAnswerBytes)); err == nil {
		size = wanted
	}
	body := Body(stamp, size)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s: %d,%d,%d\r\n", status, http.StatusText(status),
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp, stamp,
		platform.HeaderLoad, i.running.Load(), i.waiting.Load(), i.options.Slots)
	head += statementFields(i.currentStatement())
	framed := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	switch {
	case i.chance(behaviour.GarbageShare):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, "this is no answer\r\n\r\n")
		return connectionClosed
	case i.chance(behaviour.TruncatedShare):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, framed[:len(framed)-len(body)/2])
		return connectionClosed
	case i.chance(behaviour.UnframedResetShare):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+body[:len(body)/2])
		// The delay lets the part that was sent arrive before the reset.
		time.Sleep(resetDelay)
		reset(conn)
		return connectionClosed
	case i.chance(behaviour.UnframedShare):
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+body)
		return connectionClosed
	}
	if _, err := io.WriteString(conn, framed); err != nil {
		return connectionClosed
	}
	if i.chance(behaviour.DuplicateShare) {
		time.Sleep(behaviour.DuplicateDelay)
		_, _ = io.WriteString(conn, framed)
	}
	return connectionKept
}

// Body returns the body, size bytes long, of the answer of the run that stamp identifies: the stamp,
// repeated. Clients compute it to check an answer.
func Body(stamp string, size int) string {
	body := make([]byte, size)
	for index := range body {
		body[index] = stamp[index%len(stamp)]
	}
	return string(body)
}
