package callmux

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Bounds of the calling side.
const (
	openTimeout = 3 * time.Second
	// dialTimeout bounds the handshake of a connection, which takes two ways of the
	// network, 40 ms between regions. What leads nowhere is given up before the
	// kernel sends its opening packet again, after 1 s: the peer may be back sooner.
	dialTimeout = 300 * time.Millisecond
	// fenceTimeout bounds the question whether a call whose connection was
	// lost had started.
	fenceTimeout = 500 * time.Millisecond
	// fencePoll is how often it is looked for a new connection meanwhile.
	fencePoll = 20 * time.Millisecond
	// dialRetry is how long a failed dial is remembered, so that calls to a
	// dead daemon fail at once.
	dialRetry = 200 * time.Millisecond
)

// Client sends calls to other daemons over one connection to each. It is safe
// for concurrent use.
type Client struct {
	Hello    *lapisv1.Hello
	Network  wire.Network
	Counters *wire.Counters
	Timing   Timing
	// Maintained is true when Connect keeps the sessions; calls then never wait
	// for a dial.
	Maintained bool

	// mutex protects peers.
	mutex sync.Mutex
	peers map[string]*peerLink
}

// peerLink is the way to one daemon.
type peerLink struct {
	// mutex is held while dialing.
	mutex    sync.Mutex
	session  *session
	failed   time.Time
	failure  error
	lastUsed time.Time
}

// link returns the way to address.
func (c *Client) link(address string) *peerLink {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers == nil {
		c.peers = map[string]*peerLink{}
	}
	link, ok := c.peers[address]
	if !ok {
		link = &peerLink{}
		c.peers[address] = link
	}
	return link
}

// CloseIdle closes connections that no call has used since before.
func (c *Client) CloseIdle(before time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, link := range c.peers {
		link.mutex.Lock()
		unused := !c.Maintained && link.lastUsed.Before(before) && (link.session == nil || link.session.active() == 0)
		if unused {
			if link.session != nil {
				link.session.close(result.Errorf(result.ProtocolTimeout, "idle"))
			}
			delete(c.peers, address)
		}
		link.mutex.Unlock()
	}
}

// Close closes all connections; the calls on them end with unknown outcome.
func (c *Client) Close() { c.CloseAll(result.Errorf(result.CallUnknownOutcome, "the daemon stopped")) }

// CloseAll closes all connections for the given cause.
func (c *Client) CloseAll(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, link := range c.peers {
		link.mutex.Lock()
		if link.session != nil {
			link.session.close(cause)
		}
		link.mutex.Unlock()
	}
}

// Links returns the number of open connections.
func (c *Client) Links() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := 0
	for _, link := range c.peers {
		link.mutex.Lock()
		if link.session != nil && !link.session.isClosed() {
			open++
		}
		link.mutex.Unlock()
	}
	return open
}

func (c *Client) sessionTo(ctx context.Context, address string) (*session, error) {
	link := c.link(address)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	now := time.Now()
	link.lastUsed = now
	if link.session != nil && !link.session.isClosed() {
		return link.session, nil
	}
	if c.Maintained {
		return nil, result.Errorf(result.CallNotRunUnreachable, "there is no connection to %s", address)
	}
	if now.Sub(link.failed) < dialRetry {
		return nil, link.failure
	}
	opened, err := c.open(ctx, address, Control{})
	if err != nil {
		link.failed = now
		link.failure = err
		return nil, err
	}
	link.session = opened
	return opened, nil
}

// OtherDaemonError tells that the daemon at an address is not the one that was
// looked for there.
type OtherDaemonError struct {
	Address, Expected string
	// Found is the daemon that answered.
	Found string
}

func (e *OtherDaemonError) Error() string {
	return fmt.Sprintf("%s answers at %s, not %s", e.Found, e.Address, e.Expected)
}

// Connect opens a session to the daemon node at address that calls use from then on.
// It takes the place of a session to an earlier process there, and never that of a
// working one: calls are on their way on it. control receives what concerns the
// daemons themselves.
// Errors: CallNotRunUnreachable, *OtherDaemonError.
func (c *Client) Connect(ctx context.Context, node, address string, control Control) (Link, error) {
	opened, err := c.open(ctx, address, control)
	if err != nil {
		return Link{}, err
	}
	if found := opened.welcome.GetNode(); found != node {
		opened.close(result.Errorf(result.CallNotRunUnreachable, "another daemon was looked for"))
		return Link{}, &OtherDaemonError{Address: address, Expected: node, Found: found}
	}
	link := c.link(address)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.session != nil && !link.session.isClosed() {
		if link.session.incarnation == opened.incarnation {
			opened.close(result.Errorf(result.CallNotRunUnreachable, "there is a connection already"))
			return Link{}, result.Errorf(result.CallNotRunUnreachable, "there is a connection to %s already", address)
		}
		link.session.close(result.Errorf(result.CallUnknownOutcome, "a new connection took its place"))
	}
	link.session = opened
	link.lastUsed = time.Now()
	return Link{opened}, nil
}

// open dials and greets. Errors: CallNotRunUnreachable.
func (c *Client) open(ctx context.Context, address string, control Control) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	raw, err := c.Network.Dial(dialCtx, address)
	if err != nil {
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "dialing %s", address)
	}
	conn := wire.NewConn(raw, c.Counters)
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	welcome, err := c.greet(conn)
	if err != nil {
		_ = conn.Close()
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "greeting %s", address)
	}
	_ = raw.SetDeadline(time.Time{})
	opened := newSession(conn, welcome.GetIncarnation(), c.Timing)
	opened.boundInFlight(welcome.GetInFlightBytes())
	opened.welcome = welcome
	opened.control = control
	go func() { _ = opened.receive(nil) }()
	go opened.keepAlive()
	return opened, nil
}

