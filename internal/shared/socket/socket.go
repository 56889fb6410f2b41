// Package socket asks the operating system about connections, and wraps listeners whose servers would
// end too early (KeepAccepting) or leave connections behind (ClosedWith). It relies on the SIOCOUTQ,
// SIOCINQ and TCP_INFO requests of Linux; where a connection or a system does not know it, it says nothing.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a TCP connection and that the
// peer's system has not acknowledged; 0 where that is not known, or the connection is closed.
func Unacknowledged(conn net.Conn) int { return queued(conn, unix.SIOCOUTQ) }

// Unread returns the number of bytes that the system has received on a TCP connection and that were
// not read; 0 where that is not known, or the connection is closed.
func Unread(conn net.Conn) int { return queued(conn, unix.SIOCINQ) }

// Waiting returns the number of connections that the system has opened at a listener and that nobody
// has accepted; 0 where that is not known, or the listener is closed.
func Waiting(listener net.Listener) int {
	if patient, ok := listener.(*patientListener); ok {
		listener = patient.Listener
	}
	waiting := 0
	control(listener, func(descriptor int) {
		// For a listener the field counts these connections.
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}

// queued returns the length of the queue of a connection that a request of the system names.
func queued(conn net.Conn, request uint) int {
	length := 0
	control(conn, func(descriptor int) {
		if count, err := unix.IoctlGetInt(descriptor, request); err == nil {
			length = count
		}
	})
	return length
}

// control calls ask with the descriptor of a socket; not at all for what is none, or is closed.
func control(socket any, ask func(descriptor int)) {
	asked, isSocket := socket.(syscall.Conn)
	if !isSocket {
		return
	}
	raw, err := asked.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed.
	_ = raw.Control(func(descriptor uintptr) { ask(int(descriptor)) })
}
