package peer

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the maximum size of an encoded message. A configuration document has
// at most 1 MB, the limit of the platform's store; the rest is for the envelope and the
// fields around it.
const MaxMessageBytes = 1<<20 + maxEnvelopeBytes

const maxEnvelopeBytes = 4 << 10

// envelope is encoded as an array, which saves 18 bytes per message compared with a map
// with field names.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint16
	Kind    string
	Body    cbor.RawMessage
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		IndefLength:     cbor.IndefLengthForbidden,
		MaxNestedLevels: 16,
	}.DecMode())
)

// must panics on an error. It is used only for the constant options above.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encode(version uint16, kind string, body any) ([]byte, error) {
	b, err := encMode.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Kind: kind, Err: err}
	}
	b, err = encMode.Marshal(envelope{Version: version, Kind: kind, Body: b})
	if err != nil {
		return nil, &EncodeError{Kind: kind, Err: err}
	}
	return b, nil
}

// Message is a received message.
type Message struct {
	// Peer and Incarnation identify the authenticated sender.
	Peer        string
	Incarnation uint64
	Version     uint16
	Kind        string
	Body        []byte
}

func decode(peer string, b []byte) (Message, error) {
	var e envelope
	if err := decMode.Unmarshal(b, &e); err != nil {
		return Message{}, &MalformedError{Peer: peer, Kind: e.Kind, Place: errorPlace(err, "envelope"), Err: err}
	}
	if e.Kind == "" {
		return Message{}, &MalformedError{Peer: peer, Place: "kind", Err: errors.New("no value")}
	}
	if len(e.Body) == 0 {
		return Message{}, &MalformedError{Peer: peer, Kind: e.Kind, Place: "body", Err: errors.New("no value")}
	}
	return Message{Peer: peer, Version: e.Version, Kind: e.Kind, Body: e.Body}, nil
}

// Decode decodes the body into v. A handler returns its error unwrapped; the link is then
// closed with a reason that names the field.
func (msg Message) Decode(v any) error {
	if err := decMode.Unmarshal(msg.Body, v); err != nil {
		return &MalformedError{Peer: msg.Peer, Kind: msg.Kind, Place: errorPlace(err, "body"), Err: err}
	}
	return nil
}

// errorPlace returns the name of the field at which decoding failed, or part if err names
// no field.
func errorPlace(err error, part string) string {
	var typeErr *cbor.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.StructFieldName != "" {
		return typeErr.StructFieldName
	}
	return part
}
