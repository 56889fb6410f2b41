package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// memoryNetwork connects daemons of one test without sockets, so that time may be virtual.
type memoryNetwork struct {
	// mutex protects the rest.
	mutex sync.Mutex
	// accepting are the listeners, dials the numbers of dials, each by address.
	accepting map[string]chan net.Conn
	dials     map[string]int
}

func (n *memoryNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	n.dials[address]++
	accepting := n.accepting[address]
	n.mutex.Unlock()
	if n.dialed() > mostDials {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if accepting == nil {
		return nil, fmt.Errorf("nobody listens at %s", address)
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

// mostDials bounds the dials of a test: beyond it none succeeds, so that a storm of
// them ends in a failure and not in a test that lasts for ever.
const mostDials = 5000

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
