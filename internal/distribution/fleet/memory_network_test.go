package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// memoryNetwork connects the daemons of a test without sockets, so that the test can use virtual
// time.
type memoryNetwork struct {
	// mutex protects the fields below.
	mutex sync.Mutex
	// accepting holds the listeners, and dials the number of dials, by address.
	accepting map[string]chan net.Conn
	dials     map[string]int
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{accepting: map[string]chan net.Conn{}, dials: map[string]int{}}
}

func (n *memoryNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	n.dials[address]++
	accepting := n.accepting[address]
	n.mutex.Unlock()
	if n.dialed() > maxDials {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if accepting == nil {
		return nil, fmt.Errorf("no listener at %s", address)
	}
	near, far := net.Pipe()
	select {
	case accepting <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *memoryNetwork) Listen(address string) (net.Listener, error) {
	accepting := make(chan net.Conn, 1)
	n.mutex.Lock()
	n.accepting[address] = accepting
	n.mutex.Unlock()
	return &memoryListener{accepting: accepting, closed: make(chan struct{})}, nil
}

func (n *memoryNetwork) dialed() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	total := 0
	for _, count := range n.dials {
		total += count
	}
	return total
}

// maxDials bounds the number of dials in a test. Further dials block until their context ends, so
// that a dial storm fails the test instead of running for ever.
const maxDials = 5000

type memoryListener struct {
	accepting chan net.Conn
	closed    chan struct{}
	once      sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepting:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
