package minion

import (
	"time"

	"golang.org/x/sys/unix"
)

// minUnansweredProbes is the number of retransmissions or keep-alive probes without an
// acknowledgement from which a path counts as failed. On a working path one can be in flight.
const minUnansweredProbes = 2

// socket polls the state of a connection in the kernel without an allocation per call.
type socket struct {
	poll      [1]unix.PollFd
	pollReady func(fd uintptr)
}

func (s *socket) init() {
	s.pollReady = func(fd uintptr) {
		s.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		_, _ = unix.Poll(s.poll[:], 0)
	}
}

// isReadable reports whether data, an end of file or an error is pending on the socket.
func isReadable(c *conn) bool {
	err := c.raw.Control(c.socket.pollReady)
	return err != nil || c.socket.poll[0].Revents != 0
}

// isUnacknowledged reports whether the peer's kernel has stopped acknowledging. By TCP_INFO this
// means at least two retransmissions (data), zero-window probes or keep-alive probes
// (no data, one a second) since the last acknowledgement, and none for quietLimit. A
// minion that takes long, or does not read, still acknowledges and keeps its connection.
//
// TCP_USER_TIMEOUT is not set, because the kernel applies it to a full receive window
// even when the peer acknowledges each probe, and would disconnect a slow reader.
func isUnacknowledged(c *conn, quietLimit time.Duration) bool {
	var info *unix.TCPInfo
	var sockoptErr error
	err := c.raw.Control(func(fd uintptr) {
		info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || sockoptErr != nil {
		return false
	}
	quiet := time.Duration(info.Last_ack_recv) * time.Millisecond
	return max(info.Retransmits, info.Probes) >= minUnansweredProbes && quiet >= quietLimit
}