func (c *Client) greet(conn *wire.Conn) (*lapisv1.Welcome, error) {
	if err := conn.WritePreface(); err != nil {
		return nil, err
	}
	hello := proto.CloneOf(c.Hello)
	hello.InFlightBytes = c.Timing.InFlightBytes()
	if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}}); err != nil {
		return nil, err
	}
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, err
	}
	if welcome := frame.GetWelcome(); welcome != nil {
		return welcome, nil
	}
	return nil, result.Errorf(result.ProtocolUnexpected, "frame %T in answer to a hello", frame.GetBody())
}

// Handle carries out one attempt at the daemon at address. When the connection
// is lost it asks that daemon, over a new one, to fence the attempt; only if
// the daemon is still the same process and had not started it, the call is
// reported as not run.
func (c *Client) Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error) {
	current, err := c.sessionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := newStream(current.nextID(), current)
	opened.allowance = windowBytes
	if err := current.add(opened); err != nil {
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "the connection to %s closed", address)
	}
	bodyCtx, stopBody := context.WithCancel(ctx)
	head, err := c.exchange(ctx, bodyCtx, opened, call)
	if err != nil {
		stopBody()
		current.remove(opened.id)
		if current.isClosed() && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
			err = c.settle(address, current.incarnation, call.Open.GetAttemptId(), err)
		}
		return nil, err
	}
	body := &answerStream{stream: opened, ctx: ctx, stop: stopBody}
	body.release = context.AfterFunc(ctx, func() { opened.fail(result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")) })
	return &callapi.Answer{Head: head, Body: body, Trailers: opened.endTrailers}, nil
}

// exchange opens the call, sends its body and waits for the answer's head.
func (c *Client) exchange(ctx, bodyCtx context.Context, opened *stream, call *callapi.Call) (*lapisv1.CallHead, error) {
	if err := sendOpening(opened, call); err != nil {
		return nil, result.Wrap(result.CallUnknownOutcome, err, "handing the call over")
	}
	if call.Body != nil && !goesAlong(call) {
		go sendRequestBody(bodyCtx, opened, call)
	}
	var stall <-chan struct{}
	if call.Open.GetRepeatable() {
		stall = opened.session.stall()
	}
	for {
		select {
		case head := <-opened.head:
			return head, nil
		case <-opened.done:
			return nil, opened.cause()
		case <-stall:
			if call.StaysWithSilent != nil && call.StaysWithSilent() {
				stall = nil
				continue
			}
			// Sent in the background: the peer may not read.
			unwanted := resetOf(opened.id, result.Errorf(result.CallCancelled, "the daemon does not answer"))
			go func() { _ = opened.session.send(unwanted) }()
			return nil, result.Errorf(result.CallUnknownOutcome, "the daemon beside the instance does not answer")
		case <-ctx.Done():
			_ = opened.session.send(resetOf(opened.id, result.Errorf(result.CallCancelled, "the caller gave up")))
			return nil, result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")
		}
	}
}

func cancelCode(ctx context.Context) result.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return result.CallDeadline
	}
	return result.CallCancelled
}

// goesAlong reports whether a call's body is sent with its opening.
func goesAlong(call *callapi.Call) bool {
	return call.Buffered && call.Open.GetContentLength() <= AlongBytes
}

func sendOpening(opened *stream, call *callapi.Call) error {
	frames := []proto.Message{&lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Open{Open: call.Open}}}
	if call.Body != nil && goesAlong(call) {
		content, err := io.ReadAll(io.LimitReader(call.Body, AlongBytes))
		if err != nil {
			return err
		}
		data := &lapisv1.CallData{Data: content, End: true}
		frames = append(frames, &lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Data{Data: data}})
	}
	return opened.session.send(frames...)
}

// sendRequestBody streams the caller's body. The other side grants the first
// credit when the back end takes the call, so nothing of the body is used up
// by a call that is refused.
func sendRequestBody(ctx context.Context, opened *stream, call *callapi.Call) {
	err := opened.sendBody(ctx, call.Body, call.Trailers)
	if err == nil || opened.cause() != nil || ctx.Err() != nil {
		return
	}
	cancelled := result.Wrap(result.CallCancelled, err, "the request body broke off")
	_ = opened.session.send(resetOf(opened.id, cancelled))
	opened.fail(cancelled)
}

// settle finds out whether a call on a lost connection had started.
func (c *Client) settle(address string, incarnation uint64, attempt string, lost error) error {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	current, err := c.sessionTo(ctx, address)
	for err != nil && c.Maintained && sleep.For(ctx, fencePoll) {
		current, err = c.sessionTo(ctx, address)
	}
	if err != nil || current.incarnation != incarnation {
		return lost
	}
	answer, err := current.fence(ctx, attempt)
	if err != nil || answer.GetStarted() || answer.GetIncarnation() != incarnation {
		return lost
	}
	return result.Wrap(result.CallNotRunUnreachable, lost, "the attempt was fenced before it started")
}

// answerStream is the body of an answer.
type answerStream struct {
	stream  *stream
	ctx     context.Context
	stop    context.CancelFunc
	release func() bool
	whole   bool
}

func (a *answerStream) Read(buffer []byte) (int, error) {
	count, err := a.stream.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return count, err
}

// Close ends the call; a call whose answer was not read to its end is
// cancelled at the other side.
func (a *answerStream) Close() error {
	a.release()
	a.stop()
	a.stream.session.remove(a.stream.id)
	if !a.whole && a.stream.cause() == nil {
		_ = a.stream.session.send(resetOf(a.stream.id, result.Errorf(result.CallCancelled, "the answer is not wanted any more")))
	}
	return nil
}
