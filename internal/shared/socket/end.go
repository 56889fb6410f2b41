package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// End is how the peer has ended a TCP connection.
type End int

// Ends of a connection.
const (
	// EndUnknown: the peer has not ended the connection, or the system does not tell.
	EndUnknown End = iota
	// EndClosed: the peer has closed its side, after all that it has sent.
	EndClosed
	// EndReset: the connection was reset. The peer may have sent more than was received.
	EndReset
)

// States of a TCP connection in the kernel's TCP_INFO (include/net/tcp_states.h).
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// EndOf returns how the peer has ended a connection of which this process has not closed its side. A peer that
// closes and then receives more data resets the connection: then the result is EndReset.
func EndOf(conn net.Conn) End {
	end := EndUnknown
	control(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpStateCloseWait:
			end = EndClosed
		case tcpStateClose:
			end = EndReset
		}
	})
	return end
}
