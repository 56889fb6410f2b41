// Package socket asks the operating system about connections. It keeps no state and relies on the
// SIOCOUTQ and SIOCINQ requests of Linux; where a connection or a system does not know it, it says nothing.
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

// queued returns the length of the queue of a connection that a request of the system names.
func queued(conn net.Conn, request uint) int {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	// An error means that the connection is closed, or that the system does not tell.
	_ = raw.Control(func(descriptor uintptr) {
		if count, err := unix.IoctlGetInt(int(descriptor), request); err == nil {
			length = count
		}
	})
	return length
}
