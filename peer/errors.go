package peer

import "fmt"

// ConnectError reports a failed attempt to connect to a peer.
type ConnectError struct {
	Peer string
	Err  error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("peer %s: connect: %v", e.Peer, e.Err) }
func (e *ConnectError) Unwrap() error { return e.Err }

// AuthError reports a peer that did not prove knowledge of the cluster secret, that has
// another name than expected, or that may not connect to this host.
type AuthError struct{ Peer, Reason string }

func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s: authentication failed: %s", e.Peer, e.Reason)
}

// VersionError reports two hosts without a common protocol version.
type VersionError struct {
	Peer                  string
	OwnLowest, OwnHighest uint16
	Lowest, Highest       uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer %s: no common protocol version: own %d to %d, peer's %d to %d",
		e.Peer, e.OwnLowest, e.OwnHighest, e.Lowest, e.Highest)
}

// IncarnationError reports a connection from an incarnation of a host that a newer one has
// replaced.
type IncarnationError struct {
	Peer        string
	Got, Newest uint64
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("peer %s: incarnation %d has been replaced by %d", e.Peer, e.Got, e.Newest)
}

// MalformedError reports a message that cannot be decoded or does not fit the protocol.
// Place is the field, or the part of the envelope or frame, that is invalid.
type MalformedError struct {
	Peer, Kind, Place string
	Err               error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("peer %s: malformed message %q at %s: %v", e.Peer, e.Kind, e.Place, e.Err)
}
func (e *MalformedError) Unwrap() error { return e.Err }

// TooLargeError reports a message of more than MaxMessageBytes. Bytes is 0 for a received
// message, which is not read to its end.
type TooLargeError struct {
	Peer, Kind string
	Bytes      int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("peer %s: message %q of %d bytes exceeds %d bytes", e.Peer, e.Kind, e.Bytes, MaxMessageBytes)
}

// UnknownKindError is returned by a handler for a kind that it does not know. The message
// is counted and ignored, so that a newer peer can send kinds that this host does not
// implement.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown message kind %q", e.Kind) }

// NotConnectedError reports a message to a peer without an established link.
type NotConnectedError struct{ Peer string }

func (e *NotConnectedError) Error() string { return fmt.Sprintf("peer %s: not connected", e.Peer) }

// QueueFullError reports a message that was not queued because the peer reads more slowly
// than this host sends.
type QueueFullError struct {
	Peer, Kind string
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("peer %s: send queue is full, message %q was not queued", e.Peer, e.Kind)
}

// EncodeError reports a body that cannot be encoded.
type EncodeError struct {
	Kind string
	Err  error
}

func (e *EncodeError) Error() string { return fmt.Sprintf("encode message %q: %v", e.Kind, e.Err) }
func (e *EncodeError) Unwrap() error { return e.Err }

// UnresponsiveError reports a connection on which a write or a ping timed out.
type UnresponsiveError struct {
	Peer string
	Err  error
}

func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("peer %s: connection is silent: %v", e.Peer, e.Err)
}
func (e *UnresponsiveError) Unwrap() error { return e.Err }

// LinkError reports a link that ended for another reason: a read or write failed, or
// the handler refused a message.
type LinkError struct {
	Peer, Op string
	Err      error
}

func (e *LinkError) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Op, e.Err) }
func (e *LinkError) Unwrap() error { return e.Err }

// ClosedError reports a link that this host ended: the peer was dropped from the list or
// got a new address, a newer connection replaced this one, or the Mesh stopped.
type ClosedError struct{ Peer, Reason string }

func (e *ClosedError) Error() string { return fmt.Sprintf("peer %s: closed: %s", e.Peer, e.Reason) }
