// Package socket queries the operating system for the queues of TCP sockets, and provides listener
// wrappers for servers that end at the first accept error (KeepAccepting) or leave connections open
// (CloseWithContext). It relies on the Linux requests SIOCOUTQ, SIOCINQ and TCP_INFO. Queries return
// 0 if a connection or system does not support them.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes written to a TCP connection that the peer's kernel has not
// acknowledged, or 0 if that is unknown or the connection is closed.
func Unacknowledged(conn net.Conn) int { return queued(conn, unix.SIOCOUTQ) }

// Unread returns the number of bytes that the kernel has received on a TCP connection and the process
// has not read, or 0 if that is unknown or the connection is closed.
func Unread(conn net.Conn) int { return queued(conn, unix.SIOCINQ) }

// AcceptQueueLength returns the number of connections in the accept queue of a listener, or 0 if that
// is unknown or the listener is closed.
func AcceptQueueLength(listener net.Listener) int {
	if retrying, ok := listener.(*retryingListener); ok {
		listener = retrying.Listener
	}
	waiting := 0
	control(listener, func(descriptor int) {
		// For a listener, Unacked is the length of the accept queue.
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}

// queued returns the length of the socket queue that the ioctl request selects.
func queued(conn net.Conn, request uint) int {
	length := 0
	control(conn, func(descriptor int) {
		if count, err := unix.IoctlGetInt(descriptor, request); err == nil {
			length = count
		}
	})
	return length
}

// control calls query with the descriptor of a socket. It does nothing if the value is not a socket or
// is closed.
func control(socket any, query func(descriptor int)) {
	conn, isSocket := socket.(syscall.Conn)
	if !isSocket {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed.
	_ = raw.Control(func(descriptor uintptr) { query(int(descriptor)) })
}
