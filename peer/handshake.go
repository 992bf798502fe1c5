package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"github.com/coder/websocket"
)

// Message kinds of the handshake. The dialing side sends its hello first, then the
// accepting side sends its hello and its proof, then the dialing side sends its proof.
const (
	kindHello = "hello"
	kindProof = "proof"
)

const (
	nonceBytes = 32
	// handshakeVersion is the version in envelopes that are sent before a protocol version
	// is negotiated.
	handshakeVersion = 0
)

type hello struct {
	Lowest      uint16 `cbor:"lowest-version"`
	Highest     uint16 `cbor:"highest-version"`
	Name        string `cbor:"name"`
	Incarnation uint64 `cbor:"incarnation"`
	Zone        string `cbor:"zone"`
	Nonce       []byte `cbor:"nonce"`
}

type proof struct {
	MAC []byte `cbor:"mac"`
}

type role string

const (
	dialing   role = "dialing"
	accepting role = "accepting"
)

func (r role) opposite() role {
	if r == dialing {
		return accepting
	}
	return dialing
}

// handshake authenticates both sides of one new connection.
type handshake struct {
	mesh *Mesh
	conn *websocket.Conn
	role role
	// peer is the expected name of the other host. The accepting side has the remote address
	// here until it receives the hello.
	peer      string
	peerHello hello
	// sentHello and receivedHello are the encoded hellos.
	sentHello, receivedHello []byte
}

// run authenticates the other side and returns its hello and the negotiated protocol
// version.
func (h *handshake) run(ctx context.Context) (hello, uint16, error) {
	ctx, cancel := context.WithTimeout(ctx, h.mesh.tuning.handshakeTimeout)
	defer cancel()
	steps := []func(context.Context) error{h.sendHello, h.receiveHello, h.checkProof, h.sendProof}
	if h.role == accepting {
		steps = []func(context.Context) error{h.receiveHello, h.sendHello, h.sendProof, h.checkProof}
	}
	for i, step := range steps {
		if err := step(ctx); err != nil {
			return hello{}, 0, err
		}
		if i != 1 {
			continue
		}
		// Each side has the other's hello here, so both can report the version ranges.
		if _, err := h.commonVersion(); err != nil {
			return hello{}, 0, err
		}
	}
	version, err := h.commonVersion()
	return h.peerHello, version, err
}

func (h *handshake) sendHello(ctx context.Context) error {
	cfg, t := h.mesh.cfg, h.mesh.tuning
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return &LinkError{Peer: h.peer, Op: "make a nonce", Err: err}
	}
	return h.send(ctx, kindHello, hello{t.lowest, t.highest, cfg.Name, cfg.Incarnation, cfg.Zone, nonce})
}

func (h *handshake) receiveHello(ctx context.Context) error {
	var err error
	if h.receivedHello, err = h.receive(ctx, kindHello, &h.peerHello); err != nil {
		return err
	}
	return h.checkHello()
}

func (h *handshake) checkHello() error {
	if len(h.peerHello.Nonce) != nonceBytes {
		return &MalformedError{Peer: h.peer, Kind: kindHello, Place: "nonce", Err: errors.New("wrong length")}
	}
	if h.role == accepting {
		h.peer = h.peerHello.Name
	}
	if h.peerHello.Name != h.peer {
		return &AuthError{Peer: h.peer, Reason: "the host calls itself " + h.peerHello.Name}
	}
	if h.role == accepting && h.peer >= h.mesh.cfg.Name {
		return &AuthError{Peer: h.peer, Reason: "only hosts whose names sort before " + h.mesh.cfg.Name + " may connect to it"}
	}
	return nil
}

// commonVersion returns the highest protocol version that both sides support.
func (h *handshake) commonVersion() (uint16, error) {
	t := h.mesh.tuning
	v := min(t.highest, h.peerHello.Highest)
	if v < max(t.lowest, h.peerHello.Lowest) {
		return 0, &VersionError{h.peer, t.lowest, t.highest, h.peerHello.Lowest, h.peerHello.Highest}
	}
	return v, nil
}

func (h *handshake) sendProof(ctx context.Context) error {
	return h.send(ctx, kindProof, proof{MAC: h.mac(h.role)})
}

func (h *handshake) checkProof(ctx context.Context) error {
	var p proof
	if _, err := h.receive(ctx, kindProof, &p); err != nil {
		return err
	}
	if !hmac.Equal(p.MAC, h.mac(h.role.opposite())) {
		return &AuthError{Peer: h.peer, Reason: "wrong proof of the cluster secret"}
	}
	return nil
}

// mac returns the HMAC that proves knowledge of the cluster secret. It covers the prover's
// role and both encoded hellos, first that of the dialing side, and so both nonces, names,
// incarnations, zones and version ranges: a proof cannot be reflected to its sender, and a
// man in the middle cannot downgrade the version.
func (h *handshake) mac(prover role) []byte {
	dialerHello, acceptorHello := h.sentHello, h.receivedHello
	if h.role == accepting {
		dialerHello, acceptorHello = acceptorHello, dialerHello
	}
	hash := hmac.New(sha256.New, h.mesh.cfg.Secret)
	for _, part := range [][]byte{[]byte("egretdrum peer link"), []byte(prover), dialerHello, acceptorHello} {
		_, _ = hash.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = hash.Write(part)
	}
	return hash.Sum(nil)
}

func (h *handshake) send(ctx context.Context, kind string, body any) error {
	b, err := encode(handshakeVersion, kind, body)
	if err != nil {
		return err
	}
	if kind == kindHello {
		h.sentHello = b
	}
	if err := h.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return &LinkError{Peer: h.peer, Op: "send " + kind, Err: err}
	}
	return nil
}

func (h *handshake) receive(ctx context.Context, kind string, body any) ([]byte, error) {
	b, err := readMessage(ctx, h.conn, h.peer)
	if err != nil {
		return nil, err
	}
	msg, err := decode(h.peer, b)
	if err != nil {
		return nil, err
	}
	if msg.Kind != kind {
		return nil, &MalformedError{Peer: h.peer, Kind: msg.Kind, Place: "kind", Err: errors.New("expected " + kind)}
	}
	return b, msg.Decode(body)
}
