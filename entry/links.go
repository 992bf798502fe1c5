package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/peer"
)

// Kinds of messages that the host itself handles; the rest goes to the node.
const (
	kindConfig    = "config"
	kindConfigAsk = "config-ask"
	kindConfigAck = "config-ack"
)

// configMessage carries the changes after a version, or the whole document, as JSON.
type configMessage struct {
	Changes  []byte `cbor:"changes,omitempty"`
	Document []byte `cbor:"document,omitempty"`
}

type configAsk struct {
	After uint64 `cbor:"after"`
}

type configAck struct {
	Version uint64 `cbor:"version"`
}

func (h *Host) startMesh() {
	h.mesh = peer.New(peer.Config{
		Name: h.self.Name, Incarnation: h.self.Incarnation, Zone: h.self.Zone,
		Secret: []byte(h.settings.ClusterSecret),
		TLS:    h.peerTLS(),
		Handle: h.handle,
		Up: func(name string, incarnation uint64) {
			h.log.Info("link-up", zap.String("peer", name), zap.Uint64("incarnation", incarnation))
		},
		Down: func(name string, err error) {
			h.log.Info("link-down", zap.String("peer", name), zap.Error(err))
		},
	})
	h.node.Connect(h.mesh.Send, h.setPeers)
}

// peerTLS is the configuration for dialing peers; the name to verify is the address.
func (h *Host) peerTLS() *tls.Config {
	if h.settings.PeerCAFile == "" {
		return nil
	}
	return h.pair.PeerClient("")
}

// setPeers makes the links follow the epoch.
func (h *Host) setPeers(e *epoch.Epoch) {
	peers := make([]peer.Peer, 0, len(e.Members))
	for _, m := range e.Members {
		peers = append(peers, peer.Peer{Name: m.Name, Incarnation: m.Incarnation, Address: m.Peer})
	}
	h.mesh.SetPeers(peers)
}

// handle takes one message of a peer. An error closes the link.
func (h *Host) handle(m peer.Message) error {
	now := time.Now()
	switch m.Kind {
	case kindConfig:
		return h.onConfig(m)
	case kindConfigAsk:
		return h.onConfigAsk(m)
	case kindConfigAck:
		var ack configAck
		if err := m.Decode(&ack); err != nil {
			return err
		}
		h.acks.note(m.Peer, ack.Version)
		return nil
	}
	from := epoch.ID(m.Peer + "/" + strconv.FormatUint(m.Incarnation, 10))
	known, err := h.node.Receive(now, from, m.Kind, m.Decode)
	if !known && err == nil {
		return &peer.UnknownKindError{Kind: m.Kind}
	}
	for name, version := range h.node.NewerConfig(h.ConfigVersion()) {
		h.log.Info("configuration-behind", zap.String("peer", name), zap.Uint64("version", version))
		_ = h.mesh.Send(name, kindConfigAsk, configAsk{After: h.ConfigVersion()})
	}
	return err
}

// configChanged puts a newer configuration in force.
func (h *Host) configChanged(cfg *fleet.Config) {
	h.node.SetConfig(time.Now(), cfg)
	h.log.Info("configuration-in-force", zap.Uint64("version", cfg.Version))
}

func (h *Host) onConfig(m peer.Message) error {
	var body configMessage
	if err := m.Decode(&body); err != nil {
		return err
	}
	if err := h.adopt(body); err != nil {
		h.log.Warn("configuration-from-peer-refused", zap.String("peer", m.Peer), zap.Error(err))
		_ = h.mesh.Send(m.Peer, kindConfigAsk, configAsk{})
		return nil
	}
	_ = h.mesh.Send(m.Peer, kindConfigAck, configAck{Version: h.ConfigVersion()})
	return nil
}

func (h *Host) adopt(body configMessage) error {
	if len(body.Document) > 0 {
		cfg, err := fleet.Decode(body.Document)
		if err != nil {
			return err
		}
		h.keeper.Adopt(cfg)
		return nil
	}
	var changes []change.Change
	if err := json.Unmarshal(body.Changes, &changes); err != nil {
		return &fleet.DecodeError{Err: err}
	}
	return h.keeper.AdoptDelta(changes)
}

// onConfigAsk answers with the changes after a version if they are all known, or with
// the whole document.
func (h *Host) onConfigAsk(m peer.Message) error {
	var ask configAsk
	if err := m.Decode(&ask); err != nil {
		return err
	}
	body, err := configBody(h.keeper.Config(), ask.After)
	if err == nil {
		err = h.mesh.Send(m.Peer, kindConfig, body)
	}
	if err != nil {
		h.log.Warn("configuration-not-sent", zap.String("peer", m.Peer), zap.Error(err))
	}
	return nil
}

func configBody(cfg *fleet.Config, after uint64) (configMessage, error) {
	if changes, ok := cfg.Changes(after); ok && after > 0 {
		b, err := json.Marshal(changes)
		return configMessage{Changes: b}, err
	}
	b, err := cfg.Encode()
	return configMessage{Document: b}, err
}

// push sends an accepted version to all peers and waits a short time for their
// acknowledgements. It returns the hosts that are still behind.
func (h *Host) push(ctx context.Context, cfg *fleet.Config) []string {
	body, err := configBody(cfg, cfg.Version-1)
	if err != nil {
		h.log.Error("configuration-not-encoded", zap.Error(err))
		return h.behind(cfg.Version)
	}
	for _, m := range h.node.Epoch().Members {
		if m.Name != h.self.Name {
			_ = h.mesh.Send(m.Name, kindConfig, body)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for {
		changed := h.acks.changed()
		behind := h.behind(cfg.Version)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return behind
		}
	}
}

// behind lists the members that have not reported the version.
func (h *Host) behind(version uint64) []string {
	var behind []string
	for _, m := range h.node.Epoch().Members {
		if m.Name != h.self.Name && max(h.acks.version(m.Name), h.node.ConfigOf(m.Name)) < version {
			behind = append(behind, m.Name)
		}
	}
	slices.Sort(behind)
	return behind
}

// errNotAdmitting refuses a change at a host without its admission lease: the hosts of a
// majority could not learn of it in time.
var errNotAdmitting = errors.New("this entry host has no admission lease; use another one")
