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

// Kinds of peer messages that the host handles itself; all others go to the node.
const (
	kindConfig        = "config"
	kindConfigRequest = "config-ask"
	kindConfigAck     = "config-ack"
)

// configMessage carries the configuration as JSON: either the changes after a version or
// the whole document.
type configMessage struct {
	Changes  []byte `cbor:"changes,omitempty"`
	Document []byte `cbor:"document,omitempty"`
}

type configRequest struct {
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

// peerTLS returns the TLS configuration for dialing peers. The name that is verified is the
// peer's address.
func (h *Host) peerTLS() *tls.Config {
	if h.settings.PeerCAFile == "" {
		return nil
	}
	return h.keyPair.PeerClient("")
}

// setPeers makes the mesh connect to the members of the epoch.
func (h *Host) setPeers(e *epoch.Epoch) {
	peers := make([]peer.Peer, 0, len(e.Members))
	for _, m := range e.Members {
		peers = append(peers, peer.Peer{Name: m.Name, Incarnation: m.Incarnation, Address: m.Peer})
	}
	h.mesh.SetPeers(peers)
}

// handle processes one message of a peer. An error closes the link.
func (h *Host) handle(m peer.Message) error {
	now := time.Now()
	switch m.Kind {
	case kindConfig:
		return h.handleConfig(m)
	case kindConfigRequest:
		return h.handleConfigRequest(m)
	case kindConfigAck:
		var ack configAck
		if err := m.Decode(&ack); err != nil {
			return err
		}
		h.acks.record(m.Peer, ack.Version)
		return nil
	}
	from := epoch.ID(m.Peer + "/" + strconv.FormatUint(m.Incarnation, 10))
	known, err := h.node.Receive(now, from, m.Kind, m.Decode)
	if !known && err == nil {
		return &peer.UnknownKindError{Kind: m.Kind}
	}
	for name, version := range h.node.NewerConfig(h.ConfigVersion()) {
		h.log.Info("configuration-behind", zap.String("peer", name), zap.Uint64("version", version))
		_ = h.mesh.Send(name, kindConfigRequest, configRequest{After: h.ConfigVersion()})
	}
	return err
}

// configChanged passes a newer configuration to the node and logs its version.
func (h *Host) configChanged(cfg *fleet.Config) {
	h.node.SetConfig(time.Now(), cfg)
	h.log.Info("configuration-in-force", zap.Uint64("version", cfg.Version))
}

func (h *Host) handleConfig(m peer.Message) error {
	var body configMessage
	if err := m.Decode(&body); err != nil {
		return err
	}
	if err := h.adopt(body); err != nil {
		h.log.Warn("configuration-from-peer-refused", zap.String("peer", m.Peer), zap.Error(err))
		_ = h.mesh.Send(m.Peer, kindConfigRequest, configRequest{})
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
		h.configManager.Adopt(cfg)
		return nil
	}
	var changes []change.Change
	if err := json.Unmarshal(body.Changes, &changes); err != nil {
		return &fleet.DecodeError{Err: err}
	}
	return h.configManager.AdoptDelta(changes)
}

// handleConfigRequest sends the changes after the requested version if all of them are
// known, and the whole document otherwise.
func (h *Host) handleConfigRequest(m peer.Message) error {
	var request configRequest
	if err := m.Decode(&request); err != nil {
		return err
	}
	body, err := configBody(h.configManager.Config(), request.After)
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

// push sends an accepted version to all peers and waits up to pushTimeout for their
// acknowledgements. It returns the hosts that have not reported the version by then.
func (h *Host) push(ctx context.Context, cfg *fleet.Config) []string {
	body, err := configBody(cfg, cfg.Version-1)
	if err != nil {
		h.log.Error("configuration-not-encoded", zap.Error(err))
		return h.laggingHosts(cfg.Version)
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
		lagging := h.laggingHosts(cfg.Version)
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lagging
		}
	}
}

// laggingHosts lists the other members that have not reported the version.
func (h *Host) laggingHosts(version uint64) []string {
	var lagging []string
	for _, m := range h.node.Epoch().Members {
		if m.Name != h.self.Name && max(h.acks.version(m.Name), h.node.ConfigOf(m.Name)) < version {
			lagging = append(lagging, m.Name)
		}
	}
	slices.Sort(lagging)
	return lagging
}

// errNotAdmitting refuses a change at a host without an admission lease, from which a
// majority of the hosts might not learn of the change in time.
var errNotAdmitting = errors.New("this entry host has no admission lease; use another one")
