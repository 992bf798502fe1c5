package minion

import (
	"time"

	"golang.org/x/sys/unix"
)

// unansweredProbes is the number of retransmissions or keep-alive probes without an
// acknowledgement that makes a path silent. One can be on its way on a live path.
const unansweredProbes = 2

// socket asks the kernel about a connection without an allocation per question.
type socket struct {
	poll     [1]unix.PollFd
	askReady func(fd uintptr)
}

func (s *socket) init() {
	s.askReady = func(fd uintptr) {
		s.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		_, _ = unix.Poll(s.poll[:], 0)
	}
}

// isReadable tells whether bytes, an end or an error wait in the socket.
func isReadable(c *conn) bool {
	err := c.raw.Control(c.socket.askReady)
	return err != nil || c.socket.poll[0].Revents != 0
}

// isUnacknowledged tells whether the peer's kernel has stopped to acknowledge. TCP_INFO
// decides: at least two retransmissions (data), zero-window probes or keep-alive probes
// (no data, one a second) since the last acknowledgement, and none for the given time. A
// minion that takes long, or does not read, still acknowledges and is never cut.
//
// TCP_USER_TIMEOUT is not set, because the kernel applies it to a full receive window
// even when the peer acknowledges each probe, and would cut a slow reader.
func isUnacknowledged(c *conn, limit time.Duration) bool {
	var info *unix.TCPInfo
	var failure error
	err := c.raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return false
	}
	quiet := time.Duration(info.Last_ack_recv) * time.Millisecond
	return max(info.Retransmits, info.Probes) >= unansweredProbes && quiet >= limit
}
